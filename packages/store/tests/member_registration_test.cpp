// Contract tests of the registration of a member, with the faults of the store.

#include "store/member_registration.h"
#include "store/member_store.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

TEST_GROUP(member_registration)
{
    store_fixture store;
    // Time that passes with each reading of the clock by the registration.
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

    // Runs a step that may find the store unavailable, and returns whether it did.
    bool is_unavailable(boost::asio::awaitable<void> step)
    {
        try {
            store.run(std::move(step));
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

// Guards against a member whose record appears before its liveness key: peers would take it for dead.
TEST(member_registration, liveness_key_comes_before_the_record)
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

// Guards against a lost response that makes the member fence itself, join twice or never join.
TEST(member_registration, lost_responses_while_joining_are_recognised)
{
    for (std::uint64_t lost = 1; lost <= 8; ++lost) {
        const std::string id = "entry-" + std::to_string(lost) + ".1";
        const std::shared_ptr<member_registration> joining = make_registration(id);
        joins.clear();
        store.service->lose_next_write_answers(lost);
        for (int attempt = 0; attempt < 12 && joining->state() == registration_state::joining; ++attempt) {
            is_unavailable(joining->join_once());
            store.now += std::chrono::seconds(1);
        }
        CHECK_TRUE(joining->state() == registration_state::joined);
        UNSIGNED_LONGS_EQUAL(1, joins.size());
        CHECK_TRUE(entry("members/" + id).has_value());
        CHECK_TRUE(entry("alive/" + id).has_value());
        is_unavailable(joining->renew_once());
        CHECK_TRUE(fences.empty());
    }
}

// Guards against an own renewal, whose response was lost, that is taken for the write of another.
TEST(member_registration, lost_responses_of_renewals_are_recognised)
{
    join();
    store.service->lose_next_write_answers(1);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(1, registration->statistics().recognised_writes);
    UNSIGNED_LONGS_EQUAL(2, confirmations.size());

    // Reading back fails as well; the next renewal meets its own earlier write.
    store.service->set_limits(0, 1);
    store.service->lose_next_write_answers(1);
    CHECK_TRUE(is_unavailable(registration->renew_once()));
    store.service->set_limits(0, 0);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(2, registration->statistics().recognised_writes);
    UNSIGNED_LONGS_EQUAL(3, confirmations.size());
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(4, confirmations.size());
    CHECK_TRUE(fences.empty());
}

// Guards against authority that counts from the receipt of a confirmation instead of the sending.
TEST(member_registration, confirmation_counts_from_the_sending)
{
    join();
    for (const std::uint64_t lost : {0, 1}) {
        // Each look at the clock finds it one second later.
        ticks = std::chrono::seconds(1);
        const core::instant sent = store.now;
        store.service->lose_next_write_answers(lost);
        store.run(registration->renew_once());
        CHECK_TRUE(confirmations.back() == sent);
    }
}

// Guards against a delayed write that takes effect after the next one, or that is taken for another's.
TEST(member_registration, delayed_writes_are_harmless)
{
    join();
    // Released before the next renewal, which then meets its own earlier write.
    store.service->hold_next_writes(1);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(1, confirmations.size());
    store.service->release_held_writes();
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(2, confirmations.size());
    // Released after the next renewal: it must not undo that one.
    store.service->hold_next_writes(1);
    store.run(registration->renew_once());
    registration->set_state(membership::member_state::leaving);
    store.run(registration->renew_once());
    store.service->release_held_writes();
    CHECK_TRUE(view().record.state == membership::member_state::leaving);
    store.run(registration->renew_once());
    UNSIGNED_LONGS_EQUAL(4, confirmations.size());
    // A peer's delayed mark of suspicion loses against the renewal.
    member_store members(client);
    store.service->hold_next_writes(1);
    CHECK_TRUE(store.run(members.mark_suspect(view())).outcome == write_outcome::unknown);
    store.run(registration->renew_once());
    store.service->release_held_writes();
    store.run(registration->renew_once());
    CHECK_TRUE(fences.empty());
}

// Guards against a fenced member that goes on using its shares.
TEST(member_registration, fencing_is_reported)
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
             store.service->lose_next_write_answers(1);
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
            store.service->lose_next_write_answers(is_response_lost ? 1 : 0);
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

// Guards against a planned stop that deletes a record by which a peer is fencing this member.
TEST(member_registration, leaving_keeps_a_record_that_is_not_its_own)
{
    join();
    member_store members(client);
    store.run(members.mark_suspect(view()));
    CHECK_FALSE(store.run(registration->leave()));
    CHECK_TRUE(view().record.state == membership::member_state::suspect);
    UNSIGNED_LONGS_EQUAL(1, fences.size());
}

// Guards against fencing a member that renewed its record after the view was taken.
TEST(member_registration, an_outdated_view_cannot_fence)
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

// Guards against a holder that resumes after its lease expired and stays without liveness key, or that brings
// the key back although it was fenced meanwhile.
TEST(member_registration, lease_expires_while_the_holder_is_paused)
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

// Guards against a planned stop that leaves a record behind, which would cost a ledger round.
TEST(member_registration, leaving_removes_record_and_key)
{
    for (std::uint64_t lost = 0; lost <= 2; ++lost) {
        registration = make_registration("entry-1.7");
        join();
        registration->set_state(membership::member_state::leaving);
        store.run(registration->renew_once());
        CHECK_TRUE(view().record.state == membership::member_state::leaving);
        store.service->lose_next_write_answers(lost);
        CHECK_TRUE(store.run(registration->leave()));
        CHECK_FALSE(entry("members/entry-1.7").has_value());
        CHECK_FALSE(entry("alive/entry-1.7").has_value());
        CHECK_TRUE(registration->state() == registration_state::left);
        store.service->lose_next_write_answers(0);
    }
    CHECK_TRUE(fences.empty());
}

// Guards against a planned stop that hangs or claims success while the store is down.
TEST(member_registration, leaving_an_unreachable_store_fails)
{
    join();
    store.set_availability(standin_store::availability::refusing);
    CHECK_FALSE(store.run(registration->leave()));
    CHECK_TRUE(registration->state() == registration_state::joined);
}

// Guards against loops that do not start, and against calls that an idle instance does not need.
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
    // The liveness key and nine writes of the record; every second renewal keeps the lease.
    UNSIGNED_LONGS_EQUAL(10, calls["write"]);
    CHECK_TRUE(calls["lease_keepalive"] <= 4);
    UNSIGNED_LONGS_EQUAL(0, calls["read"]);
}
