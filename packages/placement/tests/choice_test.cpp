// Tests of the choice of an endpoint, of cold endpoints and of the judgement by results.

#include "placement/endpoint_choice.h"
#include "placement/endpoint_health.h"
#include "placement/region_weights.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace quetzalspan;
using namespace placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));

endpoint_record make_record(const std::string& id, const std::string& region)
{
    endpoint_record result;
    result.id = id;
    result.service = "orders";
    result.region = region;
    result.availability_zone = region + "-a";
    result.slots = 3;
    return result;
}

} // namespace

TEST_GROUP(choice)
{
    endpoint_catalog endpoints{{}, {}};
    choice_options options;
    fleet_position alone{1, {7}, 7};
    std::vector<std::string> tried;

    void setup() override
    {
        for (int index = 0; index < 12; ++index) {
            const std::string region = index < 4 ? "savo" : index < 8 ? "uusimaa" : "pohjanmaa";
            endpoints.apply(make_record("e" + std::to_string(index), region), start, true);
        }
    }

    choice_request request(const std::string& object)
    {
        m_object = object;
        choice_request result;
        result.service = "orders";
        result.affinity = m_object;
        result.request_id = "id";
        result.own_region = "savo";
        result.is_region_allowed = [](const std::string&) { return true; };
        result.tried = &tried;
        return result;
    }

    std::string choose(const choice_request& wanted)
    {
        const choice found = choose_endpoint(endpoints, wanted, alone, options, start);
        return found.target ? found.target->record.id : "";
    }

    std::string m_object;
};

// Guards against an object that is served at many endpoints and warm at none of them.
TEST(choice, an_object_keeps_its_endpoint_when_others_join_or_leave)
{
    std::map<std::string, std::string> before;
    for (int object = 0; object < 200; ++object) {
        before[std::to_string(object)] = choose(request(std::to_string(object)));
    }
    endpoints.apply(make_record("new", "pohjanmaa"), start, true);
    int moved = 0;
    for (const auto& [object, id] : before) {
        const std::string present = choose(request(object));
        CHECK(present == id || present == "new");
        moved += present == id ? 0 : 1;
    }
    CHECK(moved > 0 && moved < 40);
}

// Guards against a choice outside the home regions, also when everything inside is full.
TEST(choice, home_regions_bind_even_when_they_are_full)
{
    for (int object = 0; object < 50; ++object) {
        choice_request wanted = request(std::to_string(object));
        wanted.is_region_allowed = [](const std::string& region) { return region == "uusimaa"; };
        const choice found = choose_endpoint(endpoints, wanted, alone, options, start);
        STRCMP_EQUAL("uusimaa", found.target->record.region.c_str());
    }
    choice_request wanted = request("x");
    wanted.is_region_allowed = [](const std::string& region) { return region == "uusimaa"; };
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->outstanding = entry->record.region == "uusimaa" ? options.outstanding_limit : 0;
    }
    const choice found = choose_endpoint(endpoints, wanted, alone, options, start);
    CHECK(found.target == nullptr);
    CHECK(found.fault == choice_fault::all_busy);
    CHECK_EQUAL(4U, found.candidates);
}

// Guards against leaving a full, failing or tried endpoint for anything but the next in the object's order.
TEST(choice, a_request_spills_to_the_next_endpoint_in_order)
{
    const std::string first = choose(request("x"));
    endpoints.find(first)->outstanding = options.spill_limit;
    const std::string second = choose(request("x"));
    CHECK(first != second);
    endpoints.find(first)->outstanding = 0;
    endpoints.find(first)->ejected_until = start + seconds(1);
    CHECK_EQUAL(second, choose(request("x")));
    endpoints.find(first)->ejected_until = start;
    tried = {first};
    CHECK_EQUAL(second, choose(request("x")));
}

// Guards against a service that serves nobody because all its endpoints look bad.
TEST(choice, an_ejected_endpoint_is_used_when_there_is_no_better_one)
{
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->ejected_until = start + seconds(1);
    }
    CHECK(!choose(request("x")).empty());
}

// Guards against an endpoint that joins and is never used because no object is assigned to it.
TEST(choice, an_endpoint_that_joined_gets_one_request_soon)
{
    endpoints.apply(make_record("new", "savo"), start, false);
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->sent = entry->record.id == "new" ? 0 : 1;
    }
    choice_request wanted = request("x");
    wanted.is_repeatable = true;
    const core::instant later = start + options.first_request_delay;
    CHECK_EQUAL(std::string("new"),
                choose_endpoint(endpoints, wanted, alone, options, later).target->record.id);
    endpoints.find("new")->sent = 1;
    CHECK_EQUAL(choose(wanted), choose_endpoint(endpoints, wanted, alone, options, later).target->record.id);
}

TEST_GROUP(cold){};

