// Tests of member_registration and member_store against the store stand-in, with lost responses, delayed
// writes, expired leases and restored snapshots.

#include "store/member_registration.h"
#include "store/member_store.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

TEST_GROUP(member_registration)
{
    store_fixture store;
    // Time by which each reading of the registration's clock advances it.
    core::duration ticks{};
    std::shared_ptr<store_client> client = store.make_client();
    std::vector<core::instant> confirmations;
    std::vector<fence_reason> fences;
    std::vector<std::uint64_t> joins;
    std::shared_ptr<member_registration> registration = make_registration("entry-1.7");

    std::shared_ptr<member_registration> make_registration(const std::string& id)
    {
        membership::member record;
        record.id = id;
        record.instance = id.substr(0, id.find('.'));
        record.host = "127.0.0.1";
        registration_hooks hooks;
        hooks.now = [this] {
            store.now += ticks;
            return store.now - ticks;
        };
        hooks.on_joined = [this](std::uint64_t revision) { joins.push_back(revision); };
        hooks.on_confirmed = [this](core::instant sent) { confirmations.push_back(sent); };
        hooks.on_fenced = [this](fence_reason reason) { fences.push_back(reason); };
        return member_registration::create(store.context.get_executor(), client, record, {}, hooks);
    }

    // Runs an operation and returns whether it threw store_unavailable.
    bool throws_unavailable(boost::asio::awaitable<void> operation)
    {
        try {
            store.run(std::move(operation));
        } catch (const store_unavailable&) {
            return true;
        }
        return false;
    }

    void join()
    {
        store.run(registration->join_once());
        CHECK_TRUE(registration->state() == registration_state::joined);
    }

    std::optional<store_entry> entry(const std::string& key)
    {
        return store.run(client->read(key)).entry;
    }

    member_view view()
    {
        const store_entry found = *entry("members/entry-1.7");
        return {member_from_record(found.value, found.key), found.revision, true};
    }
};

// Guards against a record that is created before the liveness key: peers would take the member for dead.
TEST(member_registration, the_liveness_key_is_created_before_the_record)
{
    join();
    const store_entry record = *entry("members/entry-1.7");
    const store_entry alive = *entry("alive/entry-1.7");
    CHECK_TRUE(alive.created_revision < record.created_revision);
    CHECK_TRUE(alive.lease != 0);
    UNSIGNED_LONGS_EQUAL(0, record.lease);
    UNSIGNED_LONGS_EQUAL(record.created_revision, joins.at(0));
    UNSIGNED_LONGS_EQUAL(1, confirmations.size());
}

// Guards against lost responses that make a joining member consider itself fenced, join twice or never join.
TEST(member_registration, joining_succeeds_despite_lost_responses)
{
    for (std::uint64_t lost = 1; lost <= 8; ++lost) {
        const std::string id = "entry-" + std::to_string(lost) + ".1";
        const std::shared_ptr<member_registration> joining = make_registration(id);
        joins.clear();
        store.service->lose_next_write_responses(lost);
        for (int attempt = 0; attempt < 12 && joining->state() == registration_state::joining; ++attempt) {
            throws_unavailable(joining->join_once());
            store.now += std::chrono::seconds(1);
        }
        CHECK_TRUE(joining->state() == registration_state::joined);
        UNSIGNED_LONGS_EQUAL(1, joins.size());
        CHECK_TRUE(entry("members/" + id).has_value());
        CHECK_TRUE(entry("alive/" + id).has_value());
        throws_unavailable(joining->renew_once());
        CHECK_TRUE(fences.empty());
    }
}

// Guards against an own renewal that is taken for a peer's write because its response was lost.
TEST(member_registration, renewals_with_lost_responses_are_recognised)
{
    join();
    store.service->lose_next_write_responses(1);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(1, registration->statistics().recognised_writes);
    UNSIGNED_LONGS_EQUAL(2, confirmations.size());

    // The read after the lost response fails as well, so the next renewal conflicts with the member's own
    // write.
    store.service->set_limits(0, 1);
    store.service->lose_next_write_responses(1);
    CHECK_TRUE(throws_unavailable(registration->renew_once()));
    store.service->set_limits(0, 0);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(2, registration->statistics().recognised_writes);
    UNSIGNED_LONGS_EQUAL(3, confirmations.size());
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(4, confirmations.size());
    CHECK_TRUE(fences.empty());
}

