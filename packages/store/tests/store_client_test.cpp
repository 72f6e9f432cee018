// Contract tests of the store client against the store stand-in, with its faults.

#include "store_fixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

namespace
{

// Adds 1 to a number in the store that many times, by compare-and-swap.
boost::asio::awaitable<void> add_repeatedly(store_client& client, int times)
{
    for (int added = 0; added < times;) {
        const read_result present = co_await client.read("number");
        const int value = std::stoi(present.entry->value);
        const write_result written =
            co_await client.write("number", std::to_string(value + 1), present.entry->revision);
        added += written.outcome == write_outcome::applied ? 1 : 0;
    }
}

} // namespace

TEST_GROUP(store_client)
{
    store_fixture store;
    std::unique_ptr<store_client> client = store.make_client();

    write_result write(const std::string& key, const std::string& value, std::uint64_t expected)
    {
        return store.run(client->write(key, value, expected));
    }
};

// Guards against keys and values that change on their way.
TEST(store_client, keys_and_values_are_kept_exactly)
{
    const std::string cases[] = {"config/current", "a b", "k?x=1&y", "umlaut-\xc3\xa4", "%2F/..//x", "a+b#c"};
    for (const std::string& key : cases) {
        const write_result written = write(key, "{\"k\":\"\\n" + key + "\"}", 0);
        CHECK_TRUE(written.outcome == write_outcome::applied);
        const read_result read = store.run(client->read(key));
        STRCMP_EQUAL(key.c_str(), read.entry->key.c_str());
        STRCMP_EQUAL(("{\"k\":\"\\n" + key + "\"}").c_str(), read.entry->value.c_str());
        UNSIGNED_LONGS_EQUAL(written.revision, read.entry->revision);
        UNSIGNED_LONGS_EQUAL(written.revision, read.entry->created_revision);
    }
    UNSIGNED_LONGS_EQUAL(1, store.run(client->list("k?")).entries.size());
    CHECK_FALSE(store.run(client->read("missing")).entry.has_value());
}

// Guards against two writers that both believe that they won.
TEST(store_client, the_loser_of_a_race_gets_the_current_entry)
{
    const std::uint64_t read = write("k", "0", 0).revision;
    CHECK_TRUE(write("k", "1", read).outcome == write_outcome::applied);
    const write_result loser = write("k", "2", read);
    CHECK_TRUE(loser.outcome == write_outcome::conflict);
    STRCMP_EQUAL("1", loser.current->value.c_str());
    const write_result erased = store.run(client->erase("k", loser.current->revision));
    CHECK_TRUE(erased.outcome == write_outcome::applied);
    CHECK_FALSE(write("k", "3", read).current.has_value());
}

// Guards against a lost response that is taken for a failure, although the write took effect.
TEST(store_client, a_lost_response_is_unknown_and_read_back)
{
    store.service->lose_next_write_answers(1);
    CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::unknown);
    STRCMP_EQUAL("1", store.run(client->read("k")).entry->value.c_str());
    store.service->lose_next_write_answers(1);
    CHECK_THROWS(store_unavailable, store.run(client->create_lease(std::chrono::seconds(6))));
    const std::uint64_t lease = store.run(client->create_lease(std::chrono::seconds(6)));
    store.service->lose_next_write_answers(1);
    CHECK_TRUE(store.run(client->keep_alive(lease)) == lease_outcome::unknown);
}

// Guards against a write that goes to a second address after the first may have executed it.
TEST(store_client, an_unknown_write_is_not_repeated)
{
    store_options options = store.client_options();
    options.addresses.push_back(options.addresses[0]);
    client = std::make_unique<store_client>(store.context.get_executor(), options, store.client_hooks());
    store.service->lose_next_write_answers(1);
    CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::unknown);
    UNSIGNED_LONGS_EQUAL(1, store.service->counters()["write"]);
}

