// Channels to the store go silent, and an endpoint leaves at the same time by removing its entry.

#include "cases.h"

#include <random>

namespace lab
{

namespace
{

constexpr int round_count = 6;
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t drain_timeout_ms = 2000;
// The endpoint goes on serving for this long after its entry was removed.
constexpr std::int64_t serves_after_ms = 5500;

const char* const configuration =
    R"({"version":"r7","routes":{"r-1":{"host":"shop.example","prefix":"/book/","kind":"unsafe","timeoutMs":1500,)"
    R"("targetLatencyMs":300,"priority":1,"service":"svc","maxAttempts":2,"public":false,"sessionAffinity":false,)"
    R"("homeRegions":[]}},"services":{"svc":{"healthCheckPath":"/health","maxConnections":330,"protocol":"h1",)"
    R"("tls":false,"coldStartS":0,"coldPerS":0}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"kaje":{"apiKeys":["key-kept-0000000001"],)"
    R"("priority":1,"ratePerS":0,"burst":0,"homeRegions":[]}}})";

// Sends requests to each instance on a thread of its own until it is destroyed, and notes when each was sent.
class callers
{
public:
    callers(const std::vector<std::unique_ptr<instance>>& instances, record& log)
    {
        for (const std::unique_ptr<instance>& entry : instances) {
            m_threads.emplace_back([this, &log, host = entry->given().host, name = entry->given().name] {
                for (int count = 0; !m_is_stopped; ++count) {
                    const std::string id = name + "-" + std::to_string(count);
                    {
                        const std::lock_guard<std::mutex> guard(m_mutex);
                        m_sent[id] = log.now();
                    }
                    const answer received = call(host, {"POST", "/book/one", "shop.example", id,
                                                        "key-kept-0000000001", 1500, "deposit"});
                    log.line("answer " + id + " " + std::to_string(received.status));
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
        }
    }

    ~callers()
    {
        m_is_stopped = true;
        for (std::thread& thread : m_threads) {
            thread.join();
        }
    }

    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    // Returns when the request was sent.
    std::int64_t sent_at(const std::string& id)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        return m_sent[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_sent;
    std::atomic<bool> m_is_stopped{false};
    std::vector<std::thread> m_threads;
};

} // namespace

int silent_channels(record& log, const std::string& folder, bool has_trouble)
{
    const std::string network = loopback_network();
    store registry(network + ".1", 8669);
    const std::map<std::string, std::string> zones{{"a", "north"}, {"b", "middle"}, {"c", "south"}};
    const std::vector<std::string> zone_names{"a", "b", "c"};
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<instance>> instances;
    for (int number = 0; number < 4; ++number) {
        endpoints.push_back(std::make_unique<endpoint>(
            endpoint::options{"i-" + std::to_string(number), network + "." + std::to_string(20 + number),
                              8080, "svc", zone_names[static_cast<std::size_t>(number) % 3]},
            registry, log));
    }
    int number = 10;
    for (const auto& [zone, region] : zones) {
        instances.push_back(std::make_unique<instance>(
            instance::options{"front-" + zone, network + "." + std::to_string(++number), zone, region,
                              network + ".1", zones, folder}));
        instances.back()->start();
    }
    registry.put("op/config", configuration);
    for (const std::unique_ptr<instance>& entry : instances) {
        if (!entry->wait_ready(10)) {
            log.line("an instance is not ready");
            return exit_not_run;
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    int broken = 0;
    std::mt19937 random(std::random_device{}());
    callers traffic(instances, log);
    for (int round = 0; round < round_count; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(4500 + random() % 1250));
        if (has_trouble) {
            registry.silence_open_connections();
            log.line("the open channels to the store are silent; new ones work");
        }
        const std::int64_t silent_at = log.now();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        endpoint& leaving = *endpoints.front();
        leaving.leave();
        const std::int64_t left_at = log.now();
        log.line(leaving.given().id + " has removed its entry and goes on serving");
        sleep_until(log, left_at + serves_after_ms);
        const std::int64_t bound_from = std::max(silent_at + stable_window_ms, left_at + drain_timeout_ms);
        int late = 0;
        for (const run& done : leaving.runs()) {
            late += traffic.sent_at(done.id) >= bound_from ? 1 : 0;
        }
        log.line(std::to_string(late) + " requests that were sent after " + std::to_string(bound_from) +
                 " ms reached it");
        broken += late;
        endpoint::options next = leaving.given();
        next.id = "i-" + std::to_string(10 + round);
        endpoints.erase(endpoints.begin());
        endpoints.push_back(std::make_unique<endpoint>(next, registry, log));
    }
    log.line(std::to_string(broken) + " requests reached endpoints that had left");
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace lab
