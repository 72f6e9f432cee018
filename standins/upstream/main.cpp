// The program standin_upstream: an upstream for tests and the demo. It prints the port that it listens on and
// runs until SIGTERM or SIGINT.

#include "core/log_event.h"
#include "standins/upstream/upstream_standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/initializer.h>

#include <boost/asio/signal_set.hpp>

#include <iostream>

ABSL_FLAG(std::string, host, "127.0.0.1", "Numeric address to listen on.");
ABSL_FLAG(std::uint16_t, port, 0, "Port to listen on; 0 chooses a free one.");
ABSL_FLAG(std::string, name, "upstream", "Name sent in the X-Endpoint header of responses.");
ABSL_FLAG(std::uint32_t, slots, 3, "Requests executed at the same time.");
ABSL_FLAG(std::uint32_t, queue, 0, "Requests that wait for a slot; further ones are rejected.");
ABSL_FLAG(std::uint32_t, connections, 330, "Connections open at the same time; further ones are closed.");
ABSL_FLAG(double, service_ms, 20, "Median service time in milliseconds.");
ABSL_FLAG(double, service_sigma, 0.3, "Standard deviation of the logarithm of the service time.");
ABSL_FLAG(double, cold_seconds, 3, "Seconds after the start during which service times are longer.");
ABSL_FLAG(double, cold_factor, 5, "Factor on service times at the start; falls to 1 over cold_seconds.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random service times.");
ABSL_FLAG(std::string, log_level, "info", "Log level: debug, info, warn or error.");

namespace
{

using quetzalspan::core::duration;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

quetzalspan::standins::standin_options read_options()
{
    quetzalspan::standins::standin_options options;
    options.host = absl::GetFlag(FLAGS_host);
    options.port = absl::GetFlag(FLAGS_port);
    options.name = absl::GetFlag(FLAGS_name);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.queue_limit = absl::GetFlag(FLAGS_queue);
    options.connection_limit = absl::GetFlag(FLAGS_connections);
    options.cold_time = to_duration(absl::GetFlag(FLAGS_cold_seconds));
    options.cold_factor = absl::GetFlag(FLAGS_cold_factor);
    options.seed = absl::GetFlag(FLAGS_seed);
    constexpr double milliseconds_per_second = 1000;
    options.control.service_time = to_duration(absl::GetFlag(FLAGS_service_ms) / milliseconds_per_second);
    options.control.service_sigma = absl::GetFlag(FLAGS_service_sigma);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "An upstream for tests and demos. Faults are set with POST /standin/control.");
    absl::ParseCommandLine(argc, argv);
    const log4cplus::Initializer initializer;
    try {
        quetzalspan::core::configure_logging(absl::GetFlag(FLAGS_log_level));
        boost::asio::io_context context(1);
        const std::shared_ptr<quetzalspan::standins::upstream_standin> upstream =
            quetzalspan::standins::upstream_standin::create(context, read_options());
        upstream->start();
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        // A program that starts the stand-in with port 0 reads the port that was chosen from this line.
        std::cout << "port=" << upstream->port() << std::endl;
        context.run();
    } catch (const std::exception& error) {
        std::cerr << "standin_upstream: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