// Guards against a sum over all instances above what a cold endpoint tolerates, at any size of the fleet.
TEST(cold, the_shares_of_all_instances_stay_within_the_limit)
{
    endpoint target;
    target.hash = 12345;
    for (const double rate : {1.0, 4.8, 10.4, 12.2}) {
        for (std::uint32_t size = 1; size <= 60; ++size) {
            fleet_position position;
            position.size = size;
            for (std::uint32_t index = 0; index < size; ++index) {
                position.hashes.push_back(1000 + index * 77);
            }
            std::uint32_t sum = 0;
            for (const std::uint64_t own : position.hashes) {
                position.own_hash = own;
                sum += cold_share(target, {rate}, position);
            }
            CHECK(sum <= static_cast<std::uint32_t>(rate));
            CHECK(sum >= 1);
        }
    }
}

// Guards against a share that is used up again within the second, and against a limit that outlives the cold
// time.
TEST(cold, a_share_is_counted_over_a_sliding_second)
{
    endpoint target;
    target.cold_until = start + seconds(5);
    const cold_limit limit{2};
    const fleet_position alone{1, {7}, 7};
    for (const int sent : {0, 400}) {
        CHECK_TRUE(allows_cold_send(target, limit, alone, start + milliseconds(sent)));
        record_cold_send(target, start + milliseconds(sent));
    }
    CHECK_FALSE(allows_cold_send(target, limit, alone, start + milliseconds(1000)));
    CHECK_TRUE(allows_cold_send(target, limit, alone, start + milliseconds(1200)));
    CHECK_TRUE(allows_cold_send(target, limit, alone, start + seconds(5)));
}

TEST_GROUP(health)
{
    health_options options;
    endpoint target;
};

// Guards against ejecting a busy endpoint because requests with short deadlines time out at it, which moves
// its objects to cold endpoints and overloads those in turn.
TEST(health, silence_of_an_endpoint_that_answers_others_is_no_failure)
{
    record_outcome(target, attempt_outcome::success, start, milliseconds(100), options,
                   start + milliseconds(500));
    for (int count = 0; count < 10; ++count) {
        CHECK_FALSE(
            record_outcome(target, attempt_outcome::silent, start, seconds(1), options, start + seconds(1)));
    }
    CHECK(target.ejected_until <= start);
}

// Guards against a dead endpoint that keeps its objects.
TEST(health, silence_and_lost_responses_in_a_row_eject)
{
    CHECK_FALSE(
        record_outcome(target, attempt_outcome::silent, start, seconds(1), options, start + seconds(1)));
    CHECK_TRUE(record_outcome(target, attempt_outcome::lost, start, seconds(1), options, start + seconds(1)));
    CHECK(target.ejected_until == start + seconds(1) + options.ejection_time);
}

// Guards against an endpoint that is tried at full rate again while it stays unreachable.
TEST(health, ejections_grow_up_to_a_limit_and_end_with_a_success)
{
    core::duration previous(0);
    for (int count = 0; count < 8; ++count) {
        CHECK_TRUE(record_outcome(target, attempt_outcome::unreachable, start, seconds(0), options, start));
        CHECK(target.ejected_until - start >= previous);
        previous = target.ejected_until - start;
    }
    CHECK(previous == options.ejection_limit);
    record_outcome(target, attempt_outcome::success, start, milliseconds(10), options, start);
    record_outcome(target, attempt_outcome::unreachable, start, seconds(0), options, start);
    CHECK(target.ejected_until - start == options.ejection_time);
}

// Guards against an endpoint that fails part of its requests while its health endpoint reports success.
TEST(health, a_high_share_of_errors_ejects_though_successes_lie_between)
{
    bool is_ejected = false;
    for (int count = 0; count < 30; ++count) {
        const attempt_outcome outcome =
            count % 2 == 0 ? attempt_outcome::server_error : attempt_outcome::success;
        is_ejected |= record_outcome(target, outcome, start, milliseconds(50), options, start);
    }
    CHECK_TRUE(is_ejected);
}

TEST_GROUP(regions){};

// Guards against requests that may run anywhere and crowd out a workspace that may run in one region only.
TEST(regions, the_slots_of_homed_workspaces_are_left_to_them)
{
    const std::map<std::string, double> slots{{"uusimaa", 6}, {"savo", 18}, {"pohjanmaa", 18}};
    const std::map<std::string, double> weights = target_region_weights(slots, {{0.3, {"uusimaa"}}}, 0.04);
    CHECK(weights.at("uusimaa") == 0.04);
    CHECK(weights.at("savo") == 1.0);
    const std::map<std::string, double> half = target_region_weights(slots, {{0.07, {"uusimaa"}}}, 0.04);
    CHECK(half.at("uusimaa") > 0.45 && half.at("uusimaa") < 0.55);
}

// Guards against a change of the configuration that moves a region's requests at once.
TEST(regions, weights_move_gradually)
{
    const std::map<std::string, double> slots{{"uusimaa", 6}, {"savo", 36}};
    region_weights weights({0.04, seconds(6)});
    weights.update(slots, {}, start);
    weights.update(slots, {{0.5, {"uusimaa"}}}, start + milliseconds(200));
    CHECK(weights.weight("uusimaa") > 0.96);
    weights.update(slots, {{0.5, {"uusimaa"}}}, start + seconds(60));
    CHECK(weights.weight("uusimaa") < 0.05);
    CHECK(weights.weight("unknown") == 1.0);
}
