// Tests of the state that an instance keeps of one endpoint: ejection, reports, drain and slow start.

#include "steering/endpoint_state.h"
#include "steering/tests/fixture.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <thread>
#include <vector>

using namespace quetzalspan;
using namespace quetzalspan::steering;
using namespace quetzalspan::steering::tests;

TEST_GROUP(endpoint_state)
{
    std::shared_ptr<endpoint_state> m_state = endpoint_state::create_warm();

    void complete_requests(request_result result, std::int64_t now, int count = 1)
    {
        for (int index = 0; index < count; ++index) {
            m_state->end_request(m_state->begin_request(at_ms(now)), result, at_ms(now));
        }
    }
};

// Guards against an endpoint that is never ejected, that never receives a trial request after its back-off,
// or that receives several trial requests at once.
TEST(endpoint_state, ejection_backs_off_and_ends_with_a_single_trial_request)
{
    complete_requests(request_result::failure, 1'000, 4);
    CHECK_TRUE(m_state->phase(at_ms(1'000)) == ejection_phase::in_service);
    complete_requests(request_result::timeout, 1'000);
    std::int64_t now = 1'000;
    for (const std::int64_t back_off : {1'000, 2'000, 4'000, 8'000, 16'000, 32'000, 64'000, 64'000}) {
        CHECK_TRUE(m_state->phase(at_ms(now + back_off - 1)) == ejection_phase::ejected);
        now += back_off;
        CHECK_TRUE(m_state->phase(at_ms(now)) == ejection_phase::half_open);
        request_ticket trial;
        request_ticket second_trial;
        CHECK_TRUE(m_state->try_begin_trial(at_ms(now), trial));
        CHECK_FALSE(m_state->try_begin_trial(at_ms(now), second_trial));
        CHECK_TRUE(m_state->phase(at_ms(now)) == ejection_phase::trial_running);
        m_state->end_request(trial, request_result::failure, at_ms(now));
    }
    now += 64'000;
    request_ticket trial;
    CHECK_TRUE(m_state->try_begin_trial(at_ms(now), trial));
    m_state->end_request(trial, request_result::success, at_ms(now));
    CHECK_TRUE(m_state->phase(at_ms(now)) == ejection_phase::in_service);
    DOUBLES_EQUAL(endpoint_state::min_ramp, m_state->slow_start_ramp(at_ms(now)), 0);
    LONGS_EQUAL(0, m_state->outstanding());
}

// Guards against a trial request that is cancelled or shed and leaves the endpoint ejected for ever.
TEST(endpoint_state, an_undecided_trial_request_allows_another)
{
    for (const request_result result : {request_result::cancelled, request_result::shed}) {
        m_state = endpoint_state::create_warm();
        complete_requests(request_result::failure, 0, 5);
        request_ticket trial;
        CHECK_TRUE(m_state->try_begin_trial(at_ms(1'000), trial));
        m_state->end_request(trial, result, at_ms(1'000));
        CHECK_TRUE(m_state->try_begin_trial(at_ms(2'000), trial));
    }
}

// Guards against two faults: the success of a request that began before an ejection ends the ejection, and
// failures of requests that began before the return to service eject the endpoint again.
TEST(endpoint_state, results_of_earlier_requests_do_not_change_the_ejection)
{
    const request_ticket early_ticket = m_state->begin_request(at_ms(500));
    std::vector<request_ticket> early_tickets(5, early_ticket);
    for (int count = 0; count < 5; ++count) {
        m_state->begin_request(at_ms(500));
    }
    complete_requests(request_result::failure, 1'000, 5);
    m_state->end_request(early_ticket, request_result::success, at_ms(1'100));
    CHECK_TRUE(m_state->phase(at_ms(1'100)) == ejection_phase::ejected);
    complete_requests(request_result::success, 1'200);
    CHECK_TRUE(m_state->phase(at_ms(1'200)) == ejection_phase::in_service);
    for (const request_ticket& ticket : early_tickets) {
        m_state->end_request(ticket, request_result::timeout, at_ms(1'300));
    }
    CHECK_TRUE(m_state->phase(at_ms(1'300)) == ejection_phase::in_service);
}

// Guards against an endpoint that stays in service because it fails every other request and never five in a
// row.
TEST(endpoint_state, a_high_failure_ratio_ejects)
{
    for (int count = 0; count < 4; ++count) {
        complete_requests(request_result::failure, 100);
        complete_requests(request_result::success, 100);
    }
    CHECK_TRUE(m_state->phase(at_ms(100)) == ejection_phase::in_service);
    complete_requests(request_result::success, 100);
    complete_requests(request_result::failure, 100);
    CHECK_TRUE(m_state->phase(at_ms(100)) == ejection_phase::ejected);
}

// Guards against reports that eject an endpoint by themselves or count for ever. Each case gives the load
// score that results from one load report and one health report after some time.
TEST(endpoint_state, reports_raise_the_load_score_and_expire)
{
    struct report_case {
        const char* name;
        double load;
        reported_health health;
        int successes;
        std::int64_t age;
        double expected;
    };
    const std::array<report_case, 7> cases{{
        {"new load", 0.5, reported_health::healthy, 0, 0, 0.5},
        {"load at half its lifetime", 0.5, reported_health::healthy, 0, 1'500, 0.25},
        {"load at the end of its lifetime", 0.5, reported_health::healthy, 0, 3'000, 0},
        {"load above 1", 7, reported_health::healthy, 0, 0, 1},
        {"load that is not a number", std::nan(""), reported_health::healthy, 0, 0, 0},
        {"unhealthy without results", 0, reported_health::unhealthy, 0, 0, 0.5},
        {"unhealthy with five successful requests", 0, reported_health::unhealthy, 5, 0, 0},
    }};
    for (const report_case& test : cases) {
        m_state = endpoint_state::create_warm();
        m_state->record_load(test.load, at_ms(0));
        m_state->record_health(test.health, at_ms(0), at_ms(0));
        complete_requests(request_result::success, 0, test.successes);
        DOUBLES_EQUAL_TEXT(test.expected, m_state->load_score(at_ms(test.age)), 0.001, test.name);
        CHECK_TRUE(m_state->phase(at_ms(test.age)) == ejection_phase::in_service);
    }
}

// Guards against an endpoint that leaves its drain because of a health report whose probe began too early to
// show it.
TEST(endpoint_state, a_drain_response_outlasts_lagging_health_reports)
{
    m_state->record_drain(at_ms(1'000));
    m_state->record_health(reported_health::healthy, at_ms(10'999), at_ms(11'005));
    CHECK_TRUE(m_state->is_draining(at_ms(11'005)));
    m_state->record_health(reported_health::healthy, at_ms(11'000), at_ms(11'006));
    CHECK_FALSE(m_state->is_draining(at_ms(11'006)));
    DOUBLES_EQUAL(endpoint_state::min_ramp, m_state->slow_start_ramp(at_ms(11'006)), 0);
    m_state->record_drain(at_ms(20'000));
    CHECK_TRUE(m_state->is_draining(at_ms(319'999)));
    CHECK_FALSE(m_state->is_draining(at_ms(320'000)));
    DOUBLES_EQUAL(endpoint_state::min_ramp, m_state->slow_start_ramp(at_ms(320'000)), 0);
}

// Guards against an endpoint that restarts unnoticed, since no request was sent there, and is treated as
// warm, and against failing health probes that restart the slow start although requests succeed.
TEST(endpoint_state, an_endpoint_that_was_unreachable_returns_cold)
{
    m_state->record_unreachable(at_ms(1'000), at_ms(1'006));
    m_state->record_unreachable(at_ms(2'000), at_ms(2'006));
    m_state->record_health(reported_health::healthy, at_ms(3'000), at_ms(3'006));
    DOUBLES_EQUAL(endpoint_state::min_ramp, m_state->slow_start_ramp(at_ms(3'006)), 0);
    m_state->record_unreachable(at_ms(20'000), at_ms(20'006));
    complete_requests(request_result::success, 20'500);
    m_state->record_health(reported_health::healthy, at_ms(21'000), at_ms(21'006));
    DOUBLES_EQUAL(1, m_state->slow_start_ramp(at_ms(21'006)), 0);
}

// Guards against a cold endpoint that receives requests for all its slots at once.
TEST(endpoint_state, slow_start_raises_the_concurrency_limit_over_ten_seconds)
{
    m_state = endpoint_state::create_cold(at_ms(1'000));
    LONGS_EQUAL(1, m_state->concurrency_limit(3, at_ms(1'000)));
    LONGS_EQUAL(1, m_state->concurrency_limit(3, at_ms(7'600)));
    LONGS_EQUAL(2, m_state->concurrency_limit(3, at_ms(7'700)));
    LONGS_EQUAL(3, m_state->concurrency_limit(3, at_ms(11'000)));
    DOUBLES_EQUAL(0.5, m_state->slow_start_ramp(at_ms(6'000)), 0);
}

// Guards against lost counts and against more than one trial request when several threads end requests at
// once.
TEST(endpoint_state, concurrent_requests_lose_no_count)
{
    std::atomic<int> trials{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int count = 0; count < 2'000; ++count) {
                const request_ticket ticket = m_state->begin_request(at_ms(0));
                m_state->record_load(0.5, at_ms(0));
                m_state->end_request(ticket, request_result::failure, at_ms(0));
            }
            request_ticket ticket;
            if (m_state->try_begin_trial(at_ms(1'000), ticket)) {
                ++trials;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(1, trials.load());
    LONGS_EQUAL(1, m_state->outstanding());
    DOUBLES_EQUAL(1, m_state->failure_ratio(at_ms(0)), 0);
}
