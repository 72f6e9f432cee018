// Tests of the membership view, of role assignment and of authority.

#include "membership/authority.h"
#include "membership/member_tracker.h"
#include "membership/roles.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <map>

// Included last, since its macros that replace operator new break the headers of rapidcheck.
#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::membership;

namespace
{

// rapidcheck takes its seed from the environment. A fixed seed gives the same result in each run.
const int seed_setenv_result = setenv("RC_PARAMS", "seed=7", 0);

core::instant instant_at(double seconds)
{
    return core::instant(core::duration(static_cast<core::duration::rep>(seconds * 1e9)));
}

stored_member make_entry(const std::string& id, member_state state = member_state::serving,
                         const std::string& zone = "zone-0")
{
    stored_member result;
    result.record.id = id;
    result.record.availability_zone = zone;
    result.record.state = state;
    result.is_alive = true;
    return result;
}

} // namespace

TEST_GROUP(member_tracker){};

// Guards against a late response to an earlier read that brings a departed member back.
TEST(member_tracker, an_older_list_is_ignored)
{
    member_tracker view("a");
    CHECK_TRUE(view.set_list({7, {make_entry("a"), make_entry("b")}}));
    CHECK_FALSE(view.set_list({6, {make_entry("a"), make_entry("b"), make_entry("c")}}));
    CHECK_TRUE(view.find_member("c") == nullptr);
}

// Guards against work sent to silent, suspect or leaving peers.
TEST(member_tracker, live_and_serving_peers_depend_on_heartbeat_and_state)
{
    member_tracker view("a");
    view.set_list({1,
                   {make_entry("a"), make_entry("b"), make_entry("c", member_state::leaving),
                    make_entry("d", member_state::suspect), make_entry("e")}});
    for (const char* id : {"b", "c", "d", "unknown"}) {
        view.note_heartbeat(id, instant_at(1));
    }
    view.note_heartbeat("e", instant_at(0.5));
    CHECK_TRUE((view.live_peers(instant_at(2.9)) == std::vector<std::string>{"b", "c"}));
    CHECK_TRUE((view.serving_peers(instant_at(2.9)) == std::vector<std::string>{"b"}));
    CHECK_TRUE(view.live_peers(instant_at(3.1)).empty());
}

TEST_GROUP(roles){};

