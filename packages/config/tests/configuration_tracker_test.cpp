// Tests of which offered configurations are put in force.

#include "config/configuration_json.h"
#include "config/configuration_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using config::offer_outcome;

namespace
{

config::configuration make_configuration(std::uint64_t revision, const std::string& nonce)
{
    config::configuration value;
    value.revision = revision;
    value.nonce = nonce;
    value.inventory.regions = {"north"};
    value.inventory.availability_zones = {{"north-a", "north"}};
    value.inventory.services = {{"desk", {{"d1", "north-a", "10.0.0.1", 80, 3, 330, false}}}};
    value.policy.routes = {{"/desk", "desk", true}};
    return value;
}

} // namespace

TEST_GROUP(configuration_tracker){};

// Guards against a stale store or peer that puts an older configuration in force again.
TEST(configuration_tracker, only_a_higher_revision_is_applied)
{
    struct step {
        std::uint64_t revision;
        const char* nonce;
        offer_outcome expected;
        std::uint64_t in_force;
    };
    const std::vector<step> steps{
        {0, "z", offer_outcome::invalid, 0},   {3, "a", offer_outcome::applied, 3},
        {3, "a", offer_outcome::unchanged, 3}, {2, "b", offer_outcome::older, 3},
        {3, "b", offer_outcome::conflict, 3},  {7, "c", offer_outcome::applied, 7},
        {3, "a", offer_outcome::older, 7},
    };
    config::configuration_tracker tracker;
    for (const step& entry : steps) {
        CHECK_TRUE(entry.expected ==
                   tracker.offer(make_configuration(entry.revision, entry.nonce), "store").outcome);
        LONGS_EQUAL(entry.in_force, tracker.revisions().revision());
    }
    STRCMP_EQUAL("c", tracker.current()->nonce.c_str());
    LONGS_EQUAL(2, tracker.revisions().older_offers());
    LONGS_EQUAL(1, tracker.revisions().conflicts());
    LONGS_EQUAL(1, tracker.invalid_offers());
}

// Guards against an invalid configuration that replaces a valid one, and against one whose revision can then
// no longer be used.
TEST(configuration_tracker, invalid_offers_keep_the_configuration_in_force)
{
    config::configuration_tracker tracker;
    tracker.offer(make_configuration(1, "a"), "store");
    config::configuration broken = make_configuration(2, "b");
    broken.policy.routes[0].service = "mill";
    const config::offer_result refused = tracker.offer(broken, "store");
    CHECK_TRUE(offer_outcome::invalid == refused.outcome);
    CHECK_TRUE(refused.found.to_text().find("mill") != std::string::npos);
    CHECK_TRUE(offer_outcome::invalid == tracker.offer_json("{\"revision\": 5", "store").outcome);
    LONGS_EQUAL(1, tracker.current()->revision);
    CHECK_TRUE(offer_outcome::applied ==
               tracker.offer_json(to_json(make_configuration(2, "c")), "peer").outcome);
}
