// Tests of single selections of a region and an endpoint.

#include "steering/region_selector.h"
#include "steering/tests/allocation_count.h"
#include "steering/tests/fixture.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

using namespace quetzalspan;
using namespace quetzalspan::steering;
using namespace quetzalspan::steering::tests;

TEST_GROUP(selection)
{
    std::mt19937_64 m_random{7};
    std::map<endpoint_index, int> m_taken_permits;
    std::map<region_index, int> m_shift_tokens;
    bool m_is_link_open = true;
    selection_hooks m_hooks{
        [this](endpoint_index index) { return m_taken_permits[index] < 3; },
        [this](endpoint_index index) { return m_taken_permits[index] < 3 && ++m_taken_permits[index] > 0; },
        [this](endpoint_index index) { --m_taken_permits[index]; },
        [this](region_index, region_index to) {
            return m_shift_tokens[to]-- > 0 || ++m_shift_tokens[to] < 0;
        },
        [this](region_index, region_index to) { ++m_shift_tokens[to]; },
        [this](region_index, region_index, std::uint64_t) { return m_is_link_open; },
        [this] { return m_random(); }};
    config::configuration m_configuration = make_configuration(2);
    std::unique_ptr<const snapshot> m_snapshot;

    selection select(const steering_request& request, std::int64_t now = 0)
    {
        if (!m_snapshot) {
            m_snapshot = snapshot::create(m_configuration, {"savo-a", "savo"}, nullptr, at_ms(0));
        }
        return region_selector(m_hooks).select(*m_snapshot, request, at_ms(now), wall_time_at_ms(now));
    }

    // Returns the name of the region that the request was sent to.
    const std::string& region_name(const selection& chosen)
    {
        return m_snapshot->regions()[chosen.to_region].name;
    }

    // Takes all six permits of the region of the instance.
    void fill_local_slots()
    {
        for (int count = 0; count < 6; ++count) {
            CHECK_TRUE(select({}).kind == selection_kind::local);
        }
    }
};

// Guards against more requests at an endpoint than it has slots, and against a shift to another region that
// the shift cap does not allow.
TEST(selection, local_slots_are_used_before_the_shift_cap_rejects)
{
    fill_local_slots();
    const selection refused = select({});
    CHECK_FALSE(refused.endpoint.has_value());
    CHECK_TRUE(refused.reason == rejection_reason::shift_cap);
    for (const auto& [endpoint, taken] : m_taken_permits) {
        CHECK_TRUE(taken == (m_snapshot->endpoints()[endpoint].region == m_snapshot->own_region() ? 3 : 0));
        LONGS_EQUAL(taken, m_snapshot->endpoints()[endpoint].state->outstanding());
    }
}

// Guards against a shift to a region that the site does not prefer, and against a shift of a request that
// may still wait for a local permit.
TEST(selection, other_regions_are_tried_by_preference_then_by_name)
{
    m_shift_tokens = {{0, 1}, {2, 1}};
    fill_local_slots();
    steering_request request;
    request.may_leave_busy_region = false;
    CHECK_TRUE(select(request).reason == rejection_reason::no_permit);
    request.may_leave_busy_region = true;
    const std::array<region_index, 1> preferred{*m_snapshot->find_region("uusimaa")};
    request.preferred_regions = preferred;
    const selection first = select(request);
    STRCMP_EQUAL("uusimaa", region_name(first).c_str());
    CHECK_TRUE(first.kind == selection_kind::emergency_shift);
    STRCMP_EQUAL("pohjanmaa", region_name(select(request)).c_str());
}

// Guards against permits and shift tokens that are lost when the link refuses.
TEST(selection, a_refusal_by_the_link_cap_returns_permits_and_shift_tokens)
{
    m_shift_tokens = {{0, 5}, {2, 5}};
    m_is_link_open = false;
    fill_local_slots();
    CHECK_TRUE(select({}).reason == rejection_reason::link_cap);
    LONGS_EQUAL(5, m_shift_tokens[0]);
    for (const compiled_endpoint& endpoint : m_snapshot->endpoints()) {
        LONGS_EQUAL(endpoint.region == m_snapshot->own_region() ? 3 : 0, endpoint.state->outstanding());
    }
}

// Guards against new requests in a drained region, or at an endpoint that drains by the registry or by its
// own drain response.
TEST(selection, drained_regions_and_draining_endpoints_receive_nothing)
{
    m_shift_tokens = {{0, 99}, {2, 99}};
    m_configuration.policy.drained_regions = {"savo", "pohjanmaa"};
    m_configuration.inventory.services[0].endpoints[0].is_draining = true;
    select({});
    const endpoint_index other = *m_snapshot->find_endpoint(0, "uusimaa-1");
    LONGS_EQUAL(1, m_taken_permits[other]);
    m_snapshot->endpoints()[other].state->record_drain(at_ms(0));
    CHECK_TRUE(select({}, 1).reason == rejection_reason::no_endpoint);
}

// Guards against a retry at the endpoint that just failed.
TEST(selection, a_retry_skips_tried_endpoints)
{
    const selection first = select({});
    const std::array<const endpoint_state*, 1> tried{first.state.get()};
    steering_request request;
    request.excluded_endpoints = tried;
    for (int count = 0; count < 3; ++count) {
        CHECK_TRUE(select(request).state != first.state);
    }
}

