// Tests of the endpoint catalog: outdated records, restarts, grace periods and evacuations.

#include "placement/endpoint_catalog.h"

#include "placement/cold_start.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

endpoint_record make_record(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence)
{
    endpoint_record result;
    result.id = id;
    result.service = "orders";
    result.host = "127.0.0.1";
    result.port = 8080;
    result.availability_zone = "savo-a";
    result.region = "savo";
    result.slots = 3;
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

core::instant at_ms(int milliseconds_since_start)
{
    return core::instant(seconds(100) + milliseconds(milliseconds_since_start));
}

} // namespace

TEST_GROUP(endpoint_catalog)
{
    endpoint_catalog endpoints{{}, {nullptr, [](std::string_view) { return core::duration(seconds(3)); }}};

    bool may_receive_requests(const std::string& id) const
    {
        const endpoint_pointer found = endpoints.find(id);
        return found && may_receive(*found);
    }
};

// Guards against a record that arrives late and reverts a drain, and against one from an earlier incarnation.
TEST(endpoint_catalog, outdated_records_change_nothing)
{
    endpoint_record draining = make_record("a", 10, 5);
    draining.phase = endpoint_phase::draining;
    endpoints.apply(draining, at_ms(0), true);
    endpoints.apply(make_record("a", 10, 4), at_ms(10), false);
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.apply(make_record("a", 9, 50), at_ms(20), false);
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.apply(make_record("a", 10, 6), at_ms(30), false);
    CHECK_TRUE(may_receive_requests("a"));
}

// Guards against health and load state of an endpoint that is kept when it restarts under the same id.
TEST(endpoint_catalog, a_restart_under_the_same_id_resets_the_state_and_is_cold)
{
    endpoints.apply(make_record("a", 10, 50), at_ms(0), true);
    const endpoint_pointer former = endpoints.find("a");
    former->consecutive_failures = 9;
    former->outstanding_requests = 2;
    endpoints.apply(make_record("a", 11, 1), at_ms(100), false);
    const endpoint_pointer present = endpoints.find("a");
    CHECK(present != former);
    CHECK_TRUE(former->is_removed);
    CHECK_EQUAL(0U, present->consecutive_failures);
    CHECK_EQUAL(0U, present->outstanding_requests);
    CHECK(present->cold_until == at_ms(3100));
    CHECK_EQUAL(1U, endpoints.find_service("orders").size());
}

// Guards against a new incarnation that gets an instance's whole share of the cold limit on top of what it
// got before its record arrived, also if the former record was deleted in between.
TEST(endpoint_catalog, requests_sent_before_the_record_of_a_restart_count_against_its_limit)
{
    const cold_limit limit{2, seconds(3), {true, {}}};
    const fleet_view single_instance{1, {7}, 7};
    for (const bool is_removed_first : {false, true}) {
        const std::string id = is_removed_first ? "a" : "b";
        endpoints.apply(make_record(id, 10, 50), at_ms(0), true);
        for (const int sent : {5000, 5200}) {
            CHECK_TRUE(
                find_send_permission(*endpoints.find(id), limit, single_instance, at_ms(sent)).is_granted);
            record_send(*endpoints.find(id), at_ms(sent));
        }
        if (is_removed_first) {
            endpoints.remove(id, at_ms(5300));
        }
        endpoints.apply(make_record(id, 11, 1), at_ms(5400), false);
        const endpoint_pointer present = endpoints.find(id);
        CHECK_FALSE(find_send_permission(*present, limit, single_instance, at_ms(5400)).is_granted);
        CHECK_FALSE(find_send_permission(*present, limit, single_instance, at_ms(6100)).is_granted);
        CHECK_TRUE(find_send_permission(*present, limit, single_instance, at_ms(6200)).is_granted);
    }
}

// Guards against a flood of an endpoint that has become cold without a restart shortly before its record says
// so.
TEST(endpoint_catalog, requests_sent_before_an_endpoint_became_cold_again_count_against_its_limit)
{
    const cold_limit limit{2, seconds(3), {true, {}}};
    const fleet_view single_instance{1, {7}, 7};
    endpoints.apply(make_record("a", 10, 1), at_ms(0), true);
    record_send(*endpoints.find("a"), at_ms(5000));
    record_send(*endpoints.find("a"), at_ms(5100));
    record_connection(*endpoints.find("a"), limit, at_ms(0), at_ms(5100), at_ms(5110));
    endpoint_record cold_again = make_record("a", 10, 2);
    cold_again.remaining_cold_time = seconds(2);
    endpoints.apply(cold_again, at_ms(5300), false);
    CHECK_FALSE(find_send_permission(*endpoints.find("a"), limit, single_instance, at_ms(5300)).is_granted);
}

