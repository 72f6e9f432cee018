// Tests of endpoint selection, the limit for cold endpoints, endpoint health and region weights.

#include "placement/endpoint_health.h"
#include "placement/endpoint_selection.h"
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

TEST_GROUP(endpoint_choice)
{
    endpoint_catalog endpoints{{}, {}};
    endpoint_selection_options options;
    fleet_view single_instance{1, {7}, 7};
    std::vector<std::string> tried;

    void setup() override
    {
        for (int index = 0; index < 12; ++index) {
            const std::string region = index < 4 ? "savo" : index < 8 ? "uusimaa" : "pohjanmaa";
            endpoints.apply(make_record("e" + std::to_string(index), region), start, true);
        }
    }

    endpoint_selection_request request(const std::string& object)
    {
        m_object = object;
        endpoint_selection_request result;
        result.service = "orders";
        result.affinity = m_object;
        result.request_id = "id";
        result.own_region = "savo";
        result.is_region_allowed = [](const std::string&) { return true; };
        result.tried_endpoint_ids = &tried;
        return result;
    }

    std::string choose(const endpoint_selection_request& selection_request)
    {
        const endpoint_selection selected =
            select_endpoint(endpoints, selection_request, single_instance, options, start);
        return selected.target ? selected.target->record.id : "";
    }

    std::string m_object;
};

// Guards against an object whose requests are spread over many endpoints, none of which serves it often
// enough to serve it fast.
TEST(endpoint_choice, an_object_keeps_its_endpoint_unless_a_new_one_takes_it_over)
{
    std::map<std::string, std::string> before;
    for (int object = 0; object < 200; ++object) {
        before[std::to_string(object)] = choose(request(std::to_string(object)));
    }
    endpoints.apply(make_record("new", "pohjanmaa"), start, true);
    int moved_objects = 0;
    for (const auto& [object, id] : before) {
        const std::string present = choose(request(object));
        CHECK(present == id || present == "new");
        moved_objects += present == id ? 0 : 1;
    }
    CHECK(moved_objects > 0 && moved_objects < 40);
}

// Guards against selecting an endpoint outside the home regions, even if every endpoint inside is at its
// limit.
TEST(endpoint_choice, home_regions_are_enforced_when_they_have_no_capacity)
{
    for (int object = 0; object < 50; ++object) {
        endpoint_selection_request selection_request = request(std::to_string(object));
        selection_request.is_region_allowed = [](const std::string& region) { return region == "uusimaa"; };
        const endpoint_selection selected =
            select_endpoint(endpoints, selection_request, single_instance, options, start);
        STRCMP_EQUAL("uusimaa", selected.target->record.region.c_str());
    }
    endpoint_selection_request selection_request = request("x");
    selection_request.is_region_allowed = [](const std::string& region) { return region == "uusimaa"; };
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->outstanding_requests = entry->record.region == "uusimaa" ? options.max_outstanding : 0;
    }
    const endpoint_selection selected =
        select_endpoint(endpoints, selection_request, single_instance, options, start);
    CHECK(selected.target == nullptr);
    CHECK(selected.fault == endpoint_selection_error::at_capacity);
    CHECK_EQUAL(4U, selected.candidates);
}

// Guards against passing over a busy, ejected or already tried endpoint for any endpoint but the next one in
// the object's order.
TEST(endpoint_choice, a_request_spills_to_the_next_endpoint_in_order)
{
    const std::string first = choose(request("x"));
    endpoints.find(first)->outstanding_requests = options.spill_threshold;
    const std::string second = choose(request("x"));
    CHECK(first != second);
    endpoints.find(first)->outstanding_requests = 0;
    endpoints.find(first)->ejected_until = start + seconds(1);
    CHECK_EQUAL(second, choose(request("x")));
    endpoints.find(first)->ejected_until = start;
    tried = {first};
    CHECK_EQUAL(second, choose(request("x")));
}

// Guards against an overload that sends each object to every endpoint: none of them then serves it fast, the
// whole service gets slower, and the overload feeds itself. Seen with a workspace that sent eight times its
// rate to 24 endpoints: no request met its objective for eight seconds.
TEST(endpoint_choice, an_overloaded_object_stays_at_its_first_endpoints)
{
    const auto fill = [this](const std::string& id) {
        const endpoint_pointer entry = endpoints.find(id);
        entry->reported_load = load_report{3, 9, 3};
        entry->load_reported_at = start;
    };
    std::set<std::string> used;
    for (std::string id = choose(request("x")); !id.empty(); id = choose(request("x"))) {
        used.insert(id);
        fill(id);
    }
    CHECK_EQUAL(options.max_busy_choices, used.size());
    endpoint_selection selected = select_endpoint(endpoints, request("x"), single_instance, options, start);
    CHECK(selected.fault == endpoint_selection_error::at_capacity);
    // A request without an object may go anywhere.
    endpoint_selection_request without_object = request("");
    CHECK(select_endpoint(endpoints, without_object, single_instance, options, start).target != nullptr);
    // The reports lose their meaning after a while.
    selected = select_endpoint(endpoints, request("x"), single_instance, options, start + seconds(1));
    CHECK(selected.target != nullptr);
}

