// The machine that watches the store for the others of its region is cut off from the store, and the
// configuration moves a route to another service. Checks that the others, which are undisturbed, follow
// within configApplyMs.

#include "../standins/world.h"

#include <array>
#include <cstdlib>

using namespace review;

namespace
{

constexpr std::int64_t config_apply_ms = 2000;
constexpr std::int64_t cut_ms = 3000;
constexpr int instance_count = 4;
constexpr int change_count = 11;
constexpr int clients_per_instance = 2;
// The wait of the watches that an instance sends for the others of its region.
constexpr std::int64_t relay_wait_ms = 400;

std::string make_configuration(int version, const std::string& service)
{
    const std::string service_text =
        "{\"healthCheckPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\","
        "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":4.8}";
    return "{\"version\":\"r" + std::to_string(version) +
           "\",\"routes\":{\"r-safe\":{\"host\":\"review.example\",\"prefix\":\"/safe/\",\"kind\":\"safe\","
           "\"timeoutMs\":2000,\"targetLatencyMs\":250,\"priority\":1,\"service\":\"" +
           service +
           "\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":false,\"homeRegions\":[]}},"
           "\"services\":{"
           "\"amber\":" +
           service_text + ",\"birch\":" + service_text +
           "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},\"tenants\":{\"guild\":{\"apiKeys\":[\"key-1\"],\"priority\":1,"
           "\"ratePerS\":0,\"burst\":0,\"homeRegions\":[]}}}";
}

} // namespace

int main(int, char** arguments)
{
    const std::string folder = arguments[1];
    const std::string temporary = arguments[2];
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    open_record(folder + "/record.txt");

    store platform;
    int version = 7;
    std::string service = "amber";
    platform.put("op/config", make_configuration(version, service));
    std::vector<std::unique_ptr<endpoint>> endpoints;
    for (int index = 0; index < 6; ++index) {
        endpoints.push_back(
            std::make_unique<endpoint>("i-" + std::to_string(index + 1), index % 2 == 0 ? "amber" : "birch",
                                       "za", [](endpoint& self, endpoint_call& call) {
                                           return read_body(call.from, call.request, now_ms() + 5000) &&
                                                  call.from.send(make_response(200, call.id, self.service()));
                                       }));
        platform.put(endpoints.back()->entry_key(), endpoints.back()->entry());
    }

    std::atomic<int> relay{-1};
    std::atomic<std::int64_t> relay_answered_at{-1};
    platform.on_watch_answered = [&](int tag, std::int64_t wait_ms) {
        if (wait_ms == relay_wait_ms) {
            relay = tag;
            relay_answered_at = now_ms();
        }
    };
    std::vector<std::unique_ptr<held_path>> paths;
    std::vector<std::unique_ptr<instance>> instances;
    for (int index = 0; index < instance_count; ++index) {
        paths.push_back(std::make_unique<held_path>("127.0.0.1", platform.add_port(index)));
        instances.push_back(std::make_unique<instance>(
            "front-" + std::to_string(index + 1), find_free_address(), "za", "ra", paths.back()->port(),
            std::map<std::string, std::string>{{"za", "ra"}}, temporary));
        instances.back()->start();
        // Machines start within 0.3 s of each other.
        sleep_ms(75);
    }
    for (const std::unique_ptr<instance>& each : instances) {
        if (!each->wait_ready(15'000)) {
            record("could not run: " + each->name() + " is not ready");
            return 2;
        }
    }
    sleep_ms(7000);

    // The service before the latest change, as an index of the names; -1 while nothing is judged.
    const std::string names[2] = {"amber", "birch"};
    std::atomic<int> old_service{-1};
    std::atomic<std::int64_t> acked_at{-1};
    std::atomic<int> cut{-1};
    std::array<std::atomic<std::int64_t>, instance_count> last_old{};
    std::atomic<int> broken{0};
    std::atomic<int> next_id{0};
    std::atomic<int> served{0};
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
    for (int client = 0; client < instance_count * clients_per_instance; ++client) {
        clients.emplace_back([&, client] {
            const int target = client % instance_count;
            std::unique_ptr<channel> connection;
            while (!is_over) {
                if (!connection || !connection->is_open()) {
                    connection = connect_to(instances[static_cast<std::size_t>(target)]->ip(), 8668);
                    if (!connection) {
                        sleep_ms(20);
                        continue;
                    }
                }
                const std::string id = "q-" + std::to_string(++next_id);
                const std::int64_t sent = now_ms();
                const client_answer found =
                    exchange(*connection, make_request("GET", "/safe/look", id, "key-1", 2000), 2500);
                if (!found.is_complete || find_header(found.fields, "Connection") == "close") {
                    connection->close();
                }
                served += found.status == 200 ? 1 : 0;
                const int old = old_service;
                const std::int64_t age = sent - acked_at;
                if (old >= 0 && age > 0 && found.status == 200 &&
                    found.body == names[static_cast<std::size_t>(old)]) {
                    last_old[static_cast<std::size_t>(target)] = age;
                    if (age > config_apply_ms && target != cut) {
                        ++broken;
                        record(id + ", sent to front-" + std::to_string(target + 1) + " " +
                               std::to_string(age) + " ms after the ack, is run by the old service " +
                               found.body);
                    }
                }
                sleep_ms(4);
            }
        });
    }
    sleep_ms(1000);
    for (int change = 0; change < change_count && broken == 0; ++change) {
        // The change comes while the relay pauses after an answer without changes.
        const std::int64_t before = relay_answered_at;
        while (relay_answered_at == before && now_ms() < 115'000) {
            sleep_ms(1);
        }
        cut = has_trouble ? relay.load() : -1;
        if (relay < 0) {
            record("could not run: no instance watches for the others");
            return 2;
        }
        sleep_ms(3);
        if (has_trouble) {
            paths[static_cast<std::size_t>(cut)]->is_cut = true;
        }
        service = service == names[0] ? names[1] : names[0];
        platform.put("op/config", make_configuration(++version, service));
        acked_at = now_ms();
        for (std::atomic<std::int64_t>& time : last_old) {
            time = 0;
        }
        old_service = service == names[0] ? 1 : 0;
        record((has_trouble ? "front-" + std::to_string(cut + 1) + " is cut off from the store; " : "") +
               "the store acknowledges r" + std::to_string(version) + ": the route goes to " + service);
        sleep_ms(cut_ms);
        old_service = -1;
        if (has_trouble) {
            paths[static_cast<std::size_t>(cut)]->is_cut = false;
        }
        for (int target = 0; target < instance_count; ++target) {
            record("front-" + std::to_string(target + 1) + (target == cut ? " (cut off)" : "") +
                   " used the old service until " +
                   std::to_string(last_old[static_cast<std::size_t>(target)]) + " ms after the ack");
        }
        // Everything is in touch again after stableWindowMs.
        sleep_ms(4500);
    }
    is_over = true;
    for (std::thread& each : clients) {
        each.join();
    }
    for (const std::unique_ptr<instance>& each : instances) {
        each->kill_and_wait();
    }
    record(std::to_string(served) + " requests were served");
    if (served < 1000) {
        record("could not run: too few requests were served");
        return 2;
    }
    record(broken > 0 ? "CONFIG broken" : "CONFIG held");
    std::_Exit(broken > 0 ? 1 : 0);
}
