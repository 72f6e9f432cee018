// Tests of configuration_source against the store stand-in, with outages, stalled watches and restored
// snapshots.

#include "store/configuration_source.h"

#include "config/configuration_json.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

TEST_GROUP(configuration_source)
{
    store_fixture store;
    std::shared_ptr<store_client> client = store.make_client();
    std::vector<std::uint64_t> accepted;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> regressions;
    int invalid = 0;
    std::shared_ptr<configuration_source> source =
        configuration_source::create(store.context.get_executor(), client, {}, make_hooks());

    configuration_hooks make_hooks()
    {
        configuration_hooks hooks;
        hooks.on_new_configuration = [this](const config::configuration& value, const std::string& text) {
            accepted.push_back(value.revision);
            CHECK_TRUE(config::to_json(value) == text);
        };
        hooks.on_regression = [this](std::uint64_t offered, std::uint64_t known) {
            regressions.emplace_back(offered, known);
        };
        hooks.on_invalid = [this](const std::string&) { ++invalid; };
        return hooks;
    }

    void write(const std::string& text)
    {
        const read_result present = store.run(client->read("config/current"));
        store.run(client->write("config/current", text, present.entry ? present.entry->revision : 0));
    }

    void write(std::uint64_t revision, const std::string& nonce = "n")
    {
        config::configuration value;
        value.revision = revision;
        value.nonce = nonce;
        write(config::to_json(value));
    }
};

// Guards against a newer configuration that is missed, or reported twice because both the watch and a read
// return it.
TEST(configuration_source, each_newer_configuration_is_reported_once)
{
    store.run(source->read_once());
    write(3);
    store.run(source->watch_once());
    store.run(source->read_once());
    write(5);
    store.run(source->read_once());
    store.run(source->watch_once());
    CHECK_TRUE((accepted == std::vector<std::uint64_t>{3, 5}));
    CHECK_TRUE(regressions.empty());
}

// Guards against a configuration that stays out of date because the watch has stalled without an error.
TEST(configuration_source, reads_find_a_newer_configuration_while_the_watch_stalls)
{
    store.run(source->read_once());
    store.service->set_watches_stalled(true);
    std::future<void> stalled =
        boost::asio::co_spawn(store.context, source->watch_once(), boost::asio::use_future);
    write(3);
    store.run(source->read_once());
    CHECK_TRUE(stalled.wait_for(std::chrono::seconds(0)) != std::future_status::ready);
    CHECK_TRUE((accepted == std::vector<std::uint64_t>{3}));
}

// Guards against a revert to an older configuration, or to a different one with the same revision, and
// against such a regression that is not reported exactly once.
TEST(configuration_source, an_older_configuration_is_reported_once_and_not_accepted)
{
    write(3);
    store.service->take_snapshot("three");
    write(7, "first");
    store.run(source->read_once());
    const struct {
        const char* name;
        std::function<void()> change;
        std::uint64_t offered;
    } cases[] = {
        {"lower revision", [&] { write(6); }, 6},
        {"same revision with another content", [&] { write(7, "second"); }, 7},
        {"deleted",
         [&] {
             const read_result present = store.run(client->read("config/current"));
             store.run(client->erase("config/current", present.entry->revision));
         },
         0},
        {"restored store", [&] { store.service->restore_snapshot("three"); }, 3},
    };
    for (const auto& item : cases) {
        regressions.clear();
        item.change();
        store.run(source->read_once());
        store.run(source->read_once());
        store.run(source->watch_once());
        UNSIGNED_LONGS_EQUAL_TEXT(1, regressions.size(), item.name);
        UNSIGNED_LONGS_EQUAL_TEXT(item.offered, regressions[0].first, item.name);
        UNSIGNED_LONGS_EQUAL_TEXT(7, regressions[0].second, item.name);
    }
    CHECK_TRUE((accepted == std::vector<std::uint64_t>{7}));
    write(8);
    store.run(source->watch_once());
    CHECK_TRUE((accepted == std::vector<std::uint64_t>{7, 8}));
}

// Guards against a configuration from a peer that is replaced by an older one from the store.
TEST(configuration_source, a_configuration_older_than_one_from_a_peer_is_a_regression)
{
    source->raise_known_revision(9);
    write(8);
    store.run(source->read_once());
    CHECK_TRUE(accepted.empty());
    UNSIGNED_LONGS_EQUAL(1, regressions.size());
    source->raise_known_revision(5);
    UNSIGNED_LONGS_EQUAL(9, source->known_revision());
    write(9);
    store.run(source->read_once());
    UNSIGNED_LONGS_EQUAL(1, regressions.size());
}

// Guards against an invalid document that is accepted, or that prevents the next valid one from being
// accepted.
TEST(configuration_source, each_invalid_document_is_reported_once)
{
    for (const char* text : {"", "{}", "[", "{\"revision\":99}"}) {
        write(text);
        store.run(source->read_once());
        store.run(source->read_once());
    }
    LONGS_EQUAL(4, invalid);
    CHECK_TRUE(accepted.empty());
    write(1);
    store.run(source->read_once());
    CHECK_TRUE((accepted == std::vector<std::uint64_t>{1}));
}

// Guards against loops that end when a call fails, or that continue after stop().
TEST(configuration_source, the_loops_continue_after_an_outage)
{
    write(4);
    store.set_availability(standin_store::availability::unanswered);
    configuration_options options;
    options.read_interval = std::chrono::milliseconds(1);
    options.watch_pause = std::chrono::milliseconds(1);
    const std::shared_ptr<configuration_source> looping =
        configuration_source::create(store.context.get_executor(), client, options, make_hooks());
    looping->start();
    while (looping->statistics().reads < 1) {
        store.context.run_one();
    }
    store.set_availability(standin_store::availability::refusing);
    while (looping->statistics().failures < 5) {
        store.context.run_one();
    }
    store.set_availability(standin_store::availability::up);
    store.now += std::chrono::seconds(10);
    while (accepted.empty()) {
        store.context.run_one();
    }
    looping->stop();
    const std::uint64_t revision = looping->known_revision();
    write(5);
    store.run(source->read_once());
    UNSIGNED_LONGS_EQUAL(revision, looping->known_revision());
}
