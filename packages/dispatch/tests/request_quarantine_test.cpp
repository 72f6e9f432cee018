// Tests of when a request under which endpoints end is put into quarantine, and of what ends it.

#include "dispatch/request_quarantine.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

core::instant at_ms(int milliseconds_since_start)
{
    return core::instant(seconds(1000) + milliseconds(milliseconds_since_start));
}

} // namespace

TEST_GROUP(request_quarantine)
{
    request_quarantine quarantine{{}};
};

// Guards against a request that ends one endpoint after the other, each time it is repeated.
TEST(request_quarantine, a_request_under_which_two_endpoints_end_is_not_sent_to_a_third)
{
    CHECK(quarantine.record_end(7, "a", at_ms(0)) == quarantine_change::suspected);
    CHECK_FALSE(quarantine.find_remaining(7, at_ms(10)).has_value());
    CHECK(quarantine.record_end(7, "b", at_ms(100)) == quarantine_change::begun);
    CHECK(*quarantine.find_remaining(7, at_ms(100)) == seconds(60));
    CHECK_FALSE(quarantine.find_remaining(8, at_ms(100)).has_value());
    CHECK(quarantine.record_end(7, "c", at_ms(200)) == quarantine_change::in_force);
    CHECK_FALSE(quarantine.find_remaining(7, at_ms(60'100)).has_value());
}

// Guards against good requests that are rejected because they were under way at an endpoint that ended for
// another reason: every instance reports the one end, and the requests succeed elsewhere.
TEST(request_quarantine, requests_that_succeed_elsewhere_are_not_suspected)
{
    quarantine.record_end(7, "a", at_ms(0));
    CHECK(quarantine.record_end(7, "a", at_ms(40)) == quarantine_change::suspected);
    CHECK(quarantine.record_success(7, at_ms(300)) == success_effect::suspicion_ended);
    CHECK(quarantine.record_success(7, at_ms(310)) == success_effect::none);
    CHECK(quarantine.record_end(7, "b", at_ms(5000)) == quarantine_change::suspected);
    CHECK_FALSE(quarantine.find_remaining(7, at_ms(5000)).has_value());
}

// Guards against an endpoint that is started again under the same identity and ended by the same request for
// good.
TEST(request_quarantine, an_endpoint_that_ends_again_after_a_restart_counts_again)
{
    quarantine.record_end(7, "a", at_ms(0));
    CHECK(quarantine.record_end(7, "a", at_ms(3000)) == quarantine_change::begun);
}

// Guards against two endpoints that are lost after each quarantine, as if the request had never been seen.
TEST(request_quarantine, after_a_quarantine_one_end_begins_a_longer_one)
{
    quarantine.record_end(7, "a", at_ms(0));
    quarantine.record_end(7, "b", at_ms(0));
    CHECK(quarantine.record_end(7, "c", at_ms(61'000)) == quarantine_change::begun);
    CHECK(*quarantine.find_remaining(7, at_ms(61'000)) == seconds(120));
}

// Guards against a popular request that one instance puts into quarantine while another has just served it.
TEST(request_quarantine, a_notice_is_refused_if_the_request_has_succeeded_since)
{
    const quarantine_notice notice{7, seconds(60), milliseconds(500)};
    quarantine.record_success(7, at_ms(600));
    CHECK_FALSE(quarantine.apply(notice, at_ms(1000)));
    CHECK_FALSE(quarantine.find_remaining(7, at_ms(1000)).has_value());
    // A success before the first end proves nothing.
    CHECK_TRUE(quarantine.apply(notice, at_ms(1200)));
    CHECK(*quarantine.find_remaining(7, at_ms(1200)) == seconds(60));
    CHECK_EQUAL(1U, quarantine.notices(at_ms(1200)).size());
    CHECK_TRUE(quarantine.apply({7, core::duration(0), core::duration(0)}, at_ms(1300)));
    CHECK_FALSE(quarantine.find_remaining(7, at_ms(1300)).has_value());
}

// Guards against memory that grows with the requests under which an endpoint has ended, or that have
// succeeded.
TEST(request_quarantine, the_memory_is_bounded)
{
    quarantine_options options;
    options.max_suspects = 4;
    options.max_successes = 4;
    request_quarantine small(options);
    for (request_fingerprint request = 0; request < 100; ++request) {
        small.record_success(request, at_ms(0));
        small.record_end(request, "a", at_ms(static_cast<int>(request)));
        small.record_end(request, "b", at_ms(static_cast<int>(request)));
    }
    CHECK_EQUAL(4U, small.notices(at_ms(100)).size());
    CHECK_TRUE(small.find_remaining(99, at_ms(100)).has_value());
}
