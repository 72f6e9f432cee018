// A scenario: a tenant that has been silent sends several times its rate to all instances. Usage:
// sudden_demand FOLDER RECORD yes|no, where the last argument says whether it sends more than its rate. Exits
// with 0 if no window held more requests than the rule allows, with 1 if one did, and with 2 if the scenario
// could not run.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

#include <unistd.h>

namespace
{

using std::chrono::milliseconds;

constexpr const char* tenant_key = "b9wu3fexd9dnn2ctnfzs";
// The limit of the tenant, and the bounds quotaWindowS, quotaOverage and quotaSlack of the settings.
constexpr double rate = 95;
constexpr double burst = 95;
constexpr double window_s = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr double usual_rate = rate / 1.6;
// 7.5 times the usual.
constexpr double hot_rate = 7.5 * usual_rate;
constexpr double load_s = 6.5;
// Time in which the tenant is silent after all instances are ready.
constexpr milliseconds silent_time(8380);
constexpr std::uint64_t seed = 1;
constexpr unsigned client_count = 128;
constexpr unsigned endpoint_count = 14;

struct sent_request {
    std::string id;
    double sent = 0;
    unsigned status = 0;
};

class scenario
{
public:
    scenario(const std::string& folder, const std::string& record_path, bool is_hot)
        : m_record(record_path), m_store(review::loopback_address(9)), m_rate(is_hot ? hot_rate : usual_rate)
    {
        const std::string store_address = review::loopback_address(9) + ":" + std::to_string(m_store.port());
        const char* const zones[] = {"uus-a", "savo-a", "pohj-a", "uus-b", "savo-b", "pohj-b", "uus-a"};
        for (unsigned index = 0; index < std::size(zones); ++index) {
            m_instances.push_back(std::make_unique<review::instance_process>(
                "front-" + std::to_string(index + 1), review::loopback_address(index), zones[index], folder,
                store_address));
        }
        for (unsigned index = 0; index < endpoint_count; ++index) {
            m_endpoints.push_back(std::make_unique<review::endpoint_standin>(
                "i-7f3a91" + std::to_string(10 + index), review::loopback_address(20 + index),
                milliseconds(20), m_record));
            m_store.put("servers/" + m_endpoints.back()->id(),
                        m_endpoints.back()->entry("huvo11a", zones[index % 6]));
        }
    }

    int run()
    {
        m_store.put("op/config", review::make_configuration("r7", std::string("\"") + tenant_key + "\""));
        for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
            entry->start();
            // All machines start within 0.3 s of each other.
            std::this_thread::sleep_for(milliseconds(40));
        }
        for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
            if (!entry->await_ready(milliseconds(10'000))) {
                m_record.write(entry->name() + " did not become ready");
                return 2;
            }
        }
        plan_requests();
        std::this_thread::sleep_for(silent_time);
        m_begin = std::chrono::steady_clock::now();
        m_record.write("the tenant begins to send " + std::to_string(m_rate) + " requests a second");
        std::vector<std::vector<sent_request>> sent(client_count);
        std::vector<std::thread> clients;
        for (unsigned index = 0; index < client_count; ++index) {
            clients.emplace_back([this, &sent, index] { sent[index] = send_requests(); });
        }
        for (std::thread& client : clients) {
            client.join();
        }
        return judge(sent);
    }

    // Kills what is still running.
    void end_instances() { m_instances.clear(); }

private:
    // Requests arrive independently of each other, and each goes to any of the instances.
    void plan_requests()
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> pause(m_rate);
        std::uniform_int_distribution<std::size_t> choice(0, m_instances.size() - 1);
        for (double turn = pause(random); turn < load_s; turn += pause(random)) {
            m_turns.push_back(turn);
            m_choices.push_back(choice(random));
        }
    }

