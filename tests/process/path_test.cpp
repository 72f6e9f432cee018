// End-to-end tests with real processes: lookups, requests with and without keys, rejected requests, claims of
// idempotency keys, and configuration changes by operators.

#include "core/digest.h"
#include "tests/support/fleet.h"
#include "tests/support/http_call.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using tests::call_result;
using tests::fleet;

TEST_GROUP(path){};

// Guards against faults between components that the tests of each component do not find.
TEST(path, a_request_is_served_end_to_end)
{
    fleet test_fleet;
    const std::string lookup =
        tests::get_text(test_fleet.caller_port(1), "/v1/entry?service=orders&client=127.0.0.9");
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK_TRUE(lookup.find(std::to_string(test_fleet.caller_port(index))) != std::string::npos);
    }
    for (std::size_t index = 0; index < 3; ++index) {
        LONGS_EQUAL(200, test_fleet.send(index, "GET", "/orders/1", fleet::alpha_key).status);
        LONGS_EQUAL(200, test_fleet.send(index, "GET", "/catalogue", "").status);
    }
    const call_result without_key = test_fleet.send(0, "GET", "/orders/1", "");
    LONGS_EQUAL(401, without_key.status);
    STRCMP_EQUAL("not-run", without_key.outcome.c_str());
    const call_result unknown_key = test_fleet.send(0, "GET", "/orders/1", "a-key-that-nobody-has");
    LONGS_EQUAL(401, unknown_key.status);
    // Targets of a public route that an upstream could resolve to a route that requires a key.
    LONGS_EQUAL(400, test_fleet.send(0, "GET", "/catalogue/../orders/1", "").status);
    LONGS_EQUAL(400, test_fleet.send(0, "GET", "//orders/1", "").status);
    LONGS_EQUAL(404, test_fleet.send(0, "GET", "/catalogues", "").status);
    LONGS_EQUAL(6, test_fleet.total_executions());
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK_FALSE(test_fleet.executions(index)["key_seen"].asBool());
    }
}

// Guards against an order that is executed twice because the caller repeats it at another instance, or
// because the connection to the upstream broke after the upstream had executed it.
TEST(path, a_repeated_order_runs_once)
{
    fleet test_fleet;
    LONGS_EQUAL(200, test_fleet.send(0, "POST", "/orders", fleet::alpha_key, "order-1", "claim-1").status);
    const call_result repeated =
        test_fleet.send(1, "POST", "/orders", fleet::alpha_key, "order-1", "claim-1");
    LONGS_EQUAL(409, repeated.status);
    STRCMP_EQUAL("ran", repeated.outcome.c_str());
    // Claims are kept per workspace: the same idempotency key of another workspace is another claim.
    LONGS_EQUAL(200, test_fleet.send(1, "POST", "/orders", fleet::beta_key, "order-2", "claim-1").status);

    for (std::size_t index = 0; index < 3; ++index) {
        test_fleet.control_upstream(index, R"({"fault": "reset_after_running", "fault_count": 1})");
    }
    const call_result lost = test_fleet.send(2, "POST", "/orders", fleet::alpha_key, "order-3", "claim-3");
    LONGS_EQUAL(502, lost.status);
    STRCMP_EQUAL("unknown", lost.outcome.c_str());
    const call_result repeated_lost =
        test_fleet.send(0, "POST", "/orders", fleet::alpha_key, "order-3", "claim-3");
    LONGS_EQUAL(409, repeated_lost.status);
    STRCMP_EQUAL("unknown", repeated_lost.outcome.c_str());
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK_TRUE(test_fleet.executions(index)["most_per_order"].asUInt() <= 1);
    }
}

// Guards against claims that stay in the store for ever. A claim is deleted when its lease expires.
TEST(path, a_claim_ends_with_its_lease)
{
    fleet test_fleet;
    LONGS_EQUAL(200, test_fleet.send(0, "POST", "/orders", fleet::alpha_key, "order-1", "claim-1").status);
    LONGS_EQUAL(409, test_fleet.send(1, "POST", "/orders", fleet::alpha_key, "order-1", "claim-1").status);
    test_fleet.control_store("expire-lease?key=claims/alpha/" + core::sha256_hex("claim-1"));
    LONGS_EQUAL(200, test_fleet.send(1, "POST", "/orders", fleet::alpha_key, "order-2", "claim-1").status);
}

// Guards against a revoked key that is still accepted on an open connection or by one of the instances, and
// against instances that go back to an older configuration when the store is restored to an older state.
TEST(path, a_revoked_key_stays_revoked_after_a_restore_of_the_store)
{
    fleet test_fleet;
    test_fleet.control_store("snapshot?name=before");
    LONGS_EQUAL(0, test_fleet.quetzalctl({"revoke-key", core::sha256_hex(fleet::alpha_key)}));
    LONGS_EQUAL(0, test_fleet.quetzalctl({"wait"}));
    for (std::size_t index = 0; index < 3; ++index) {
        LONGS_EQUAL(401, test_fleet.send(index, "GET", "/orders/1", fleet::alpha_key).status);
        LONGS_EQUAL(200, test_fleet.send(index, "GET", "/orders/1", fleet::beta_key).status);
    }
    const std::uint64_t revision = test_fleet.status(0)["revision"].asUInt64();
    test_fleet.control_store("restore?name=before");
    // The instances notice the restore: their member records have changed or the offered configuration is
    // older.
    CHECK_TRUE(fleet::wait_until([&] {
        return test_fleet.status(0)["older_offers"].asUInt64() > 0 ||
               test_fleet.status(0)["member"].asString() != "";
    }));
    for (int round = 0; round < 20; ++round) {
        for (std::size_t index = 0; index < 3; ++index) {
            CHECK_TRUE(test_fleet.status(index)["revision"].asUInt64() >= revision);
            CHECK_TRUE(test_fleet.send(index, "GET", "/orders/1", fleet::alpha_key).status != 200);
        }
    }
}
