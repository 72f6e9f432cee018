// Tests of store_client and circuit_breaker against the store stand-in, with outages, lost responses and
// delays.

#include "store_fixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

namespace
{

// Increments a number in the store the given number of times, by compare-and-swap.
boost::asio::awaitable<void> increment_repeatedly(store_client& client, int times)
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

// Guards against keys and values that are altered by URL or JSON encoding.
TEST(store_client, keys_and_values_are_stored_unchanged)
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

// Guards against two concurrent writes that are both reported as applied.
TEST(store_client, a_conflicting_write_returns_the_current_entry)
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

// Guards against a write that is reported as not applied because its response was lost.
TEST(store_client, a_write_with_a_lost_response_is_unknown)
{
    store.service->lose_next_write_responses(1);
    CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::unknown);
    STRCMP_EQUAL("1", store.run(client->read("k")).entry->value.c_str());
    store.service->lose_next_write_responses(1);
    CHECK_THROWS(store_unavailable, store.run(client->create_lease(std::chrono::seconds(6))));
    const std::uint64_t lease = store.run(client->create_lease(std::chrono::seconds(6)));
    store.service->lose_next_write_responses(1);
    CHECK_TRUE(store.run(client->keep_alive(lease)) == lease_outcome::unknown);
}

// Guards against a write that is sent to a second address although the first may have executed it.
TEST(store_client, a_write_with_unknown_outcome_is_not_repeated)
{
    store_options options = store.client_options();
    options.addresses.push_back(options.addresses[0]);
    client = std::make_unique<store_client>(store.context.get_executor(), options, store.client_hooks());
    store.service->lose_next_write_responses(1);
    CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::unknown);
    UNSIGNED_LONGS_EQUAL(1, store.service->counters()["write"]);
}

// Guards against a call that the store may have executed and that is reported as rejected because of a status
// that the store does not use.
TEST(store_client, an_unexpected_status_leaves_the_outcome_unknown)
{
    unsigned status = 0;
    const std::shared_ptr<http::server> other =
        http::server::create(store.context.get_executor(), "127.0.0.1", 0, {},
                             [&status](const http::request&) -> boost::asio::awaitable<http::response> {
                                 http::response response;
                                 response.status = status;
                                 response.body = "{}";
                                 co_return response;
                             });
    other->start();
    store_options options = store.client_options();
    options.addresses = {{"127.0.0.1", other->port()}};
    client = std::make_unique<store_client>(store.context.get_executor(), options, store.client_hooks());
    for (const unsigned unexpected : {201U, 302U}) {
        status = unexpected;
        CHECK_TRUE(write("k", "1", 0).outcome == write_outcome::unknown);
        CHECK_TRUE(store.run(client->keep_alive(1)) == lease_outcome::unknown);
    }
    status = 403;
    CHECK_THROWS(store_rejected, write("k", "1", 0));
    CHECK_THROWS(store_rejected, store.run(client->keep_alive(1)));
    other->stop();
}

// Guards against a client that stops working because one address is down.
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

    // Each lost response makes the client prefer the address that is down, until the circuit breaker of that
    // address opens. From then on the client must use the other address without calling that one.
    std::uint64_t revision = store.run(client->read("k")).entry->revision;
    for (int failure = 0; failure < 6; ++failure) {
        store.service->lose_next_write_responses(1);
        CHECK_TRUE(write("k", "2", revision).outcome == write_outcome::unknown);
        revision = store.run(client->read("k")).entry->revision;
    }
    UNSIGNED_LONGS_EQUAL(3 + 6 * 2 + 1 + 2, client->statistics().calls);
}

// Guards against excessive calls to a store that is down: their number must depend on the backoff, not on the
// number of attempts.
TEST(store_client, backoff_limits_the_calls_during_an_outage)
{
    store.set_availability(standin_store::availability::refusing);
    const int attempts = 6000;
    for (int index = 0; index < attempts; ++index) {
        CHECK_THROWS(store_unavailable, store.run(client->read("k")));
        store.now += std::chrono::milliseconds(10);
    }
    // Three failures, four shorter backoffs, and then backoffs of at most two seconds within sixty seconds.
    const store_statistics seen = client->statistics();
    CHECK_TRUE(seen.calls <= 3 + 4 + 30);
    CHECK_TRUE(seen.calls >= 20);
    UNSIGNED_LONGS_EQUAL(attempts, seen.calls + seen.suppressed_calls);

    store.set_availability(standin_store::availability::up);
    store.now += std::chrono::seconds(2);
    CHECK_FALSE(store.run(client->read("k")).entry.has_value());
    CHECK_FALSE(store.run(client->read("k")).entry.has_value());
}

// Guards against a write that is reported as failed when it timed out: it may still be applied later.
TEST(store_client, a_write_that_times_out_is_unknown)
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

// Guards against a watch that misses, repeats or reorders changes, or that does not report a discarded
// history.
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

// Guards against a rejected request that is reported as an outage, and against the reverse.
TEST(store_client, rejections_are_distinguished_from_unavailability)
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

// Guards against a write under a revoked lease that is reported as applied, and against a list of instances
// that is parsed wrongly.
TEST(store_client, lost_leases_and_listed_instances_are_reported)
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

// Guards against a backoff without jitter or upper bound, and against several trial calls within one backoff.
TEST(store_client, the_circuit_breaker_backs_off_exponentially_and_allows_one_trial_call)
{
    for (const double random : {0.0, 1.0}) {
        circuit_breaker breaker({}, [random] { return random; });
        core::instant now{std::chrono::seconds(1)};
        for (const int milliseconds : {200, 400, 800, 1600, 2000, 2000}) {
            while (breaker.is_closed()) {
                CHECK_TRUE(breaker.allow_call(now));
                breaker.record_failure(now);
            }
            const core::duration backoff = std::chrono::milliseconds(milliseconds) / (random < 0.5 ? 2 : 1);
            CHECK_FALSE(breaker.allow_call(now + backoff - std::chrono::nanoseconds(1)));
            now += backoff;
            CHECK_TRUE(breaker.allow_call(now));
            CHECK_FALSE(breaker.allow_call(now));
            breaker.record_failure(now);
        }
        breaker.record_success();
        CHECK_TRUE(breaker.allow_call(now));
    }
}

// Guards against lost updates and data races when several threads share a client.
TEST(store_client, concurrent_writers_on_several_threads_lose_no_update)
{
    constexpr int writers = 8;
    constexpr int times = 25;
    write("number", "0", 0);
    std::vector<std::future<void>> results;
    for (int writer = 0; writer < writers; ++writer) {
        results.push_back(boost::asio::co_spawn(store.context, increment_repeatedly(*client, times),
                                                boost::asio::use_future));
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