// Guards against authority that is counted from the receipt of the confirmation instead of the sending of the
// write, which would extend authority by the time in transit.
TEST(member_registration, a_confirmation_has_the_time_of_sending)
{
    join();
    for (const std::uint64_t lost : {0, 1}) {
        // Each reading of the clock advances it by one second.
        ticks = std::chrono::seconds(1);
        const core::instant sent = store.now;
        store.service->lose_next_write_responses(lost);
        store.run(registration->renew_once());
        CHECK_TRUE(confirmations.back() == sent);
    }
}

// Guards against a delayed write that overwrites a later one, or that is taken for a peer's write and fences
// the member.
TEST(member_registration, delayed_writes_neither_undo_renewals_nor_fence)
{
    join();
    // The delayed write is applied before the next renewal, which then conflicts with it.
    store.service->hold_next_writes(1);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(1, confirmations.size());
    store.service->release_held_writes();
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(2, confirmations.size());
    // The delayed write is released after the next renewal, which it must not undo.
    store.service->hold_next_writes(1);
    store.run(registration->renew_once());
    registration->set_state(membership::member_state::leaving);
    store.run(registration->renew_once());
    store.service->release_held_writes();
    CHECK_TRUE(view().record.state == membership::member_state::leaving);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(4, confirmations.size());
    // A peer's delayed write of the state suspect fails, because the record was renewed before.
    member_store members(client);
    store.service->hold_next_writes(1);
    CHECK_TRUE(store.run(members.mark_suspect(view())).outcome == write_outcome::unknown);
    store.run(registration->renew_once());
    store.service->release_held_writes();
    store.run(registration->renew_once());
    CHECK_TRUE(fences.empty());
}

// Guards against a fenced member that is not told so and continues to use its shares.
TEST(member_registration, fencing_is_reported_once)
{
    struct fence_case {
        const char* name;
        std::function<void()> fence;
        fence_reason expected;
    };
    member_store members(client);
    const fence_case cases[] = {
        {"suspect", [&] { store.run(members.mark_suspect(view())); }, fence_reason::suspect},
        {"suspect, its response lost",
         [&] {
             store.service->lose_next_write_responses(1);
             CHECK_TRUE(store.run(members.mark_suspect(view())).outcome == write_outcome::applied);
         },
         fence_reason::suspect},
        {"removed", [&] { store.run(members.remove(view())); }, fence_reason::gone},
        {"overwritten", [&] { store.run(client->write("members/entry-1.7", "{}", view().record_revision)); },
         fence_reason::changed},
        {"suspect, then removed",
         [&] {
             store.run(members.mark_suspect(view()));
             store.run(members.remove(view()));
         },
         fence_reason::gone},
        {"restored older state",
         [&] {
             store.service->take_snapshot("old");
             store.run(registration->renew_once());
             store.service->restore_snapshot("old");
         },
         fence_reason::changed},
    };
    for (const bool is_response_lost : {false, true}) {
        for (const fence_case& item : cases) {
            if (const std::optional<store_entry> left = entry("members/entry-1.7")) {
                store.run(client->erase(left->key, left->revision));
            }
            fences.clear();
            registration = make_registration("entry-1.7");
            join();
            item.fence();
            const std::size_t confirmed = confirmations.size();
            store.service->lose_next_write_responses(is_response_lost ? 1 : 0);
            store.run(registration->renew_once());
            UNSIGNED_LONGS_EQUAL_TEXT(1, fences.size(), item.name);
            CHECK_TEXT(fences[0] == item.expected, item.name);
            store.run(registration->renew_once());
            store.run(registration->keep_alive_once());
            UNSIGNED_LONGS_EQUAL(1, fences.size());
            UNSIGNED_LONGS_EQUAL(confirmed, confirmations.size());
            CHECK_FALSE(store.run(registration->leave()));
        }
    }
}

