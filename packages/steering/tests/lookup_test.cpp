// Tests of the ranking of entry instances.

#include "steering/lookup.h"
#include "steering/tests/allocation_count.h"
#include "steering/tests/fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace quetzalspan;
using namespace quetzalspan::steering;
using namespace quetzalspan::steering::tests;

TEST_GROUP(lookup)
{
    config::configuration m_configuration = make_configuration(2);
    std::vector<directory_candidate> m_members;

    void setup() override
    {
        for (const std::string region : {"pohjanmaa", "savo", "uusimaa"}) {
            for (int index = 0; index < 10; ++index) {
                membership::member member;
                member.instance = region + "-" + std::to_string(index);
                member.id = member.instance + ".1";
                member.region = region;
                m_members.push_back({member, true, 1});
            }
        }
    }

    std::vector<std::string> rank(const std::string& client, const char* own_region = "savo")
    {
        const std::unique_ptr<const snapshot> current =
            snapshot::create(m_configuration, {"", own_region}, nullptr, at_ms(0));
        const entry_directory directory(m_members);
        const lookup_answer answer = look_up(*current, directory, 0, boost::asio::ip::make_address(client));
        std::vector<std::string> ids;
        for (const directory_entry* entry : answer.entries()) {
            ids.push_back(entry->id);
        }
        return ids;
    }

    // Returns the regions of an answer in order. Consecutive entries of one region count once.
    std::vector<std::string> rank_regions(const std::string& client, const char* own_region = "savo")
    {
        std::vector<std::string> names;
        for (const std::string& id : rank(client, own_region)) {
            const std::string name = id.substr(0, id.find('-'));
            if (names.empty() || names.back() != name) {
                names.push_back(name);
            }
        }
        return names;
    }

    // Returns the id of the first entry for each of 1,000 client networks of the site kuopio, by network
    // number.
    std::map<int, std::string> first_choices()
    {
        std::map<int, std::string> result;
        const std::unique_ptr<const snapshot> current =
            snapshot::create(m_configuration, {"", "savo"}, nullptr, at_ms(0));
        const entry_directory directory(m_members);
        for (int network = 0; network < 1'000; ++network) {
            const boost::asio::ip::address_v4 client(static_cast<std::uint32_t>(0x0a010007 + network * 64));
            result[network] = look_up(*current, directory, 0, client).entries()[0]->id;
        }
        return result;
    }

    using region_names = std::vector<std::string>;
};

// Guards against an order of regions that ignores the client's site, drained regions or the regions in which
// the service has endpoints.
TEST(lookup, regions_follow_the_site_then_the_name)
{
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"savo", "uusimaa", "pohjanmaa"}));
    CHECK_TRUE(rank_regions("2001:db8:1::9") == (region_names{"pohjanmaa", "savo", "uusimaa"}));
    CHECK_TRUE(rank_regions("192.0.2.1", "uusimaa") == (region_names{"uusimaa", "pohjanmaa", "savo"}));
    m_configuration.policy.drained_regions = {"savo"};
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"uusimaa", "pohjanmaa"}));
    std::vector<config::endpoint>& endpoints = m_configuration.inventory.services[0].endpoints;
    std::erase_if(endpoints,
                  [](const config::endpoint& item) { return item.availability_zone == "uusimaa-a"; });
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"pohjanmaa", "uusimaa"}));
    m_configuration.policy.drained_regions = {"savo", "uusimaa", "pohjanmaa"};
    CHECK_TRUE(rank_regions("10.1.2.3").front() == "savo");
}

// Guards against answers that list dead instances, or leaving and suspect ones while others serve, and
// against an empty answer while any member is live.
TEST(lookup, an_answer_is_empty_only_without_live_members)
{
    using membership::member_state;
    for (directory_candidate& member : m_members) {
        member.is_alive = member.member.region != "savo";
        member.member.state =
            member.member.region == "uusimaa" ? member_state::leaving : member_state::serving;
    }
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"pohjanmaa"}));
    for (directory_candidate& member : m_members) {
        member.is_alive = member.member.region == "uusimaa";
    }
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"uusimaa"}));
    for (directory_candidate& member : m_members) {
        member.member.state = member_state::suspect;
    }
    CHECK_TRUE(rank_regions("10.1.2.3") == (region_names{"uusimaa"}));
    for (directory_candidate& member : m_members) {
        member.member.region = "unknown";
    }
    LONGS_EQUAL(1, rank("10.1.2.3").size());
    for (directory_candidate& member : m_members) {
        member.is_alive = false;
    }
    LONGS_EQUAL(0, rank("10.1.2.3").size());
}

// Guards against a ranking that sends all callers of a site to one instance, and against a ranking that
// changes when an instance restarts or differs on another instance, which may list the members in another
// order.
TEST(lookup, callers_of_a_site_spread_and_keep_their_instance)
{
    const std::map<int, std::string> before = first_choices();
    std::map<std::string, std::set<int>> networks;
    for (const auto& [network, id] : before) {
        networks[id].insert(network / 4);
    }
    LONGS_EQUAL(10, networks.size());
    // 250 networks of length /24 on 10 instances: 25 for each, with a standard deviation below 5.
    for (const auto& [id, seen] : networks) {
        CHECK_TRUE_TEXT(seen.size() >= 8 && seen.size() <= 45, id.c_str());
    }
    std::reverse(m_members.begin(), m_members.end());
    CHECK_TRUE(before == first_choices());
    for (directory_candidate& member : m_members) {
        member.member.id = member.member.instance + ".2";
    }
    for (const auto& [network, id] : first_choices()) {
        STRCMP_EQUAL((before.at(network).substr(0, before.at(network).size() - 1) + "2").c_str(), id.c_str());
    }
}

// Guards against a ranking by which the failure of one instance moves the callers of other instances, or
// moves all its own callers to the same instance.
TEST(lookup, only_callers_of_a_failed_instance_move_and_they_spread)
{
    const std::map<int, std::string> before = first_choices();
    const std::string failed = before.at(0);
    for (directory_candidate& member : m_members) {
        member.is_alive = member.member.id != failed;
    }
    std::set<std::string> targets;
    for (const auto& [network, id] : first_choices()) {
        if (before.at(network) == failed) {
            targets.insert(id);
        } else {
            STRCMP_EQUAL(before.at(network).c_str(), id.c_str());
        }
    }
    CHECK_TRUE(targets.size() >= 5);
}

// Guards against weights that have no effect, and against lookups that allocate.
TEST(lookup, weights_take_effect_and_lookups_do_not_allocate)
{
    m_members[10].weight = 0.1;
    std::map<std::string, int> counts;
    for (const auto& [network, id] : first_choices()) {
        ++counts[id];
    }
    CHECK_TRUE(counts[m_members[10].member.id] < 40);
    const std::unique_ptr<const snapshot> current =
        snapshot::create(m_configuration, {"", "savo"}, nullptr, at_ms(0));
    const entry_directory directory(m_members);
    const boost::asio::ip::address client = boost::asio::ip::make_address("10.1.2.3");
    const std::size_t allocations_before = allocation_count();
    const lookup_answer answer = look_up(*current, directory, 0, client);
    LONGS_EQUAL(allocations_before, allocation_count());
    LONGS_EQUAL(8, answer.count);
}