// Guards against an outage of one address that stops the client.
TEST(store_client, fails_over_to_another_address)
{
    store_fixture other;
    other.set_availability(standin_store::availability::refusing);
    store_options options = store.client_options();
    options.addresses.insert(options.addresses.begin(), other.client_options().addresses[0]);
    client = std::make_unique<store_client>(store.context.get_executor(), options, store.client_hooks());
    CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::applied);
    STRCMP_EQUAL("1", store.run(client->read("k")).entry->value.c_str());
    UNSIGNED_LONGS_EQUAL(3, client->statistics().calls);

    // Each lost response turns the client to the address that is down, until that one is held back. From then
    // on it must go on to the other address without a call.
    std::uint64_t revision = store.run(client->read("k")).entry->revision;
    for (int failure = 0; failure < 6; ++failure) {
        store.service->lose_next_write_answers(1);
        CHECK_TRUE(write("k", "2", revision).outcome == write_outcome::unknown);
        revision = store.run(client->read("k")).entry->revision;
    }
    UNSIGNED_LONGS_EQUAL(3 + 6 * 2 + 1 + 2, client->statistics().calls);
}

// Guards against hammering a store that is down: calls are bounded by the pauses, not by the attempts.
TEST(store_client, an_outage_is_not_hammered)
{
    store.set_availability(standin_store::availability::refusing);
    const int attempts = 6000;
    for (int index = 0; index < attempts; ++index) {
        CHECK_THROWS(store_unavailable, store.run(client->read("k")));
        store.now += std::chrono::milliseconds(10);
    }
    // Sixty seconds of pauses of two seconds at most, after three failures and four shorter pauses.
    const store_statistics seen = client->statistics();
    CHECK_TRUE(seen.calls <= 3 + 4 + 30);
    CHECK_TRUE(seen.calls >= 20);
    UNSIGNED_LONGS_EQUAL(attempts, seen.calls + seen.suppressed_calls);

    store.set_availability(standin_store::availability::up);
    store.now += std::chrono::seconds(2);
    CHECK_FALSE(store.run(client->read("k")).entry.has_value());
    CHECK_FALSE(store.run(client->read("k")).entry.has_value());
}

// Guards against a slow store: a write whose response came too late is unknown and may take effect later.
TEST(store_client, a_slow_store_times_out)
{
    store_options options = store.client_options();
    options.call_timeout = std::chrono::milliseconds(20);
    const std::unique_ptr<store_client> short_timeout_client =
        std::make_unique<store_client>(store.context.get_executor(), options, store.client_hooks());
    store.service->set_delay(std::chrono::milliseconds(400));
    CHECK_TRUE(store.run(short_timeout_client->write("k", "late", 0)).outcome == write_outcome::unknown);
    CHECK_THROWS(store_unavailable, store.run(short_timeout_client->read("k")));
    while (store.service->counters()["write"] == 0) {
        store.context.run_one();
    }
    store.service->set_delay({});
    STRCMP_EQUAL("late", store.run(client->read("k")).entry->value.c_str());
}

// Guards against a watch that misses, repeats or reorders changes, or that hides a discarded history.
TEST(store_client, a_watch_returns_all_changes_after_a_revision)
{
    const std::uint64_t first = write("w/a", "1", 0).revision;
    std::future<watch_result> waiting = boost::asio::co_spawn(
        store.context, client->watch("w/", first, std::chrono::seconds(20)), boost::asio::use_future);
    write("other", "1", 0);
    CHECK_TRUE(waiting.wait_for(std::chrono::seconds(0)) != std::future_status::ready);
    const std::uint64_t second = write("w/b", "2", 0).revision;
    while (waiting.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        store.context.run_one();
    }
    const watch_result woken = waiting.get();
    UNSIGNED_LONGS_EQUAL(1, woken.changes.size());
    UNSIGNED_LONGS_EQUAL(second, woken.revision);
    store.run(client->erase("w/a", first));
    const watch_result all = store.run(client->watch("w/", first - 1, std::chrono::seconds(20)));
    UNSIGNED_LONGS_EQUAL(3, all.changes.size());
    STRCMP_EQUAL("1", all.changes[0].entry->value.c_str());
    STRCMP_EQUAL("w/b", all.changes[1].key.c_str());
    CHECK_FALSE(all.changes[2].entry.has_value());
    const watch_result empty = store.run(client->watch("w/", all.revision, std::chrono::seconds(0)));
    CHECK_TRUE(empty.changes.empty() && !empty.is_history_discarded);
    UNSIGNED_LONGS_EQUAL(all.revision, empty.revision);
    store.service->discard_history();
    CHECK_TRUE(store.run(client->watch("w/", first, std::chrono::seconds(20))).is_history_discarded);
    UNSIGNED_LONGS_EQUAL(4, store.service->counters()["watch"]);
}

