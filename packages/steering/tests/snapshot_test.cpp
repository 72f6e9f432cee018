// Tests of the compilation of a configuration into a snapshot.

#include "core/findings.h"
#include "steering/snapshot.h"
#include "steering/tests/fixture.h"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace quetzalspan;
using namespace quetzalspan::steering;
using namespace quetzalspan::steering::tests;

TEST_GROUP(snapshot)
{
    const instance_location m_location{"savo-a", "savo"};
    config::configuration m_configuration = make_configuration(2);

    std::unique_ptr<const snapshot> compile(const snapshot* previous = nullptr, std::int64_t now = 0)
    {
        return snapshot::create(m_configuration, m_location, previous, at_ms(now));
    }
};

// Guards against a shorter route that is found instead of a longer one.
TEST(snapshot, finds_the_longest_route)
{
    const std::unique_ptr<const snapshot> current = compile();
    CHECK_FALSE(current->find_route("/orders/7")->is_public);
    CHECK_TRUE(current->find_route("/status")->is_public);
    POINTERS_EQUAL(nullptr, current->find_route("status"));
}

// Guards against a revoked key that is accepted, or reported as unknown.
TEST(snapshot, distinguishes_revoked_from_unknown_keys)
{
    m_configuration.inventory.keys.push_back({std::string(64, 'b'), "kauppa", false});
    const std::unique_ptr<const snapshot> current = compile();
    CHECK_TRUE(current->find_key(std::string(64, 'a')).status == key_status::valid);
    CHECK_TRUE(current->find_key(std::string(64, 'b')).status == key_status::revoked);
    CHECK_TRUE(current->find_key(std::string(64, 'c')).status == key_status::unknown);
    CHECK_TRUE(current->find_key("").status == key_status::unknown);
}

// Guards against an endpoint that loses its state when the configuration changes, and against another process
// at another address that takes over this state.
TEST(snapshot, endpoints_keep_their_state_by_identity)
{
    const std::unique_ptr<const snapshot> first = compile();
    m_configuration.inventory.services[0].endpoints[1].port = 1;
    m_configuration.inventory.services[0].endpoints.insert(
        m_configuration.inventory.services[0].endpoints.begin(),
        {"aaa", "pohjanmaa-a", "127.0.0.1", 2, 3, 330, false});
    const std::unique_ptr<const snapshot> second = compile(first.get(), 50'000);
    const auto state = [](const snapshot& in, const char* id) {
        return in.endpoints()[*in.find_endpoint(0, id)].state;
    };
    POINTERS_EQUAL(state(*first, "savo-0").get(), state(*second, "savo-0").get());
    DOUBLES_EQUAL(1, state(*second, "savo-0")->slow_start_ramp(at_ms(50'000)), 0);
    CHECK_TRUE(state(*first, "uusimaa-1") != state(*second, "uusimaa-1"));
    DOUBLES_EQUAL(endpoint_state::min_ramp, state(*second, "uusimaa-1")->slow_start_ramp(at_ms(50'000)), 0);
    DOUBLES_EQUAL(endpoint_state::min_ramp, state(*second, "aaa")->slow_start_ramp(at_ms(50'000)), 0);
}

// Guards against full load on an endpoint that returns after a drain of it or of its region, while its caches
// are cold.
TEST(snapshot, an_endpoint_back_in_rotation_starts_cold)
{
    m_configuration.inventory.services[0].endpoints[0].is_draining = true;
    m_configuration.policy.drained_regions = {"savo"};
    const std::unique_ptr<const snapshot> first = compile();
    m_configuration.inventory.services[0].endpoints[0].is_draining = false;
    m_configuration.policy.drained_regions.clear();
    const std::unique_ptr<const snapshot> second = compile(first.get(), 50'000);
    for (const compiled_endpoint& endpoint : second->endpoints()) {
        const bool is_back_in_rotation = endpoint.id == "uusimaa-0" || endpoint.id.starts_with("savo");
        DOUBLES_EQUAL(is_back_in_rotation ? endpoint_state::min_ramp : 1,
                      endpoint.state->slow_start_ramp(at_ms(50'000)), 0);
    }
}

// Guards against an error that reports only the first fault, so that an operator needs one attempt for each
// fault.
TEST(snapshot, reports_every_dangling_reference)
{
    m_configuration.policy.routes.push_back({"/x", "missing-service", false});
    m_configuration.policy.drained_regions = {"missing-region"};
    m_configuration.inventory.keys.push_back({std::string(64, 'd'), "missing-workspace", false});
    m_configuration.inventory.client_blocks.push_back({"10.0.0.1/8", "kuopio"});
    m_configuration.inventory.client_blocks.push_back({"11.0.0.0/8", "missing-site"});
    std::string text;
    try {
        compile();
    } catch (const core::findings_error& error) {
        text = error.what();
    }
    for (const char* part :
         {"missing-service", "missing-region", "missing-workspace", "10.0.0.1/8", "missing-site"}) {
        CHECK_TEXT(text.find(part) != std::string::npos, part);
    }
}

// Guards against a change of client blocks that loses other parts of the snapshot or is visible in the
// previous snapshot.
TEST(snapshot, client_block_changes_leave_the_rest_unchanged)
{
    const std::unique_ptr<const snapshot> first = compile();
    const boost::asio::ip::address client = boost::asio::ip::make_address("10.1.2.3");
    const std::array<client_block_change, 1> change{
        {{*address_prefix::parse("10.1.2.0/24"), *first->find_site("vaasa")}}};
    const std::unique_ptr<const snapshot> second = first->with_client_block_changes(2, change);
    LONGS_EQUAL(2, second->revision());
    LONGS_EQUAL(*first->find_site("kuopio"), first->client_blocks().find(client)->site);
    LONGS_EQUAL(*first->find_site("vaasa"), second->client_blocks().find(client)->site);
    POINTERS_EQUAL(first->endpoints()[0].state.get(), second->endpoints()[0].state.get());
    CHECK_TRUE(second->find_key(std::string(64, 'b')).status == key_status::revoked);
}

// Guards against client blocks that refer to another site after sites were added or removed.
TEST(snapshot, sites_keep_their_index)
{
    const std::unique_ptr<const snapshot> first = compile();
    const site_index vaasa = *first->find_site("vaasa");
    m_configuration.inventory.sites.insert(m_configuration.inventory.sites.begin(),
                                           {"aavasaksa", {"uusimaa"}});
    const std::unique_ptr<const snapshot> second = compile(first.get());
    LONGS_EQUAL(vaasa, *second->find_site("vaasa"));
    m_configuration.inventory.sites.erase(m_configuration.inventory.sites.begin());
    const std::unique_ptr<const snapshot> third = compile(second.get());
    CHECK_FALSE(third->find_site("aavasaksa").has_value());
    LONGS_EQUAL(vaasa, third->client_blocks().find(boost::asio::ip::make_address("2001:db8:1::7"))->site);
}
