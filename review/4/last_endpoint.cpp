// The only endpoint of a service leaves without reporting "draining". Checks that no request reaches it later
// than drainTimeoutMs after the store has acknowledged the removal of its entry.

#include "../standins/world.h"
#include "../standins/world_config.h"

#include <cstdlib>

using namespace review;

namespace
{

constexpr std::int64_t drain_timeout_ms = 2000;
constexpr std::int64_t work_ms = 480;
// The endpoint serves on for drainTimeoutMs and a little longer, then exits.
constexpr std::int64_t serves_on_ms = 2500;
constexpr int instance_count = 3;

} // namespace

int main(int, char** arguments)
{
    const std::string folder = arguments[1];
    const std::string temporary = arguments[2];
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    open_record(folder + "/record.txt");

    std::atomic<std::int64_t> removed_at{-1};
    std::atomic<bool> has_exited{false};
    std::atomic<int> late_arrivals{0};
    std::atomic<int> runs_cut{0};
    store platform;
    platform.put("op/config", make_config());
    endpoint only("i-only", "orders", "za", [&](endpoint&, endpoint_call& call) {
        if (!read_body(call.from, call.request, now_ms() + 5000) || has_exited) {
            call.from.reset();
            return false;
        }
        const std::int64_t removed = removed_at;
        const std::int64_t age = removed < 0 ? -1 : now_ms() - removed;
        record("endpoint runs " + call.id +
               (age < 0 ? "" : ", " + std::to_string(age) + " ms after its removal was acknowledged"));
        late_arrivals += age > drain_timeout_ms ? 1 : 0;
        const std::int64_t end = now_ms() + work_ms;
        while (now_ms() < end) {
            sleep_ms(5);
            if (has_exited) {
                ++runs_cut;
                record("endpoint exits during " + call.id);
                call.from.reset();
                return false;
            }
        }
        return call.from.send(
            make_response(200, call.id, "done " + call.id, removed < 0 ? "" : "Server-Leaving: 1\r\n"));
    });
    platform.put(only.entry_key(), only.entry());

    std::vector<std::unique_ptr<instance>> instances;
    for (int index = 0; index < instance_count; ++index) {
        instances.push_back(std::make_unique<instance>(
            "front-" + std::to_string(index + 1), find_free_address(), "za", "ra", platform.port(),
            std::map<std::string, std::string>{{"za", "ra"}}, temporary));
        instances.back()->start();
    }
    for (const std::unique_ptr<instance>& each : instances) {
        if (!each->wait_ready(15'000)) {
            record("could not run: " + each->name() + " is not ready");
            return 2;
        }
    }
    // All machines are in touch after this.
    sleep_ms(6000);
    std::mutex mutex;
    int answered = 0;
    const auto send = [&](instance& to, const std::string& id) {
        const std::unique_ptr<channel> connection = connect_to(to.ip(), to.port());
        if (!connection) {
            record("no connection to " + to.name());
            return 0;
        }
        record("client sends " + id + " to " + to.name());
        const client_answer found = exchange(
            *connection, make_request("POST", "/unsafe/book", id, "key-amber-1", 2500, "order"), 2600);
        record("client gets " + std::to_string(found.status) + " for " + id +
               (found.is_complete ? "" : ", not whole: " + found.end));
        const std::lock_guard<std::mutex> guard(mutex);
        answered += found.status == 200 && found.is_complete ? 1 : 0;
        return found.status;
    };
    for (const std::unique_ptr<instance>& each : instances) {
        if (send(*each, "warm-" + each->name()) != 200) {
            record("could not run: a request before the removal was not served");
            return 2;
        }
    }
    sleep_ms(1000);
    if (has_trouble) {
        platform.remove(only.entry_key());
        removed_at = now_ms();
        record("the store acknowledges the removal of " + only.entry_key());
    }
    const std::int64_t begin = now_ms();
    std::vector<std::thread> clients;
    for (int index = 0; index < instance_count; ++index) {
        clients.emplace_back([&, index] {
            for (int number = 0; number < 4; ++number) {
                sleep_ms(begin + drain_timeout_ms + 100 + number * 150 - now_ms());
                send(*instances[static_cast<std::size_t>(index)],
                     "late-" + std::to_string(index + 1) + "-" + std::to_string(number + 1));
            }
        });
    }
    if (has_trouble) {
        sleep_ms(begin + serves_on_ms - now_ms());
        has_exited = true;
        record("endpoint exits");
    }
    for (std::thread& each : clients) {
        each.join();
    }
    for (const std::unique_ptr<instance>& each : instances) {
        each->kill_and_wait();
    }
    if (!has_trouble && answered != instance_count * 5) {
        record("could not run: not all requests were served");
        return 2;
    }
    record(std::to_string(late_arrivals) + " requests reached the endpoint more than " +
           std::to_string(drain_timeout_ms) + " ms after the ack; " + std::to_string(runs_cut) +
           " of them were cut when it exited");
    record(late_arrivals > 0 ? "DRAIN broken" : "DRAIN held");
    std::_Exit(late_arrivals > 0 ? 1 : 0);
}
