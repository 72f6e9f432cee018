// Tests of membership_watch, ledger_watch and their mirrors against the store stand-in, with stalled watches,
// discarded history and restored snapshots.

#include "store/ledger_watch.h"
#include "store/membership_watch.h"
#include "store/records.h"
#include "store_fixture.h"
#include "watch_delay_proxy.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

TEST_GROUP(membership_and_ledger_watch)
{
    store_fixture store;
    std::shared_ptr<store_client> client = store.make_client();
    std::vector<membership_view> views;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> regressions;
    std::shared_ptr<membership_watch> watch = make_watch();

    std::shared_ptr<membership_watch> make_watch()
    {
        mirror_options options;
        options.watch_timeout = std::chrono::seconds(20);
        membership_hooks hooks;
        hooks.on_view = [this](const membership_view& view) { views.push_back(view); };
        hooks.on_regression = [this](std::uint64_t offered, std::uint64_t known) {
            regressions.emplace_back(offered, known);
        };
        return membership_watch::create(store.context.get_executor(), client, options, hooks);
    }

    static std::string record_text(const std::string& id)
    {
        membership::member record;
        record.id = id;
        record.instance = id.substr(0, id.find('.'));
        return to_record(record, {"n", 1});
    }

    std::uint64_t write(const std::string& key, const std::string& value, std::uint64_t lease = 0)
    {
        const read_result present = store.run(client->read(key));
        const std::uint64_t expected = present.entry ? present.entry->revision : 0;
        return store.run(client->write(key, value, expected, lease)).revision;
    }

    void add_member(const std::string& id)
    {
        write("alive/" + id, "x", store.run(client->create_lease(std::chrono::seconds(6))));
        write("members/" + id, record_text(id));
    }
};

// Guards against a view that lacks members or has a wrong liveness or joined_revision.
TEST(membership_and_ledger_watch, the_view_follows_records_and_liveness_keys)
{
    add_member("a.1");
    store.run(watch->list_once());
    UNSIGNED_LONGS_EQUAL(1, views.back().members.size());
    const member_view first = views.back().members[0];
    CHECK_TRUE(first.is_alive);
    UNSIGNED_LONGS_EQUAL(first.record_revision, first.record.joined_revision);

    const std::uint64_t renewed = write("members/a.1", record_text("a.1"));
    store.run(watch->members().watch_once());
    UNSIGNED_LONGS_EQUAL(renewed, views.back().members[0].record_revision);
    UNSIGNED_LONGS_EQUAL(first.record.joined_revision, views.back().members[0].record.joined_revision);
    UNSIGNED_LONGS_EQUAL(renewed, views.back().revision);

    store.service->expire_lease_of("alive/a.1");
    store.run(watch->liveness_keys().watch_once());
    CHECK_FALSE(views.back().members[0].is_alive);
}

// Guards against a new member that is taken for dead because the mirror of the liveness keys is older than
// its record.
TEST(membership_and_ledger_watch, a_new_member_is_alive_until_the_liveness_keys_are_as_new_as_its_record)
{
    store.run(watch->list_once());
    add_member("a.1");
    store.run(watch->members().watch_once());
    CHECK_TRUE(views.back().members[0].is_alive);
    store.service->expire_lease_of("alive/a.1");
    store.run(watch->liveness_keys().list_once());
    CHECK_FALSE(views.back().members[0].is_alive);
}

// Guards against an invalid record that removes other members from the view.
TEST(membership_and_ledger_watch, invalid_records_are_omitted_and_counted)
{
    add_member("a.1");
    write("members/b.1", "{\"version\":2}");
    write("members/c.1", record_text("d.1"));
    store.run(watch->list_once());
    UNSIGNED_LONGS_EQUAL(1, views.back().members.size());
    UNSIGNED_LONGS_EQUAL(2, watch->invalid_records());
}

// Guards against changes that are lost when the store has discarded the history.
TEST(membership_and_ledger_watch, discarded_history_leads_to_a_listing)
{
    store.run(watch->list_once());
    add_member("a.1");
    store.service->discard_history();
    store.run(watch->members().watch_once());
    UNSIGNED_LONGS_EQUAL(1, views.back().members.size());
    UNSIGNED_LONGS_EQUAL(0, watch->members().statistics().regressions);
    add_member("b.1");
    store.run(watch->members().watch_once());
    UNSIGNED_LONGS_EQUAL(2, views.back().members.size());
}

// Guards against a view that stays out of date because its watch has stalled without an error.
TEST(membership_and_ledger_watch, listings_update_the_view_while_the_watch_stalls)
{
    store.run(watch->list_once());
    store.service->set_watches_stalled(true);
    std::future<void> stalled =
        boost::asio::co_spawn(store.context, watch->members().watch_once(), boost::asio::use_future);
    add_member("a.1");
    CHECK_TRUE(stalled.wait_for(std::chrono::seconds(0)) != std::future_status::ready);
    store.run(watch->members().list_once());
    UNSIGNED_LONGS_EQUAL(1, views.back().members.size());

    // The member leaves before the stalled watch returns its older changes, which must not add it again.
    const std::uint64_t revision = store.run(client->read("members/a.1")).entry->revision;
    store.run(client->erase("members/a.1", revision));
    store.run(watch->members().list_once());
    CHECK_TRUE(views.back().members.empty());
    store.service->set_watches_stalled(false);
    while (stalled.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        store.context.run_one();
    }
    CHECK_TRUE(views.back().members.empty());
}

