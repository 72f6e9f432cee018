// Tests of the catalog of endpoints.

#include "placement/endpoint_catalog.h"

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

core::instant at(int milliseconds_since_start)
{
    return core::instant(seconds(100) + milliseconds(milliseconds_since_start));
}

} // namespace

TEST_GROUP(catalog)
{
    endpoint_catalog endpoints{{}, {nullptr, [](std::string_view) { return core::duration(seconds(3)); }}};

    bool receives(const std::string& id) const
    {
        const endpoint_pointer found = endpoints.find(id);
        return found && may_receive(*found);
    }
};

// Guards against a late record that takes back a drain, and against one of an earlier start.
TEST(catalog, outdated_records_change_nothing)
{
    endpoint_record draining = make_record("a", 10, 5);
    draining.phase = endpoint_phase::draining;
    endpoints.apply(draining, at(0), true);
    endpoints.apply(make_record("a", 10, 4), at(10), false);
    CHECK_FALSE(receives("a"));
    endpoints.apply(make_record("a", 9, 50), at(20), false);
    CHECK_FALSE(receives("a"));
    endpoints.apply(make_record("a", 10, 6), at(30), false);
    CHECK_TRUE(receives("a"));
}

// Guards against beliefs about an endpoint that outlive its restart under the same id.
TEST(catalog, a_restart_under_the_same_id_begins_anew_and_cold)
{
    endpoints.apply(make_record("a", 10, 50), at(0), true);
    const endpoint_pointer former = endpoints.find("a");
    former->failures = 9;
    former->outstanding = 2;
    endpoints.apply(make_record("a", 11, 1), at(100), false);
    const endpoint_pointer present = endpoints.find("a");
    CHECK(present != former);
    CHECK_TRUE(former->is_removed);
    CHECK_EQUAL(0U, present->failures);
    CHECK_EQUAL(0U, present->outstanding);
    CHECK(present->cold_until == at(3100));
    CHECK_EQUAL(1U, endpoints.find_service("orders").size());
}

// Guards against new requests to an endpoint whose record is gone.
TEST(catalog, a_removed_endpoint_receives_nothing)
{
    endpoints.apply(make_record("a", 1, 1), at(0), true);
    endpoints.apply(make_record("b", 1, 1), at(0), true);
    endpoints.apply(make_record("c", 1, 1), at(0), true);
    endpoints.remove("a", at(10));
    CHECK(endpoints.find("a") == nullptr);
    CHECK_EQUAL(2U, endpoints.find_service("orders").size());
}

// Guards against both faults after an outage of the store: dropping endpoints whose lapsed records come back
// within two seconds, and keeping those that do not.
TEST(catalog, records_that_lapsed_with_the_store_have_a_grace_time)
{
    endpoints.apply(make_record("a", 1, 1), at(0), true);
    endpoints.apply(make_record("b", 1, 1), at(0), true);
    endpoints.begin_absence_grace(at(5000));
    endpoints.remove("a", at(5000));
    endpoints.remove("b", at(5000));
    CHECK_TRUE(receives("a"));
    endpoints.apply(make_record("a", 1, 9), at(7000), false);
    endpoints.expire(at(7150));
    CHECK_TRUE(receives("b"));
    endpoints.expire(at(7250));
    CHECK_TRUE(receives("a"));
    CHECK(endpoints.find("b") == nullptr);
}

// Guards against a service without endpoints after discovery lost them all at once.
TEST(catalog, a_mass_removal_has_the_same_grace_time)
{
    for (const char* id : {"a", "b", "c", "d"}) {
        endpoints.apply(make_record(id, 1, 1), at(0), true);
    }
    for (const char* id : {"a", "b", "c", "d"}) {
        endpoints.remove(id, at(100));
    }
    CHECK_TRUE(receives("d"));
    endpoints.expire(at(2400));
    CHECK_EQUAL(0U, endpoints.size());
}

// Guards against requests to an evacuated zone, also to endpoints that join it, and against full load on
// endpoints that have become cold meanwhile.
TEST(catalog, an_evacuated_zone_receives_nothing_and_returns_cold)
{
    endpoints.apply(make_record("a", 1, 1), at(0), true);
    endpoints.set_evacuated_zones({"savo-a"}, at(100));
    CHECK_FALSE(receives("a"));
    endpoints.apply(make_record("b", 1, 1), at(200), false);
    CHECK_FALSE(receives("b"));
    endpoints.set_evacuated_zones({}, at(9000));
    CHECK_TRUE(receives("a"));
    CHECK(endpoints.find("a")->cold_until == at(12000));
}