// Guards against a planned shutdown that deletes the record while a peer is fencing the member.
TEST(member_registration, leaving_keeps_a_record_changed_by_a_peer)
{
    join();
    member_store members(client);
    store.run(members.mark_suspect(view()));
    CHECK_FALSE(store.run(registration->leave()));
    CHECK_TRUE(view().record.state == membership::member_state::suspect);
    UNSIGNED_LONGS_EQUAL(1, fences.size());
}

// Guards against a peer that fences a member although the member has renewed its record since the view was
// taken.
TEST(member_registration, fencing_by_an_outdated_view_conflicts)
{
    join();
    const member_view outdated = view();
    store.run(registration->renew_once());
    member_store members(client);
    CHECK_TRUE(store.run(members.mark_suspect(outdated)).outcome == write_outcome::conflict);
    CHECK_TRUE(store.run(members.remove(outdated)).outcome == write_outcome::conflict);
    store.run(registration->renew_once());
    CHECK_TRUE(fences.empty());
}

// Guards against a member that was paused until its lease expired and then stays without a liveness key, or
// that creates the key again although it was fenced meanwhile.
TEST(member_registration, the_liveness_key_is_recreated_unless_fenced)
{
    join();
    store.now += std::chrono::seconds(7);
    store.service->expire_leases();
    CHECK_FALSE(entry("alive/entry-1.7").has_value());
    store.run(registration->keep_alive_once());
    CHECK_TRUE(entry("alive/entry-1.7").has_value());
    UNSIGNED_LONGS_EQUAL(1, registration->statistics().leases_lost);

    store.service->expire_lease_of("alive/entry-1.7");
    member_store members(client);
    store.run(members.mark_suspect(view()));
    store.run(registration->keep_alive_once());
    CHECK_FALSE(entry("alive/entry-1.7").has_value());
    UNSIGNED_LONGS_EQUAL(1, fences.size());
}

// Guards against a planned shutdown that leaves the record in the store: peers would have to fence the
// member, which costs a ledger round.
TEST(member_registration, leaving_deletes_the_record_and_the_liveness_key)
{
    for (std::uint64_t lost = 0; lost <= 2; ++lost) {
        registration = make_registration("entry-1.7");
        join();
        registration->set_state(membership::member_state::leaving);
        store.run(registration->renew_once());
        CHECK_TRUE(view().record.state == membership::member_state::leaving);
        store.service->lose_next_write_responses(lost);
        CHECK_TRUE(store.run(registration->leave()));
        CHECK_FALSE(entry("members/entry-1.7").has_value());
        CHECK_FALSE(entry("alive/entry-1.7").has_value());
        CHECK_TRUE(registration->state() == registration_state::left);
        store.service->lose_next_write_responses(0);
    }
    CHECK_TRUE(fences.empty());
}

// Guards against a planned shutdown that hangs or reports success while the store cannot be reached.
TEST(member_registration, leaving_fails_while_the_store_is_unreachable)
{
    join();
    store.set_availability(standin_store::availability::refusing);
    CHECK_FALSE(store.run(registration->leave()));
    CHECK_TRUE(registration->state() == registration_state::joined);
}

// Guards against a loop that does not start, and against unnecessary calls to the store.
TEST(member_registration, the_loop_joins_and_renews)
{
    registration_options options;
    options.renewal_interval = std::chrono::milliseconds(1);
    registration_hooks hooks;
    hooks.now = [this] { return store.now; };
    hooks.on_confirmed = [this](core::instant sent) { confirmations.push_back(sent); };
    membership::member record;
    record.id = "entry-2.1";
    record.instance = "entry-2";
    const std::shared_ptr<member_registration> looping =
        member_registration::create(store.context.get_executor(), client, record, options, hooks);
    looping->start();
    while (confirmations.size() < 9) {
        store.context.run_one();
    }
    looping->stop();
    standin_store::call_counters calls = store.service->counters();
    // One write of the liveness key and nine of the record; every second renewal sends a keepalive.
    UNSIGNED_LONGS_EQUAL(10, calls["write"]);
    CHECK_TRUE(calls["lease_keepalive"] <= 4);
    UNSIGNED_LONGS_EQUAL(0, calls["read"]);
}