// Guards against a restore of the store that is not detected, or after which the view mixes the restored
// state with the one before.
TEST(membership_and_ledger_watch, the_view_is_replaced_after_a_restore_of_the_store)
{
    for (const bool by_watch : {false, true}) {
        add_member("a.1");
        store.service->take_snapshot("old");
        add_member("b.1");
        watch = make_watch();
        store.run(watch->list_once());
        UNSIGNED_LONGS_EQUAL(2, views.back().members.size());
        regressions.clear();
        store.service->restore_snapshot("old");
        if (by_watch) {
            store.run(watch->members().watch_once());
        } else {
            store.run(watch->members().list_once());
        }
        UNSIGNED_LONGS_EQUAL(1, regressions.size());
        CHECK_TRUE(regressions[0].first < regressions[0].second);
        UNSIGNED_LONGS_EQUAL(1, views.back().members.size());
        // Changes after the restore are seen.
        add_member("c.1");
        store.run(watch->members().watch_once());
        UNSIGNED_LONGS_EQUAL(2, views.back().members.size());
        const std::uint64_t revision = store.run(client->read("members/c.1")).entry->revision;
        store.run(client->erase("members/c.1", revision));
    }
}

// Guards against a watch response that arrives after a newer listing and adds a member again that has left
// meanwhile, or that existed only before a restore of the store.
TEST(membership_and_ledger_watch, a_watch_response_older_than_a_listing_changes_nothing)
{
    for (const bool is_restored : {false, true}) {
        watch_delay_proxy proxy(store.context, store.server->port());
        store_options options = store.client_options();
        options.addresses[0].port = proxy.port();
        client = std::make_shared<store_client>(store.context.get_executor(), options, store.client_hooks());
        watch = make_watch();
        store.service->take_snapshot("old");
        const std::uint64_t seen = write("members/b.1", record_text("b.1"));
        store.run(watch->list_once());
        proxy.close();
        std::future<void> delayed_watch =
            boost::asio::co_spawn(store.context, watch->members().watch_once(), boost::asio::use_future);
        const std::uint64_t revision = write("members/a.1", record_text("a.1"));
        while (proxy.held() == 0) {
            store.context.run_one();
        }
        if (is_restored) {
            store.service->restore_snapshot("old");
        } else {
            store.run(client->erase("members/a.1", revision));
            store.run(client->erase("members/b.1", seen));
        }
        store.run(watch->members().list_once());
        CHECK_TRUE(views.back().members.empty());
        proxy.open();
        while (delayed_watch.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            store.context.run_one();
        }
        CHECK_TRUE(views.back().members.empty());
        CHECK_TRUE(watch->members().entries().empty());
    }
}

// Guards against loops that end when a call fails: the view must be updated again after an outage.
TEST(membership_and_ledger_watch, the_loops_continue_after_an_outage)
{
    store.set_availability(standin_store::availability::refusing);
    mirror_options options;
    options.watch_pause = std::chrono::milliseconds(1);
    options.list_interval = std::chrono::milliseconds(1);
    membership_hooks hooks;
    hooks.on_view = [this](const membership_view& view) { views.push_back(view); };
    const std::shared_ptr<membership_watch> looping =
        membership_watch::create(store.context.get_executor(), client, options, hooks);
    looping->start();
    while (looping->members().statistics().failures < 5) {
        store.context.run_one();
    }
    CHECK_TRUE(views.empty());
    store.set_availability(standin_store::availability::up);
    store.now += std::chrono::seconds(10);
    while (views.empty()) {
        store.context.run_one();
    }
    add_member("a.1");
    while (views.back().members.empty()) {
        store.context.run_one();
    }
    looping->stop();
}

// Guards against a view of the ledger that omits an invalid report, whose shares would then count as lost.
TEST(membership_and_ledger_watch, no_ledger_view_is_published_while_a_record_is_invalid)
{
    std::vector<ledger_view> ledgers;
    ledger_hooks hooks;
    hooks.on_view = [&](const ledger_view& view) { ledgers.push_back(view); };
    const std::shared_ptr<ledger_watch> ledger =
        ledger_watch::create(store.context.get_executor(), client, {}, hooks);
    ledger_store writer(client);
    CHECK_TRUE(store.run(writer.write_round({1, {"b.1"}, false, "", "", 0, {}}, 0)).outcome ==
               write_outcome::applied);
    CHECK_TRUE(store.run(writer.write_report({"a.1", 1, 1, {{"l", {1, 1, 1}}}})) == write_outcome::applied);
    store.run(ledger->mirror().list_once());
    UNSIGNED_LONGS_EQUAL(1, ledgers.back().round->record.number);
    UNSIGNED_LONGS_EQUAL(1, ledgers.back().reports.size());
    write("ledger/report/c.1", "{}");
    store.run(ledger->mirror().watch_once());
    UNSIGNED_LONGS_EQUAL(1, ledgers.size());
    UNSIGNED_LONGS_EQUAL(1, ledger->invalid_records());
    CHECK_TRUE(store.run(writer.erase_report("c.1")) == write_outcome::applied);
    store.run(ledger->mirror().watch_once());
    UNSIGNED_LONGS_EQUAL(1, ledgers.back().reports.size());
}
