// A key is taken away; a machine is added while the store is away, and the store comes back from an older
// copy.

#include "cases.h"

namespace lab
{

namespace
{

constexpr const char* with_key = R"("apiKeys":["key-kept-0000000001","key-lost-0000000002"])";
constexpr const char* without_key = R"("apiKeys":["key-kept-0000000001"])";
constexpr const char* lost_key = "key-lost-0000000002";
constexpr const char* kept_key = "key-kept-0000000001";

std::string configuration(const std::string& version, const std::string& keys)
{
    return R"({"version":")" + version +
           R"(","routes":{"r-1":{"host":"shop.example","prefix":"/book/","kind":"unsafe","timeoutMs":1500,)"
           R"("targetLatencyMs":300,"priority":1,"service":"svc","maxAttempts":2,"public":false,)"
           R"("sessionAffinity":false,"homeRegions":[]}},"services":{"svc":{"healthCheckPath":"/health",)"
           R"("maxConnections":330,"protocol":"h1","tls":false,"coldStartS":0,"coldPerS":0}},)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":{"kaje":{)" +
           keys + R"(,"priority":1,"ratePerS":95,"burst":95,"homeRegions":[]}}})";
}

request booking(const std::string& id, const char* key)
{
    return {"POST", "/book/one", "shop.example", id, key, 1500, "deposit"};
}

} // namespace

int restored_store(record& log, const std::string& folder, bool has_trouble)
{
    const std::string network = loopback_network();
    store registry(network + ".1", 8669);
    const std::map<std::string, std::string> zones{{"a", "north"}, {"b", "middle"}, {"c", "south"}};
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<instance>> instances;
    int number = 0;
    for (const auto& [zone, region] : zones) {
        ++number;
        endpoints.push_back(std::make_unique<endpoint>(
            endpoint::options{"i-" + zone, network + "." + std::to_string(20 + number), 8080, "svc", zone},
            registry, log));
        instances.push_back(std::make_unique<instance>(
            instance::options{"front-" + zone, network + "." + std::to_string(10 + number), zone, region,
                              network + ".1", zones, folder}));
    }
    registry.put("op/config", configuration("r7", with_key));
    for (const std::unique_ptr<instance>& entry : instances) {
        entry->start();
    }
    for (const std::unique_ptr<instance>& entry : instances) {
        if (!entry->wait_ready(10)) {
            log.line("an instance is not ready");
            return exit_not_run;
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const std::unique_ptr<instance>& entry : instances) {
        const answer before = call(entry->given().host, booking("before-" + entry->given().name, lost_key));
        log.line("before: " + entry->given().name + " answers " + std::to_string(before.status));
        if (before.status != 200) {
            return exit_not_run;
        }
    }
    registry.take_copy();
    log.line("the store's copy is taken");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    registry.put("op/config", configuration("r9", without_key));
    const std::int64_t taken_at = log.now();
    log.line("r9, which takes a key away, is acknowledged");
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    for (const std::unique_ptr<instance>& entry : instances) {
        const answer after = call(entry->given().host, booking("taken-" + entry->given().name, lost_key));
        log.line("taken away: " + entry->given().name + " answers " + std::to_string(after.status));
        if (after.status != 401) {
            return exit_not_run;
        }
    }
    sleep_until(log, taken_at + 3900);
    if (has_trouble) {
        registry.go_away();
        log.line("the store is away");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    instances.push_back(std::make_unique<instance>(
        instance::options{"front-added", network + ".14", "a", "north", network + ".1", zones, folder}));
    instances.back()->start();
    log.line("front-added is started");
    sleep_until(log, taken_at + 5200);
    if (has_trouble) {
        registry.come_back_from_copy();
        log.line("the store is back from its copy");
    }
    const std::int64_t back_at = log.now();
    const std::int64_t rewrite_after_ms = environment_number("REWRITE_MS", 1000);
    bool is_rewritten = !has_trouble;
    std::set<std::string> sent;
    for (int count = 0; log.now() < back_at + 5000; ++count) {
        if (!is_rewritten && log.now() >= back_at + rewrite_after_ms) {
            registry.put("op/config", configuration("r9", without_key));
            log.line("the operator has written r9 again");
            is_rewritten = true;
        }
        for (const std::unique_ptr<instance>& entry : instances) {
            const std::string id = "late-" + entry->given().name + "-" + std::to_string(count);
            const std::int64_t sent_at = log.now();
            sent.insert(id);
            const answer late = call(entry->given().host, booking(id, lost_key), 800);
            log.line(id + " with the lost key, sent " + std::to_string(sent_at - taken_at) +
                     " ms after the ack, gets " + std::to_string(late.status));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (const std::unique_ptr<instance>& entry : instances) {
        const answer kept = call(entry->given().host, booking("kept-" + entry->given().name, kept_key));
        log.line("the key that is kept: " + entry->given().name + " answers " + std::to_string(kept.status));
        if (kept.status != 200) {
            return exit_not_run;
        }
    }
    int broken = 0;
    for (const std::unique_ptr<endpoint>& entry : endpoints) {
        for (const run& done : entry->runs()) {
            broken += sent.contains(done.id) ? 1 : 0;
        }
    }
    log.line(std::to_string(broken) + " requests with the lost key ran");
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace lab
