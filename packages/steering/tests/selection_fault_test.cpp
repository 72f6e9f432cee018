// Simulates the selection under faults of endpoints, reports and regions in virtual time and judges the
// record of its attempts. Each case runs again with round robin and with the least reported load, for
// comparison.

#include "steering/tests/fixture.h"
#include "steering/tests/run_analysis.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace quetzalspan;
using namespace quetzalspan::steering;
using namespace quetzalspan::steering::tests;

namespace
{

constexpr std::int64_t length_ms = 30'000;

struct fault_case {
    const char* name;
    // Largest share of the requests of region 0 in the whole run that may be rejected or fail.
    double max_lost_share;
    std::vector<fault> faults;
    std::array<double, 3> load{0.7, 0.4, 0.4};
    // The whole region fails. The baselines then choose among all regions, and the shift cap does not bind
    // them.
    bool is_regional = false;
    std::vector<config::planned_shift> shifts{};
};

std::vector<fault_case> make_cases()
{
    using enum fault_kind;
    // Under the shift caps region 0 can send 2 x 120 requests a second to the other regions, and 288 arrive
    // at a load of 0.8. While it is down, a sixth of its requests cannot be served.
    const std::vector<config::planned_shift> shift{
        {"tilauspalvelu", "pohjanmaa", "savo", 0, 0.4, wall_time_at_ms(4'000), wall_time_at_ms(20'000)}};
    return {
        {"quiet", 0.001, {}},
        {"reports stop", 0.001, {{no_reports, 0, 0, 6, 5'000, 25'000}}},
        {"one endpoint reports healthy and fails all requests",
         0.002,
         {{requests_fail, 0, 0, 1, 5'000, 25'000}}},
        {"half report healthy and fail all requests", 0.005, {{requests_fail, 0, 0, 3, 5'000, 25'000}}},
        {"half report unhealthy and succeed", 0.001, {{reports_unhealthy, 0, 0, 3, 5'000, 25'000}}},
        {"all report unhealthy and succeed", 0.001, {{reports_unhealthy, 0, 0, 6, 0, 30'000}}},
        {"reports lag by 3 s", 0.001, {{late_reports, 0, 0, 6, 0, 30'000, 3'000}}},
        {"two always report idle", 0.001, {{reports_idle, 0, 0, 2, 0, 30'000}}},
        {"half always report busy", 0.001, {{reports_busy, 0, 0, 3, 0, 30'000}}},
        {"two drained by the registry", 0.001, {{registry_drain, 0, 0, 2, 5'000, 15'000}}, {0.5, 0.4, 0.4}},
        {"two answer with a drain response",
         0.001,
         {{drain_response, 0, 0, 2, 5'000, 15'000}},
         {0.5, 0.4, 0.4}},
        {"region goes down at full load", 0.08, {{down, 0, 0, 6, 5'000, 15'000}}, {0.8, 0.3, 0.3}, true},
        {"region hangs at full load",
         0.08,
         {{does_not_answer, 0, 0, 6, 5'000, 15'000}},
         {0.8, 0.3, 0.3},
         true},
        {"region goes down and returns cold twice",
         0.08,
         {{down, 0, 0, 6, 5'000, 10'000}, {down, 0, 0, 6, 16'000, 21'000}},
         {0.8, 0.3, 0.3},
         true},
        // Only one other region is warm during the 12 s in which region 0 is down: 168 of 288 requests a
        // second cannot be served.
        {"region goes down as another returns cold, twice",
         0.25,
         {{down, 1, 0, 6, 2'000, 10'000},
          {down, 0, 0, 6, 10'000, 16'000},
          {down, 1, 0, 6, 16'000, 20'000},
          {down, 0, 0, 6, 20'000, 26'000}},
         {0.8, 0.4, 0.3},
         true},
        {"region goes down during a planned shift",
         0.01,
         {{down, 0, 0, 6, 12'000, 16'000}},
         {0.6, 0.3, 0.3},
         true,
         shift},
    };
}

model_settings make_settings(const fault_case& test, balancing_policy policy)
{
    model_settings settings;
    settings.policy = policy;
    settings.is_baseline_global = test.is_regional;
    settings.faults = test.faults;
    settings.load = test.load;
    settings.shifts = test.shifts;
    settings.seed = 20;
    return settings;
}

// Returns the share of the requests of region 0 that were rejected or failed.
double compute_lost_share(const run_record& record)
{
    const run_figures own = compute_figures(record, 0, 0, length_ms);
    return own.rejected + own.failed;
}

void print(const fault_case& test, const char* policy_name, const run_record& record)
{
    const run_figures own = compute_figures(record, 0, 0, length_ms);
    const model_settings settings;
    std::printf("\ncase=\"%s\" policy=%s rejected=%.4f failed=%.4f mean_ms=%.1f p99_ms=%.1f overloads=%zu "
                "most_concurrent=%zu cap_excess=%.1f oscillation=%.2f",
                test.name, policy_name, own.rejected, own.failed, own.mean_ms, own.p99_ms, record.overloads,
                find_max_concurrent(record),
                compute_cap_excess(record, settings.cap_requests_per_second, settings.cap_burst_requests),
                compute_oscillation(record, length_ms));
}

run_record run_case(const fault_case& test, balancing_policy policy = balancing_policy::steering)
{
    return fleet_model(make_settings(test, policy)).run();
}

// Returns the case of this name; fails the test if there is none.
fault_case find_case(const std::string& name)
{
    for (fault_case& test : make_cases()) {
        if (name == test.name) {
            return test;
        }
    }
    FAIL("no such case");
    return {};
}

} // namespace

TEST_GROUP(selection_faults){};

// Guards against an endpoint that receives more requests than it has slots, shifts above the cap in any
// window, more lost requests than the fault explains, and a selection that is worse than a simple policy.
TEST(selection_faults, invariants_hold_and_simple_policies_are_worse)
{
    for (const fault_case& test : make_cases()) {
        const run_record steering = run_case(test);
        const run_record round_robin = run_case(test, balancing_policy::round_robin);
        const run_record least_load = run_case(test, balancing_policy::least_reported_load);
        print(test, "steering", steering);
        print(test, "round_robin", round_robin);
        print(test, "least_reported_load", least_load);

        const model_settings settings;
        LONGS_EQUAL_TEXT(0, steering.overloads, test.name);
        CHECK_TRUE_TEXT(find_max_concurrent(steering) <= fleet_model::slots, test.name);
        CHECK_TRUE_TEXT(compute_cap_excess(steering, settings.cap_requests_per_second,
                                           settings.cap_burst_requests) < 0.001,
                        test.name);
        CHECK_TRUE_TEXT(compute_lost_share(steering) <= test.max_lost_share, test.name);

        CHECK_TRUE_TEXT(round_robin.overloads > 500, test.name);
        CHECK_TRUE_TEXT(least_load.overloads > round_robin.overloads, test.name);
        CHECK_TRUE_TEXT(compute_lost_share(least_load) >= compute_lost_share(steering), test.name);
        const run_figures own = compute_figures(steering, 0, 0, length_ms);
        CHECK_TRUE_TEXT(own.p99_ms <= compute_figures(least_load, 0, 0, length_ms).p99_ms, test.name);
        if (!test.is_regional) {
            CHECK_TRUE_TEXT(compute_lost_share(round_robin) + 0.001 >= compute_lost_share(steering),
                            test.name);
            CHECK_TRUE_TEXT(own.mean_ms <= compute_figures(round_robin, 0, 0, length_ms).mean_ms, test.name);
        }
    }
    std::printf("\n");
}

// Guards against instances that all send their requests to the endpoint that lagging reports show as least
// loaded. Independent arrivals alone give an oscillation of about 0.25 at this load.
TEST(selection_faults, lagging_reports_cause_no_oscillation)
{
    for (const char* name : {"quiet", "reports lag by 3 s", "two always report idle"}) {
        const fault_case test = find_case(name);
        const double steering = compute_oscillation(run_case(test), length_ms);
        CHECK_TRUE_TEXT(steering < 0.28, name);
    }
    const fault_case lagging = find_case("reports lag by 3 s");
    CHECK_TRUE(compute_oscillation(run_case(lagging, balancing_policy::least_reported_load), length_ms) >
               1.5 * compute_oscillation(run_case(lagging), length_ms));
}

// Guards against load and health reports that outweigh the results of real requests.
TEST(selection_faults, real_results_outweigh_reports)
{
    // From each of three instances, a failing endpoint receives the requests whose failures eject it and one
    // trial request after each back-off.
    const run_record failing = run_case(find_case("one endpoint reports healthy and fails all requests"));
    CHECK_TRUE(count_attempts(failing, 0, 1, 5'000, 25'000) <= 3 * (5 + 3 + 5));
    // Half of the endpoints receive about half of the requests, whatever they report.
    for (const char* name :
         {"half report unhealthy and succeed", "two always report idle", "half always report busy"}) {
        const run_record misreported = run_case(find_case(name));
        const double all_attempts = static_cast<double>(count_attempts(misreported, 0, 6, 6'000, 25'000));
        const double affected_attempts =
            static_cast<double>(count_attempts(misreported, 0, 3, 6'000, 25'000));
        CHECK_TRUE_TEXT(affected_attempts > 0.4 * all_attempts && affected_attempts < 0.6 * all_attempts,
                        name);
    }
}

// Guards against new requests at a draining endpoint. After a drain by the registry there are none. When the
// endpoint itself drains, each of three instances sends it only the one request that receives the drain
// response.
TEST(selection_faults, draining_endpoints_receive_no_new_work)
{
    const run_record registry = run_case(find_case("two drained by the registry"));
    LONGS_EQUAL(0, count_attempts(registry, 0, 2, 5'000, 15'000));
    CHECK_TRUE(count_attempts(registry, 0, 2, 15'000, 30'000) > 0);
    const run_record own = run_case(find_case("two answer with a drain response"));
    CHECK_TRUE(count_attempts(own, 0, 2, 5'000, 15'000) <= 3 * 2);
    CHECK_TRUE(count_attempts(own, 0, 2, 17'000, 30'000) > 0);
}

// Guards against a region that serves again with cold caches and receives its full share of a large shift at
// once. The shift cap alone would let through 30 + 2 x 120 requests in the first two seconds.
TEST(selection_faults, a_shift_to_a_cold_region_is_spread)
{
    const run_record record = run_case(find_case("region goes down as another returns cold, twice"));
    for (const std::int64_t begin_ms : {10'000, 20'000}) {
        std::vector<std::size_t> shifted_requests(6);
        for (const attempt_record& item : record.attempts) {
            const std::int64_t second = (item.begin_us / 1000 - begin_ms) / 1000;
            const bool is_in_interval = item.begin_us >= begin_ms * 1000 && second < 6;
            if (is_in_interval && item.from == 0 && item.to == 1) {
                ++shifted_requests[static_cast<std::size_t>(second)];
            }
        }
        CHECK_TRUE(shifted_requests[0] + shifted_requests[1] < 100);
        CHECK_TRUE(shifted_requests[5] > 2 * shifted_requests[0]);
    }
}

// Guards against a slow start that rejects requests of its own region although the region has free slots.
TEST(selection_faults, a_region_that_returns_cold_serves_its_own_requests)
{
    const run_record record = run_case(find_case("region goes down at full load"));
    const run_figures after = compute_figures(record, 0, 17'000, length_ms);
    CHECK_TRUE(after.rejected + after.failed < 0.005);
}

// Guards against a planned shift that is off its schedule while no fault is present, and against one that
// leaves no room under the shared cap for other shifts to its target.
TEST(selection_faults, a_planned_shift_follows_its_schedule_around_a_failure)
{
    const run_record record = run_case(find_case("region goes down during a planned shift"));
    for (const std::int64_t begin_ms : {0, 6'000, 8'000, 10'000, 25'000, 27'000}) {
        double moved = 0;
        double all = 0;
        for (const attempt_record& item : record.attempts) {
            if (item.from == 0 && item.begin_us >= begin_ms * 1000 &&
                item.begin_us < (begin_ms + 2'000) * 1000) {
                moved += item.kind == selection_kind::planned_shift ? 1 : 0;
                ++all;
            }
        }
        const double progress = static_cast<double>(begin_ms + 1'000 - 4'000) / 16'000;
        const double expected = 0.4 * std::clamp(progress, 0.0, 1.0);
        // The tolerance is four standard deviations of the share of about 430 requests.
        DOUBLES_EQUAL(expected, moved / all, 0.1);
    }
    const model_settings settings;
    CHECK_TRUE(compute_cap_excess(record, settings.cap_requests_per_second, settings.cap_burst_requests) <
               0.001);
}

// Guards against many requests that a region that does not answer holds until their deadline, with an unknown
// outcome, while the shift caps are used up. From each instance an endpoint has at most one last-resort
// request and one trial request after its back-off, which is less than its slots.
TEST(selection_faults, a_region_that_hangs_holds_few_requests)
{
    const run_record record = run_case(find_case("region hangs at full load"));
    run_record local_attempts;
    for (const attempt_record& item : record.attempts) {
        if (item.from == 0 && item.to == 0 && item.begin_us >= 8'000'000 && item.begin_us < 15'000'000) {
            local_attempts.attempts.push_back(item);
        }
    }
    CHECK_TRUE(!local_attempts.attempts.empty());
    CHECK_TRUE(find_max_concurrent(local_attempts) <= 2);
    CHECK_TRUE(compute_figures(record, 0, 0, length_ms).failed < 0.002);
}

// Guards against load above the capacity of the slots that queues at endpoints, and against more rejections
// than the excess load.
TEST(selection_faults, load_beyond_all_slots_is_rejected_not_queued_at_endpoints)
{
    constexpr std::int64_t overload_ms = 8'000;
    model_settings settings;
    settings.load = {1.3, 1.3, 1.3};
    settings.length_ms = overload_ms;
    const run_record record = fleet_model(settings).run();
    LONGS_EQUAL(0, record.overloads);
    const run_figures own = compute_figures(record, 0, 0, overload_ms);
    DOUBLES_EQUAL(0, own.failed, 0);
    // The offered load exceeds the slots by 0.3 of 1.3.
    DOUBLES_EQUAL(0.3 / 1.3, own.rejected, 0.05);
}
