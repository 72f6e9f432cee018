// Tests of what connections and responses tell about new incarnations of an endpoint.

#include "placement/incarnation_check.h"

#include "placement/cold_start.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr core::duration cold_duration = seconds(3);

core::instant at_ms(int milliseconds_since_start)
{
    return core::instant(seconds(100) + milliseconds(milliseconds_since_start));
}

} // namespace

TEST_GROUP(incarnation_check)
{
    endpoint target;
    const fleet_view single_instance{1, {7}, 7};

    void setup() override
    {
        target.confirmed_at = at_ms(0);
    }

    static cold_limit make_limit(bool is_discovery_current)
    {
        return {2, cold_duration, {is_discovery_current, at_ms(0)}};
    }

    send_permission find_permission(bool is_discovery_current, core::instant now)
    {
        return find_send_permission(target, make_limit(is_discovery_current), single_instance, now);
    }
};

// Guards against requests over new connections to an endpoint that has ended, as if it were the incarnation
// that this instance knows, and against an endpoint without requests although connections to it still work.
TEST(incarnation_check, after_an_interruption_only_older_connections_are_unlimited)
{
    record_interruption(target, at_ms(5000));
    for (const int sent : {5100, 5200}) {
        CHECK_FALSE(find_permission(true, at_ms(sent)).opened_until.has_value());
        record_send(target, at_ms(sent));
    }
    CHECK_TRUE(find_permission(true, at_ms(5300)).is_granted);
    CHECK(find_permission(true, at_ms(5300)).opened_until == at_ms(2300));
    // A request over a connection of before the interruption is not counted.
    record_send(target, at_ms(6300));
    record_connection(target, make_limit(true), at_ms(0), at_ms(6300), at_ms(6301));
    record_send(target, at_ms(6310));
    CHECK_FALSE(find_permission(true, at_ms(6400)).opened_until.has_value());
}

// Guards against an endpoint that stays limited although it has only broken off a connection, and against one
// that is taken for the known incarnation because a new incarnation answers.
TEST(incarnation_check, only_a_response_of_a_known_or_a_warm_incarnation_ends_an_interruption)
{
    record_interruption(target, at_ms(5000));
    record_response(target, at_ms(5100), at_ms(5200), cold_duration);
    CHECK_TRUE(may_have_ended(target, true, at_ms(5300)));
    // It was sent before the interruption.
    record_response(target, at_ms(0), at_ms(4900), cold_duration);
    CHECK_TRUE(may_have_ended(target, true, at_ms(5300)));
    endpoint known = target;
    record_response(known, at_ms(0), at_ms(5400), cold_duration);
    CHECK_FALSE(may_have_ended(known, true, at_ms(5500)));
    record_response(target, at_ms(5100), at_ms(8100), cold_duration);
    CHECK_FALSE(may_have_ended(target, true, at_ms(8200)));
}

// Guards against an instance without connections that is kept from an endpoint for ever by one failure, and
// against one that takes an endpoint for unchanged during an outage of service discovery, in which it hears
// of no restart.
TEST(incarnation_check, an_interruption_expires_only_while_discovery_is_current)
{
    record_interruption(target, at_ms(0));
    CHECK_TRUE(may_have_ended(target, true, at_ms(7900)));
    CHECK_FALSE(may_have_ended(target, true, at_ms(8000)));
    CHECK_TRUE(may_have_ended(target, false, at_ms(60'000)));
}

// Guards against an instance without connections that floods an endpoint whose restart it cannot hear of: a
// request over a connection that may go to the new incarnation must not lift the limit. Guards as well
// against limiting an instance with a request in flight that would have failed if the endpoint had ended.
TEST(incarnation_check, without_discovery_only_a_known_connection_lifts_the_limit)
{
    for (const int sent : {1000, 1010}) {
        record_send(target, at_ms(sent));
    }
    CHECK_FALSE(find_permission(true, at_ms(1100)).opened_until.has_value());
    CHECK(find_permission(false, at_ms(1100)).opened_until == at_ms(0));
    record_connection(target, make_limit(false), at_ms(1020), at_ms(1010), at_ms(1020));
    CHECK_TRUE(find_permission(false, at_ms(1100)).opened_until.has_value());
    record_connection(target, make_limit(false), at_ms(-10), at_ms(1000), at_ms(1030));
    CHECK_FALSE(find_permission(false, at_ms(1100)).opened_until.has_value());
    remove_connection(target, at_ms(-10));
    record_send(target, at_ms(1040));
    CHECK_TRUE(find_permission(false, at_ms(1100)).opened_until.has_value());
}

// Guards against two requests within one second in place of one, because the connection of the first took
// long to open.
TEST(incarnation_check, a_request_counts_from_when_it_is_written)
{
    record_interruption(target, at_ms(500));
    for (const int sent : {1000, 1001}) {
        record_send(target, at_ms(sent));
        record_connection(target, make_limit(true), at_ms(1240), at_ms(sent), at_ms(1240));
    }
    CHECK_TRUE(find_permission(true, at_ms(2200)).opened_until.has_value());
    CHECK_FALSE(find_permission(true, at_ms(2400)).opened_until.has_value());
}