    // Sends every request whose turn it is, over channels that are kept open, until the end of the load.
    std::vector<sent_request> send_requests()
    {
        std::vector<sent_request> result;
        std::map<std::size_t, review::http_channel> channels;
        while (true) {
            const std::uint64_t number = m_next++;
            if (number >= m_turns.size()) {
                return result;
            }
            const double turn_s = m_turns[number];
            std::this_thread::sleep_until(m_begin + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                                        std::chrono::duration<double>(turn_s)));
            const std::size_t instance = m_choices[number];
            if (channels.count(instance) == 0) {
                std::optional<review::http_channel> opened =
                    review::http_channel::connect(m_instances[instance]->address(), 8668);
                if (!opened) {
                    continue;
                }
                channels.emplace(instance, std::move(*opened));
            }
            sent_request request{review::make_request_id(number + 1), m_record.now(), 0};
            if (!exchange(channels.at(instance), request)) {
                channels.erase(instance);
            }
            result.push_back(request);
        }
    }

    // Returns whether the channel stays open.
    bool exchange(review::http_channel& channel, sent_request& request)
    {
        if (!channel.write(review::make_request(request.id, tenant_key))) {
            return false;
        }
        const std::optional<review::http_message> answer =
            channel.read(std::chrono::steady_clock::now() + milliseconds(3000));
        request.status = answer ? static_cast<unsigned>(std::stoul(answer->word(1))) : 0;
        return answer && answer->field("connection") != "close";
    }

    // Compares each window that begins with a request with the limit.
    int judge(const std::vector<std::vector<sent_request>>& sent)
    {
        std::map<std::string, double> arrivals;
        for (const std::unique_ptr<review::endpoint_standin>& entry : m_endpoints) {
            for (const std::pair<const std::string, double>& run : entry->runs()) {
                arrivals.insert(run);
            }
        }
        std::vector<std::pair<double, double>> runs;
        std::map<unsigned, std::size_t> statuses;
        for (const std::vector<sent_request>& requests : sent) {
            for (const sent_request& request : requests) {
                ++statuses[request.status];
                const std::map<std::string, double>::const_iterator arrival = arrivals.find(request.id);
                m_record.write("sent at " + std::to_string(request.sent) + ": " + request.id + " answered " +
                               std::to_string(request.status) +
                               (arrival == arrivals.end()
                                    ? std::string(", not run")
                                    : ", reached an endpoint at " + std::to_string(arrival->second)));
                if (arrival != arrivals.end()) {
                    runs.emplace_back(request.sent, arrival->second);
                }
            }
        }
        std::size_t most = 0;
        for (const std::pair<double, double>& first : runs) {
            const double begin = first.first;
            most =
                std::max(most, static_cast<std::size_t>(std::count_if(
                                   runs.begin(), runs.end(), [begin](const std::pair<double, double>& run) {
                                       return run.first >= begin && run.second <= begin + window_s;
                                   })));
        }
        const double allowed = (rate * window_s + burst) * (1 + overage) + slack;
        std::string summary = "most requests in 5 s: " + std::to_string(most) +
                              "; allowed: " + std::to_string(allowed) + "; answers:";
        for (const std::pair<const unsigned, std::size_t>& status : statuses) {
            summary += " " + std::to_string(status.first) + ": " + std::to_string(status.second);
        }
        m_record.write(summary);
        if (runs.empty()) {
            return 2;
        }
        return static_cast<double>(most) > allowed ? 1 : 0;
    }

    review::recorder m_record;
    review::store_standin m_store;
    double m_rate;
    std::vector<std::unique_ptr<review::endpoint_standin>> m_endpoints;
    std::vector<std::unique_ptr<review::instance_process>> m_instances;
    // When each request is sent, in seconds from the begin, and to which instance.
    std::vector<double> m_turns;
    std::vector<std::size_t> m_choices;
    review::instant m_begin;
    std::atomic<std::uint64_t> m_next{0};
};

int run_scenario(const char* folder, const char* record, bool is_hot)
{
    // The stand-ins run until the process ends, so only the instances are ended before.
    static scenario* const running = new scenario(folder, record, is_hot);
    const int code = running->run();
    running->end_instances();
    return code;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 4) {
        std::cerr << "usage: sudden_demand FOLDER RECORD yes|no\n";
        return 2;
    }
    try {
        const int code = run_scenario(arguments[1], arguments[2], std::string(arguments[3]) == "yes");
        std::cout.flush();
        ::_exit(code);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        ::_exit(2);
    }
}