// Guards against an object that loses its fast endpoints because others of its order are failing.
TEST(endpoint_choice, failing_endpoints_do_not_count_as_choices)
{
    for (std::size_t index = 0; index < options.max_busy_choices + 2; ++index) {
        const std::string id = choose(request("x"));
        CHECK_FALSE(id.empty());
        endpoints.find(id)->ejected_until = start + seconds(1);
    }
    CHECK_FALSE(choose(request("x")).empty());
}

// Guards against a report in another form that is taken for a load.
TEST(endpoint_choice, load_reports_are_parsed_strictly)
{
    const std::optional<load_report> report = parse_load_report("3,12,9");
    CHECK_TRUE(report.has_value());
    CHECK_EQUAL(3U, report->running);
    CHECK_EQUAL(12U, report->waiting);
    CHECK_EQUAL(9U, report->slots);
    for (const char* text : {"", "3", "3,1", "3,1,", "3,1,0", "-1,0,3", "3,1,9,", "3, 1,9", "a,b,c",
                             "99999999999,0,3", "3,1,9 "}) {
        CHECK_FALSE(parse_load_report(text).has_value());
    }
}

// Guards against requests to an endpoint that has asked for none when it turned one away, and, while all
// endpoints have done so, against a rejection that names an earlier time than the first of them.
TEST(endpoint_choice, an_endpoint_that_asked_for_no_request_receives_none)
{
    const std::string first = choose(request("x"));
    endpoints.find(first)->waits_until = start + seconds(2);
    CHECK(choose(request("x")) != first);
    int index = 0;
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->waits_until = start + seconds(2) + milliseconds(100 * index++);
    }
    endpoint_selection selected =
        select_endpoint(endpoints, request("x"), single_instance, options, start + milliseconds(500));
    CHECK(selected.target == nullptr);
    CHECK(selected.fault == endpoint_selection_error::at_capacity);
    CHECK(selected.earliest_wait == milliseconds(1500));
    endpoints.find(first)->waits_until = start;
    endpoints.find(first)->outstanding_requests = options.max_outstanding;
    selected = select_endpoint(endpoints, request("x"), single_instance, options, start);
    CHECK(selected.target == nullptr);
    CHECK_FALSE(selected.earliest_wait.has_value());
}

// Guards against rejecting all requests of a service because all of its endpoints are ejected.
TEST(endpoint_choice, an_ejected_endpoint_is_used_if_all_others_are_ejected)
{
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->ejected_until = start + seconds(1);
    }
    CHECK(!choose(request("x")).empty());
}

// Guards against a new endpoint that is never used because no object is assigned to it.
TEST(endpoint_choice, a_new_endpoint_receives_a_first_request)
{
    endpoints.apply(make_record("new", "savo"), start, false);
    for (const endpoint_pointer& entry : endpoints.find_service("orders")) {
        entry->sent_requests = entry->record.id == "new" ? 0 : 1;
    }
    endpoint_selection_request selection_request = request("x");
    selection_request.is_repeatable = true;
    const core::instant later = start + options.first_request_delay;
    CHECK_EQUAL(
        std::string("new"),
        select_endpoint(endpoints, selection_request, single_instance, options, later).target->record.id);
    endpoints.find("new")->sent_requests = 1;
    CHECK_EQUAL(
        choose(selection_request),
        select_endpoint(endpoints, selection_request, single_instance, options, later).target->record.id);
}

TEST_GROUP(cold_limit){};

// Guards against instances that together send more than a cold endpoint tolerates, for any size of the fleet.
TEST(cold_limit, the_shares_of_all_instances_stay_within_the_limit)
{
    endpoint target;
    target.id_hash = 12345;
    for (const double rate : {1.0, 4.8, 10.4, 12.2}) {
        for (std::uint32_t size = 1; size <= 60; ++size) {
            fleet_view position;
            position.size = size;
            for (std::uint32_t index = 0; index < size; ++index) {
                position.instance_hashes.push_back(1000 + index * 77);
            }
            std::uint32_t sum = 0;
            for (const std::uint64_t own : position.instance_hashes) {
                position.own_hash = own;
                sum += compute_max_cold_requests(target, {rate}, position);
            }
            CHECK(sum <= static_cast<std::uint32_t>(rate));
            CHECK(sum >= 1);
        }
    }
}