// Guards against a request that the store refuses which looks like an outage, and the reverse.
TEST(store_client, refusals_are_told_apart_from_outages)
{
    const std::string largest(1024 * 1024, 'x');
    CHECK_TRUE(write("k", largest, 0).outcome == write_outcome::applied);
    UNSIGNED_LONGS_EQUAL(largest.size(), store.run(client->read("k")).entry->value.size());
    CHECK_THROWS(store_rejected, write("l", largest + "x", 0));
    store.service->set_limits(1, 1);
    store.now += std::chrono::seconds(1);
    for (int second = 0; second < 6; ++second) {
        CHECK_FALSE(store.run(client->read("m")).entry.has_value());
        CHECK_THROWS(store_unavailable, store.run(client->read("m")));
        CHECK_TRUE(write("m" + std::to_string(second), "1", 0).outcome == write_outcome::applied);
        CHECK_THROWS(store_unavailable, write("n", "1", 0));
        store.now += std::chrono::seconds(1);
    }
    UNSIGNED_LONGS_EQUAL(12, store.service->counters()["over_limit"]);
    UNSIGNED_LONGS_EQUAL(0, client->statistics().suppressed_calls);
}

// Guards against a write under an expired lease, and against a list of instances that is not read.
TEST(store_client, leases_and_instances_are_typed)
{
    const std::uint64_t lease = store.run(client->create_lease(std::chrono::seconds(6)));
    CHECK_TRUE(store.run(client->write("members/a.1", "{\"state\":\"serving\"}", 0, lease)).outcome ==
               write_outcome::applied);
    CHECK_TRUE(store.run(client->keep_alive(lease)) == lease_outcome::applied);
    store.now += std::chrono::seconds(3);
    UNSIGNED_LONGS_EQUAL(1, store.run(client->list_instances()).size());
    CHECK_TRUE(store.run(client->revoke_lease(lease)) == lease_outcome::applied);
    CHECK_TRUE(store.run(client->keep_alive(lease)) == lease_outcome::lost);
    CHECK_TRUE(store.run(client->write("alive/a.1", "", 0, lease)).outcome == write_outcome::lease_lost);
    STRCMP_EQUAL("serving", store.run(client->list_instances()).at(0).state.c_str());
    store.now += std::chrono::seconds(3);
    CHECK_TRUE(store.run(client->list_instances()).empty());
}

// Guards against pauses without jitter or bound, and against several trial calls in one pause.
TEST(store_client, the_breaker_pauses_longer_and_lets_one_call_through)
{
    for (const double random : {0.0, 1.0}) {
        circuit_breaker breaker({}, [random] { return random; });
        core::instant now{std::chrono::seconds(1)};
        for (const int milliseconds : {200, 400, 800, 1600, 2000, 2000}) {
            while (breaker.is_closed()) {
                CHECK_TRUE(breaker.allow_call(now));
                breaker.record_failure(now);
            }
            const core::duration pause = std::chrono::milliseconds(milliseconds) / (random < 0.5 ? 2 : 1);
            CHECK_FALSE(breaker.allow_call(now + pause - std::chrono::nanoseconds(1)));
            now += pause;
            CHECK_TRUE(breaker.allow_call(now));
            CHECK_FALSE(breaker.allow_call(now));
            breaker.record_failure(now);
        }
        breaker.record_success();
        CHECK_TRUE(breaker.allow_call(now));
    }
}

// Guards against updates that are lost, or data races in the client, when several threads share it.
TEST(store_client, racing_writers_on_several_threads_lose_no_update)
{
    constexpr int writers = 8;
    constexpr int times = 25;
    write("number", "0", 0);
    std::vector<std::future<void>> results;
    for (int writer = 0; writer < writers; ++writer) {
        results.push_back(
            boost::asio::co_spawn(store.context, add_repeatedly(*client, times), boost::asio::use_future));
    }
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([this] { store.context.run(); });
    }
    for (std::future<void>& result : results) {
        result.get();
    }
    store.context.stop();
    for (std::thread& thread : threads) {
        thread.join();
    }
    store.context.restart();
    STRCMP_EQUAL(std::to_string(writers * times).c_str(),
                 store.run(client->read("number")).entry->value.c_str());
}