// Guards against new requests to an endpoint that has said in a response that it is leaving, while its record
// does not tell yet; also after its record was lost with the store and came back.
TEST(endpoint_catalog, an_endpoint_that_said_it_leaves_receives_nothing_until_it_starts_anew)
{
    endpoints.apply(make_record("a", 10, 1), at_ms(0), true);
    endpoints.apply(make_record("b", 10, 1), at_ms(0), true);
    endpoints.apply(make_record("c", 10, 1), at_ms(0), true);
    CHECK_TRUE(endpoints.mark_leaving(*endpoints.find("a")));
    CHECK_FALSE(endpoints.mark_leaving(*endpoints.find("a")));
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.apply(make_record("a", 10, 2), at_ms(10), false);
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.remove("a", at_ms(20));
    endpoints.apply(make_record("a", 10, 3), at_ms(30), false);
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.apply(make_record("a", 11, 1), at_ms(40), false);
    CHECK_TRUE(may_receive_requests("a"));
}

// Guards against new requests to an endpoint whose record was deleted.
TEST(endpoint_catalog, a_removed_endpoint_receives_nothing)
{
    endpoints.apply(make_record("a", 1, 1), at_ms(0), true);
    endpoints.apply(make_record("b", 1, 1), at_ms(0), true);
    endpoints.apply(make_record("c", 1, 1), at_ms(0), true);
    endpoints.remove("a", at_ms(10));
    CHECK(endpoints.find("a") == nullptr);
    CHECK_EQUAL(2U, endpoints.find_service("orders").size());
}

// Guards against two faults after an outage of the record store: removal of endpoints whose expired records
// are written again within 2 s, and retention of endpoints whose records are not.
TEST(endpoint_catalog, records_that_expire_during_a_store_outage_have_a_grace_period)
{
    endpoints.apply(make_record("a", 1, 1), at_ms(0), true);
    endpoints.apply(make_record("b", 1, 1), at_ms(0), true);
    endpoints.begin_removal_grace_period(at_ms(5000));
    endpoints.remove("a", at_ms(5000));
    endpoints.remove("b", at_ms(5000));
    CHECK_TRUE(may_receive_requests("a"));
    endpoints.apply(make_record("a", 1, 9), at_ms(7000), false);
    endpoints.remove_missing(at_ms(7150));
    CHECK_TRUE(may_receive_requests("b"));
    endpoints.remove_missing(at_ms(7250));
    CHECK_TRUE(may_receive_requests("a"));
    CHECK(endpoints.find("b") == nullptr);
}

// Guards against a service without endpoints after the records of all of them have expired in an outage of
// service discovery.
TEST(endpoint_catalog, all_endpoints_of_a_service_are_kept_after_an_outage)
{
    for (const char* id : {"a", "b", "c", "d"}) {
        endpoints.apply(make_record(id, 1, 1), at_ms(0), true);
    }
    endpoints.begin_removal_grace_period(at_ms(100));
    for (const char* id : {"a", "b", "c", "d"}) {
        endpoints.remove(id, at_ms(100));
    }
    endpoints.remove_missing(at_ms(2200));
    for (const char* id : {"a", "b", "c", "d"}) {
        CHECK_TRUE(may_receive_requests(id));
    }
    endpoints.remove_missing(at_ms(2400));
    CHECK_EQUAL(0U, endpoints.size());
}

// Guards against requests to the last endpoints of a service for 2.2 s after their removal, as if service
// discovery had failed: bookings were lost when they exited.
TEST(endpoint_catalog, the_last_endpoints_of_a_service_are_removed_at_once)
{
    for (const char* id : {"a", "b", "c"}) {
        endpoints.apply(make_record(id, 1, 1), at_ms(0), true);
    }
    endpoints.remove("a", at_ms(100));
    endpoints.remove("b", at_ms(200));
    CHECK_EQUAL(1U, endpoints.size());
    endpoints.remove("c", at_ms(300));
    CHECK_EQUAL(0U, endpoints.size());
    // The removal of the last one must not delay those of other endpoints either.
    endpoints.apply(make_record("d", 1, 1), at_ms(400), false);
    endpoints.apply(make_record("e", 1, 1), at_ms(400), false);
    endpoints.remove("d", at_ms(500));
    CHECK(endpoints.find("d") == nullptr);
}

// Guards against requests to an evacuated zone, including to endpoints that are added to it, and against full
// load on endpoints that became cold during the evacuation.
TEST(endpoint_catalog, an_evacuated_zone_receives_nothing_and_is_cold_afterwards)
{
    endpoints.apply(make_record("a", 1, 1), at_ms(0), true);
    endpoints.set_evacuated_zones({"savo-a"}, at_ms(100));
    CHECK_FALSE(may_receive_requests("a"));
    endpoints.apply(make_record("b", 1, 1), at_ms(200), false);
    CHECK_FALSE(may_receive_requests("b"));
    endpoints.set_evacuated_zones({}, at_ms(9000));
    CHECK_TRUE(may_receive_requests("a"));
    CHECK(endpoints.find("a")->cold_until == at_ms(12000));
}