// Guards against a share that can be used twice within one second, and against a limit that still applies
// when the endpoint is warm.
TEST(cold_limit, a_share_is_counted_over_a_sliding_second)
{
    endpoint target;
    target.cold_until = start + seconds(5);
    const cold_limit limit{2, seconds(3), {true, {}}};
    const fleet_view single_instance{1, {7}, 7};
    const auto is_any_connection_granted = [&](core::instant now) {
        const send_permission permission = find_send_permission(target, limit, single_instance, now);
        return permission.is_granted && !permission.opened_until;
    };
    for (const int sent : {0, 400}) {
        CHECK_TRUE(is_any_connection_granted(start + milliseconds(sent)));
        record_send(target, start + milliseconds(sent));
    }
    CHECK_FALSE(find_send_permission(target, limit, single_instance, start + milliseconds(1000)).is_granted);
    CHECK_TRUE(is_any_connection_granted(start + milliseconds(1200)));
    CHECK_TRUE(is_any_connection_granted(start + seconds(5)));
}

TEST_GROUP(endpoint_health)
{
    health_options options;
    endpoint target;
};

// Guards against ejecting a busy endpoint because requests with short deadlines time out there. The ejection
// would move its objects to endpoints that have not handled them and overload those in turn.
TEST(endpoint_health, a_time_out_at_an_endpoint_that_answers_others_is_no_failure)
{
    record_outcome(target, attempt_outcome::success, start, milliseconds(100), options,
                   start + milliseconds(500));
    for (int count = 0; count < 10; ++count) {
        CHECK_FALSE(record_outcome(target, attempt_outcome::timed_out, start, seconds(1), options,
                                   start + seconds(1)));
    }
    CHECK(target.ejected_until <= start);
}

// Guards against an endpoint that fails permanently and still receives the requests for its objects.
TEST(endpoint_health, consecutive_time_outs_and_lost_responses_eject)
{
    CHECK_FALSE(
        record_outcome(target, attempt_outcome::timed_out, start, seconds(1), options, start + seconds(1)));
    CHECK_TRUE(record_outcome(target, attempt_outcome::response_lost, start, seconds(1), options,
                              start + seconds(1)));
    CHECK(target.ejected_until == start + seconds(1) + options.base_ejection_time);
}

// Guards against an endpoint that receives requests at the full rate again while it stays unreachable.
TEST(endpoint_health, ejections_lengthen_up_to_a_limit_and_reset_after_a_success)
{
    core::duration previous(0);
    for (int count = 0; count < 8; ++count) {
        CHECK_TRUE(record_outcome(target, attempt_outcome::unreachable, start, seconds(0), options, start));
        CHECK(target.ejected_until - start >= previous);
        previous = target.ejected_until - start;
    }
    CHECK(previous == options.max_ejection_time);
    record_outcome(target, attempt_outcome::success, start, milliseconds(10), options, start);
    record_outcome(target, attempt_outcome::unreachable, start, seconds(0), options, start);
    CHECK(target.ejected_until - start == options.base_ejection_time);
}

// Guards against an endpoint that fails a part of its requests while its health check reports success.
TEST(endpoint_health, a_high_failure_rate_ejects_despite_successes_in_between)
{
    bool is_ejected = false;
    for (int count = 0; count < 30; ++count) {
        const attempt_outcome outcome =
            count % 2 == 0 ? attempt_outcome::server_error : attempt_outcome::success;
        is_ejected |= record_outcome(target, outcome, start, milliseconds(50), options, start);
    }
    CHECK_TRUE(is_ejected);
}

TEST_GROUP(region_weights){};

// Guards against requests that may run in any region and take the capacity of a workspace that may run in
// only one.
TEST(region_weights, slots_are_left_to_workspaces_with_home_regions)
{
    const std::map<std::string, double> slots{{"uusimaa", 6}, {"savo", 18}, {"pohjanmaa", 18}};
    const std::map<std::string, double> weights =
        compute_target_region_weights(slots, {{0.3, {"uusimaa"}}}, 0.04);
    CHECK(weights.at("uusimaa") == 0.04);
    CHECK(weights.at("savo") == 1.0);
    const std::map<std::string, double> half_weights =
        compute_target_region_weights(slots, {{0.07, {"uusimaa"}}}, 0.04);
    CHECK(half_weights.at("uusimaa") > 0.45 && half_weights.at("uusimaa") < 0.55);
}

// Guards against a configuration change that shifts a region's requests at once.
TEST(region_weights, weights_move_gradually)
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