// Guards against a departure that moves roles of the remaining members.
TEST(roles, a_departure_moves_only_the_roles_of_the_departed_member)
{
    const bool is_minimal = rc::check("rendezvous assignment is minimal", [] {
        const auto count = *rc::gen::inRange(2, 20);
        std::vector<std::string> candidates;
        for (int index = 0; index < count; ++index) {
            candidates.push_back("instance-" + std::to_string(index));
        }
        const std::string role = "role-" + std::to_string(*rc::gen::inRange(0, 1000));
        const std::string departed = candidates[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
        const std::string previous_holder = roles::rank(role, candidates).front();
        std::erase(candidates, departed);
        if (previous_holder != departed) {
            RC_ASSERT(roles::rank(role, candidates).front() == previous_holder);
        }
    });
    CHECK_TRUE(is_minimal);
}

// Guards against a hash that assigns most roles to one member.
TEST(roles, roles_are_spread_evenly_over_the_members)
{
    std::map<std::string, int> roles_per_member;
    for (int role = 0; role < 700; ++role) {
        ++roles_per_member[roles::rank("role-" + std::to_string(role), {"a", "b", "c", "d", "e", "f", "g"})
                               .front()];
    }
    for (const auto& [id, count] : roles_per_member) {
        CHECK_TRUE(count > 60 && count < 145);
    }
    LONGS_EQUAL(7, roles_per_member.size());
}

// Guards against a role of one availability zone that is held by a member in another.
TEST(roles, a_holder_is_found_within_one_availability_zone)
{
    member_tracker view("a");
    view.set_list({1, {make_entry("a"), make_entry("b", member_state::serving, "zone-1")}});
    view.note_heartbeat("b", instant_at(1));
    STRCMP_EQUAL("b", roles::find_holder("relay", view, instant_at(1), "zone-1")->c_str());
    STRCMP_EQUAL("a", roles::find_holder("relay", view, instant_at(1), "zone-0")->c_str());
    CHECK_FALSE(roles::find_holder("relay", view, instant_at(1), "zone-2").has_value());
}

TEST_GROUP(authority)
{
    authority own_authority{authority_settings{}};

    void expect_authority_until(double seconds)
    {
        CHECK_TRUE(own_authority.has_authority(instant_at(seconds) - core::duration(1)));
        CHECK_FALSE(own_authority.has_authority(instant_at(seconds)));
    }
};

// Guards against an instance that serves before the store has confirmed its record.
TEST(authority, no_authority_before_the_first_confirmation)
{
    own_authority.set_members({"b"});
    own_authority.record_vouch("b", instant_at(1));
    CHECK_FALSE(own_authority.has_authority(instant_at(0)));
}

// Guards against a paused or isolated instance that keeps authority for longer than the authority lifetime
// and the isolation limit together.
TEST(authority, a_confirmation_counts_from_the_sending_of_its_request)
{
    own_authority.set_members({"b"});
    own_authority.record_store_confirmation(instant_at(100));
    expect_authority_until(113);
    own_authority.record_store_confirmation(instant_at(90));
    expect_authority_until(113);
}

// Guards against authority that is extended by the vouches of some members while another may be fencing this
// instance.
TEST(authority, vouching_counts_only_if_it_is_unanimous)
{
    own_authority.set_members({"b", "c"});
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.record_vouch("b", instant_at(50));
    expect_authority_until(13);
    own_authority.record_vouch("c", instant_at(40));
    expect_authority_until(53);
    own_authority.record_vouch("stranger", instant_at(60));
    expect_authority_until(53);
}

// Guards against a fleet that stops serving because the process of one member has ended while the store
// cannot be reached.
TEST(authority, a_refused_connection_counts_like_a_vouch)
{
    own_authority.set_members({"b", "c"});
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.record_vouch("b", instant_at(50));
    own_authority.record_connection_refused("c", instant_at(45));
    expect_authority_until(58);
}

// Guards against vouches that still extend the authority of a suspect when a member that the suspect did not
// know has completed its fencing.
TEST(authority, vouches_count_only_up_to_the_autonomy_limit)
{
    own_authority.set_members({"b"});
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.record_vouch("b", instant_at(7 * 3600));
    expect_authority_until(6 * 3600 + 13);
}

// Guards against an instance that starts or remains alone and gets hours of authority at once. It would keep
// that authority when other members join and fence it.
TEST(authority, a_lone_member_extends_its_authority_in_steps)
{
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.extend_if_alone(instant_at(1));
    expect_authority_until(13);
    own_authority.set_members({});
    expect_authority_until(13);
    own_authority.extend_if_alone(instant_at(20));
    expect_authority_until(33);
    own_authority.set_members({"b"});
    own_authority.extend_if_alone(instant_at(30));
    expect_authority_until(33);
}

// Guards against authority that is extended without the vouch of a member that has just joined.
TEST(authority, a_new_member_must_vouch_too)
{
    own_authority.set_members({"b"});
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.record_vouch("b", instant_at(20));
    expect_authority_until(33);
    own_authority.set_members({"b", "n"});
    own_authority.record_vouch("b", instant_at(30));
    expect_authority_until(33);
    own_authority.record_vouch("n", instant_at(30));
    expect_authority_until(43);
}

// Guards against a fenced instance that regains authority through a late response.
TEST(authority, revoked_authority_does_not_return)
{
    own_authority.set_members({"b"});
    own_authority.record_store_confirmation(instant_at(0));
    own_authority.revoke();
    own_authority.record_store_confirmation(instant_at(1));
    own_authority.record_vouch("b", instant_at(1));
    CHECK_FALSE(own_authority.has_authority(instant_at(1)));
    CHECK_FALSE(own_authority.may_vouch("b"));
}

// Guards against fencing that completes while the suspect may still act.
TEST(authority, fencing_waits_for_the_grace_period_and_the_autonomy_limit)
{
    const authority_settings settings;
    own_authority.set_members({"x"});
    CHECK_TRUE(own_authority.may_vouch("x"));
    CHECK_FALSE(own_authority.may_fence("x", true, instant_at(1000)));
    own_authority.refuse_to_vouch("x", instant_at(10));
    own_authority.refuse_to_vouch("x", instant_at(20));
    CHECK_FALSE(own_authority.may_vouch("x"));
    const core::instant end = instant_at(10) + settings.grace_period();
    CHECK_FALSE(own_authority.may_fence("x", true, end - core::duration(1)));
    CHECK_TRUE(own_authority.may_fence("x", true, end));
    CHECK_FALSE(own_authority.may_fence("x", false, end));
    CHECK_TRUE(own_authority.may_fence("x", false, end + settings.autonomy_expiry_wait()));
    own_authority.end_refusal("x");
    CHECK_FALSE(own_authority.may_fence("x", true, end));
    // Authority lifetime, isolation limit and longest request, 23 s together, on a clock that is 1 % fast.
    CHECK_TRUE(settings.grace_period() >= std::chrono::milliseconds(23'230));
}
