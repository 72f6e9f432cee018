// The program standin_caller: a caller for tests and the demo. It prints its counts as key=value lines. The
// exit code is 0, 1 if a response had a wrong body, or 2 after another error such as an invalid flag.

#include "core/log_event.h"
#include "standins/caller/caller_standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/initializer.h>

#include <algorithm>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, instances, "127.0.0.1:8080", "Instances as host:port, separated by commas.");
ABSL_FLAG(std::string, service, "", "Service to look up; if empty, requests go to the instances in turn.");
ABSL_FLAG(std::string, client, "127.0.0.1", "Client address sent in lookups.");
ABSL_FLAG(std::string, key, "", "Workspace key.");
ABSL_FLAG(std::string, method, "POST", "Method of the requests.");
ABSL_FLAG(std::string, path, "/", "Target (path and query) of the requests.");
ABSL_FLAG(bool, idempotency_keys, false, "Whether each request carries its own Idempotency-Key.");
ABSL_FLAG(double, rate, 100, "Requests per second.");
ABSL_FLAG(std::uint32_t, concurrency, 32, "Requests in flight at the same time; further ones are skipped.");
ABSL_FLAG(double, seconds, 5, "Seconds during which requests are sent.");
ABSL_FLAG(double, timeout_seconds, 10, "Timeout of a request or lookup in seconds.");
ABSL_FLAG(std::uint32_t, deadline_ms, 0, "Value of Quetzal-Deadline-Ms; 0 sends none.");
ABSL_FLAG(std::uint32_t, request_bytes, 64, "Size of the request bodies.");
ABSL_FLAG(std::uint32_t, response_bytes, 64, "Size of the response bodies that the upstream is asked for.");
ABSL_FLAG(std::string, name, "caller", "Prefix of the request tokens; must differ between callers.");

namespace
{

using quetzalspan::core::duration;
using quetzalspan::standins::address;
using quetzalspan::standins::caller_counts;
using quetzalspan::standins::caller_options;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// Throws std::invalid_argument or std::out_of_range if an entry is not HOST:PORT with a numeric port.
std::vector<address> parse_instances(const std::string& text)
{
    std::vector<address> result;
    std::istringstream input(text);
    std::string entry;
    while (std::getline(input, entry, ',')) {
        const std::size_t colon = entry.rfind(':');
        if (colon == std::string::npos) {
            throw std::invalid_argument("expected an instance as host:port, got \"" + entry + "\"");
        }
        const int port = std::stoi(entry.substr(colon + 1));
        result.push_back({entry.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    return result;
}

caller_options read_options()
{
    caller_options options;
    options.instances = parse_instances(absl::GetFlag(FLAGS_instances));
    options.service = absl::GetFlag(FLAGS_service);
    options.client_address = absl::GetFlag(FLAGS_client);
    options.key = absl::GetFlag(FLAGS_key);
    options.method = absl::GetFlag(FLAGS_method);
    options.path = absl::GetFlag(FLAGS_path);
    options.has_idempotency_keys = absl::GetFlag(FLAGS_idempotency_keys);
    options.rate_per_second = absl::GetFlag(FLAGS_rate);
    options.concurrency = absl::GetFlag(FLAGS_concurrency);
    options.run_time = to_duration(absl::GetFlag(FLAGS_seconds));
    options.timeout = to_duration(absl::GetFlag(FLAGS_timeout_seconds));
    options.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
    options.request_bytes = absl::GetFlag(FLAGS_request_bytes);
    options.response_bytes = absl::GetFlag(FLAGS_response_bytes);
    options.name = absl::GetFlag(FLAGS_name);
    return options;
}

// Returns the element at the fraction of the ascending list, or 0 if the list is empty.
double percentile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const double position = fraction * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(position)];
}

void print(const caller_counts& counts)
{
    std::cout << "sent=" << counts.sent << "\nanswered=" << counts.answered << "\nwrong=" << counts.wrong
              << "\nfailed=" << counts.failed << "\nskipped=" << counts.skipped
              << "\nlookups=" << counts.lookups << "\nfailed_lookups=" << counts.failed_lookups << "\n";
    for (const std::pair<const unsigned, std::uint64_t>& entry : counts.by_status) {
        std::cout << "status_" << entry.first << "=" << entry.second << "\n";
    }
    for (const std::pair<const std::string, std::uint64_t>& entry : counts.by_outcome) {
        std::cout << "outcome_" << entry.first << "=" << entry.second << "\n";
    }
    for (const std::pair<const std::string, std::uint64_t>& entry : counts.by_reason) {
        std::cout << "reason_" << entry.first << "=" << entry.second << "\n";
    }
    std::vector<double> latencies = counts.latencies_ms;
    std::sort(latencies.begin(), latencies.end());
    std::cout << "p50_ms=" << percentile(latencies, 0.5) << "\np99_ms=" << percentile(latencies, 0.99)
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("A caller that checks every response, for tests and demos.");
    absl::ParseCommandLine(argc, argv);
    const log4cplus::Initializer initializer;
    try {
        quetzalspan::core::configure_logging("info");
        boost::asio::io_context context(1);
        const std::shared_ptr<quetzalspan::standins::caller_standin> caller =
            quetzalspan::standins::caller_standin::create(context, read_options());
        caller->start();
        context.run();
        print(caller->counts());
        return caller->counts().wrong == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "standin_caller: " << error.what() << "\n";
        return 2;
    }
}