// Guards against a planned shift whose share of requests differs from the schedule.
TEST(selection, a_planned_shift_moves_its_fraction)
{
    m_shift_tokens = {{2, 1'000'000}};
    m_configuration.policy.planned_shifts.push_back(
        {"tilauspalvelu", "savo", "uusimaa", 0, 0.5, wall_time_at_ms(1000), wall_time_at_ms(2000)});
    const std::map<std::int64_t, double> expected{{0, 0},       {999, 0},    {1200, 0.1},
                                                  {1500, 0.25}, {2000, 0.5}, {9000, 0.5}};
    for (const auto& [now, fraction] : expected) {
        int moved = 0;
        constexpr int requests = 4000;
        for (int count = 0; count < requests; ++count) {
            const std::string id = "r" + std::to_string(count);
            steering_request request;
            request.request_id = id;
            const selection chosen = select(request, now);
            moved += chosen.kind == selection_kind::planned_shift ? 1 : 0;
            m_taken_permits.clear();
            chosen.state->end_request(chosen.ticket, request_result::success, at_ms(now));
        }
        DOUBLES_EQUAL(fraction, static_cast<double>(moved) / requests, 0.03);
    }
}

// Guards against a selection that allocates memory, whether the request is a retry, stays in its region,
// leaves it or is rejected.
TEST(selection, decisions_allocate_nothing)
{
    m_shift_tokens = {{0, 2}, {2, 2}};
    for (endpoint_index index = 0; index < 6; ++index) {
        m_taken_permits[index] = 0;
    }
    m_configuration.policy.planned_shifts.push_back(
        {"tilauspalvelu", "savo", "uusimaa", 0.2, 0.2, wall_time_at_ms(0), wall_time_at_ms(0)});
    const selection first = select({});
    const std::array<const endpoint_state*, 1> tried{first.state.get()};
    const std::array<region_index, 1> preferred{2};
    std::map<selection_kind, int> kinds;
    int rejected = 0;
    std::array<std::string, 60> ids;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        ids[index] = "request-" + std::to_string(index);
    }
    kinds = {
        {selection_kind::local, 0}, {selection_kind::planned_shift, 0}, {selection_kind::emergency_shift, 0}};
    const std::size_t before = allocation_count();
    for (const std::string& id : ids) {
        steering_request request;
        request.request_id = id;
        request.excluded_endpoints = tried;
        request.preferred_regions = preferred;
        const selection chosen = select(request);
        if (chosen.endpoint) {
            ++kinds[chosen.kind];
        } else {
            ++rejected;
        }
    }
    LONGS_EQUAL(before, allocation_count());
    CHECK_TRUE(kinds[selection_kind::local] > 0 && kinds[selection_kind::planned_shift] > 0);
    CHECK_TRUE(kinds[selection_kind::emergency_shift] > 0 && rejected > 0);
}

// Guards against a request that waits for a permit in a region where every endpoint is ejected.
TEST(selection, a_fully_ejected_region_is_left_without_a_wait)
{
    m_shift_tokens = {{2, 1}};
    select({});
    m_taken_permits.clear();
    for (const compiled_endpoint& endpoint : m_snapshot->endpoints()) {
        for (int count = 0; endpoint.region == m_snapshot->own_region() && count < 5; ++count) {
            endpoint.state->end_request(endpoint.state->begin_request(at_ms(0)), request_result::failure,
                                        at_ms(0));
        }
    }
    steering_request request;
    request.may_leave_busy_region = false;
    STRCMP_EQUAL("uusimaa", region_name(select(request, 1)).c_str());
    // With the shift cap used up, one request at a time is sent to the endpoint that ejection may not remove.
    CHECK_TRUE(select(request, 1).kind == selection_kind::local);
    CHECK_TRUE(select(request, 1).reason == rejection_reason::shift_cap);
}

// Guards against a region in its slow start that receives another share of requests than its ramp, although
// its free permits allow more.
TEST(selection, a_cold_region_receives_the_share_of_its_ramp)
{
    m_shift_tokens = {{0, 1'000'000}, {2, 1'000'000}};
    const std::array<region_index, 1> preferred{2};
    fill_local_slots();
    for (const compiled_endpoint& endpoint : m_snapshot->endpoints()) {
        if (endpoint.region == preferred[0]) {
            endpoint.state->restart_slow_start(at_ms(0));
        }
    }
    const std::map<std::int64_t, double> expected{{0, 0.1}, {3'000, 0.3}, {7'000, 0.7}, {10'000, 1}};
    for (const auto& [now, share] : expected) {
        int accepted = 0;
        constexpr int requests = 2'000;
        for (int count = 0; count < requests; ++count) {
            const std::string id = "r" + std::to_string(count);
            steering_request request;
            request.request_id = id;
            request.preferred_regions = preferred;
            const selection chosen = select(request, now);
            accepted += chosen.to_region == preferred[0] ? 1 : 0;
            chosen.state->end_request(chosen.ticket, request_result::success, at_ms(now));
            --m_taken_permits[*chosen.endpoint];
        }
        DOUBLES_EQUAL(share, static_cast<double>(accepted) / requests, 0.04);
    }
}
