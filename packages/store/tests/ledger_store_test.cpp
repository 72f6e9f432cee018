// Tests of ledger_store against the store stand-in, with lost and delayed writes.

#include "store/ledger_store.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

TEST_GROUP(ledger_store)
{
    store_fixture store;
    std::shared_ptr<store_client> client = store.make_client();
    ledger_store ledger{client};
    ledger_store other{client};

    static allowance::ledger_round open_round(std::uint64_t number)
    {
        return {number, {"b.1"}, false, "", "", 0, {}};
    }
};

// Guards against two instances that both conclude that their write opened a round, also if a response is
// lost.
TEST(ledger_store, only_one_of_two_concurrent_rounds_is_applied)
{
    for (const bool is_response_lost : {false, true}) {
        const std::optional<stored_round> before = store.run(ledger.read_round());
        const std::uint64_t revision = before ? before->revision : 0;
        const std::uint64_t number = before ? before->record.number + 1 : 1;
        CHECK_TRUE(store.run(other.write_round(open_round(number), revision)).outcome ==
                   write_outcome::applied);
        store.service->lose_next_write_responses(is_response_lost ? 1 : 0);
        const round_write_result loser = store.run(ledger.write_round(open_round(number), revision));
        CHECK_TRUE(loser.outcome == write_outcome::conflict);
        UNSIGNED_LONGS_EQUAL(number, loser.current->record.number);
        CHECK_TRUE(loser.current->revision > revision);
    }
}

// Guards against a remainder that is granted twice because the response to the write that granted it was
// lost.
TEST(ledger_store, an_own_write_is_recognised_after_a_lost_response)
{
    store.service->lose_next_write_responses(1);
    const round_write_result written = store.run(ledger.write_round(open_round(1), 0));
    CHECK_TRUE(written.outcome == write_outcome::applied);
    UNSIGNED_LONGS_EQUAL(store.run(ledger.read_round())->revision, written.revision);
    store.service->lose_next_write_responses(1);
    CHECK_TRUE(store.run(ledger.write_report({"a.1", 1, 1, {}})) == write_outcome::applied);
    CHECK_TRUE(store.run(ledger.write_report({"a.1", 2, 1, {}})) == write_outcome::applied);
    CHECK_TRUE(store.run(ledger.write_report({"a.1", 1, 1, {}})) == write_outcome::conflict);
    UNSIGNED_LONGS_EQUAL(2, store.run(ledger.read_reports()).at(0).record.round);
    CHECK_TRUE(store.run(ledger.erase_report("a.1")) == write_outcome::applied);
    CHECK_TRUE(store.run(ledger.erase_report("a.1")) == write_outcome::applied);
}

// Guards against a delayed write that is reported as not applied although it is applied later.
TEST(ledger_store, a_delayed_write_is_unknown)
{
    store.service->hold_next_writes(1);
    CHECK_TRUE(store.run(ledger.write_round(open_round(1), 0)).outcome == write_outcome::unknown);
    store.service->release_held_writes();
    const round_write_result again = store.run(other.write_round(open_round(1), 0));
    CHECK_TRUE(again.outcome == write_outcome::conflict);
    UNSIGNED_LONGS_EQUAL(1, again.current->record.number);
}

// Guards against a write that is reported as unknown although the store refused the connection.
TEST(ledger_store, a_refused_connection_is_reported_as_unavailable)
{
    store.set_availability(standin_store::availability::refusing);
    CHECK_THROWS(store_unavailable, store.run(ledger.write_round(open_round(1), 0)));
    CHECK_THROWS(store_unavailable, store.run(ledger.read_reports()));
}
