// Tests of the exchange of load reports between instances.

#include "edge/load_exchange.h"

#include "core/findings.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));

instance_record make_instance(const std::string& name, const std::string& zone)
{
    instance_record result;
    result.instance = name;
    result.region = zone.substr(0, zone.find('-'));
    result.availability_zone = zone;
    result.peer_address = {"127.0.0.1", 7};
    return result;
}

const load_collector::loads one_load{{"e1", {{6, 4, 6, 250}, milliseconds(40)}}};

} // namespace

TEST_GROUP(load_messages){};

// Guards against a datagram that is malformed or not meant as load and changes what is known of an endpoint.
TEST(load_messages, loads_round_trip_and_malformed_ones_are_rejected)
{
    const endpoint_loads_message sent{
        "a",
        load_scope::zone,
        {{"e1", {{6, 4, 6, 250}, milliseconds(40)}}, {"e2", {{1, 0, 3}, milliseconds(0)}}}};
    const endpoint_loads_message parsed =
        std::get<endpoint_loads_message>(parse_peer_message(to_text(sent), "test"));
    CHECK_EQUAL(std::string("a"), parsed.instance);
    CHECK(parsed.scope == load_scope::zone);
    CHECK_EQUAL(2U, parsed.loads.size());
    CHECK(parsed.loads.at("e1").report == sent.loads.at("e1").report);
    // Ages are rounded up, so that a report that is passed on never seems newer than the original.
    CHECK(parsed.loads.at("e1").age == milliseconds(41));
    CHECK_FALSE(parsed.loads.at("e2").report.pace_percent.has_value());
    const std::string head = R"({"method":"endpoint_loads","params":{"instance":"a","scope":"zone","loads":)";
    for (const char* loads :
         {"7", "[]", R"({"e":7})", R"({"e":[1,2,3,4]})", R"({"e":[1,2,3,4,5,6]})", R"({"e":[1,2,0,100,5]})",
          R"({"e":[-1,2,3,100,5]})", R"({"e":[1,2,3,1.5,5]})", R"({"e":[1,2,3,99999999,5]})",
          R"({"e":[1,2,3,100,70000]})", R"({"e":["1",2,3,4,5]})"}) {
        CHECK_THROWS(core::findings_error, parse_peer_message(head + loads + "}}", "test"));
    }
    CHECK_THROWS(core::findings_error,
                 parse_peer_message(
                     R"({"method":"endpoint_loads","params":{"instance":"a","scope":"x","loads":{}}})", "t"));
}

TEST_GROUP(load_collector)
{
    load_collector collector;
};

// Guards against reports that circulate between collectors, and against one that is replaced by an older one.
TEST(load_collector, reports_are_passed_on_once_and_the_newest_wins)
{
    collector.add(one_load, load_scope::instance, start);
    collector.add({{"e1", {{0, 0, 6}, milliseconds(300)}}}, load_scope::instance, start);
    collector.add({{"e2", {{5, 0, 6}, milliseconds(1)}}}, load_scope::zone, start);
    collector.add({{"e3", {{5, 0, 6}, milliseconds(1)}}}, load_scope::fleet, start);
    const load_collector::loads zone = collector.take_zone_loads(start + milliseconds(10));
    CHECK_EQUAL(1U, zone.size());
    CHECK_EQUAL(6U, zone.at("e1").report.running);
    CHECK(zone.at("e1").age == milliseconds(50));
    CHECK_EQUAL(2U, collector.take_fleet_loads(start).size());
    CHECK_TRUE(collector.take_fleet_loads(start).empty());
    CHECK_TRUE(collector.take_zone_loads(start).empty());
}

// Guards against passing on what has become old while there was nobody to pass it to.
TEST(load_collector, old_reports_are_dropped)
{
    collector.add({{"e1", {{5, 0, 6}, load_collector::max_age + milliseconds(1)}}}, load_scope::instance,
                  start);
    collector.add({{"e2", {{5, 0, 6}, milliseconds(0)}}}, load_scope::instance, start);
    CHECK_TRUE(collector.take_fleet_loads(start + load_collector::max_age + milliseconds(1)).empty());
}

TEST_GROUP(load_exchange)
{
    boost::asio::io_context context;
    burn::metrics_registry metrics;
    std::map<std::string, designated_instance> collectors;
    load_collector::loads own_loads;
    load_collector::loads applied;
    // The receivers of messages, with the scope.
    std::vector<std::string> sent;
    std::size_t largest_message_bytes = 0;
    bool is_needed = true;
    std::unique_ptr<load_exchange> exchange;

    void setup() override
    {
        load_exchange::hooks hooks;
        hooks.is_needed = [this] { return is_needed; };
        hooks.take_own_loads = [this](core::instant) { return std::exchange(own_loads, {}); };
        hooks.apply = [this](const load_collector::loads& loads, core::instant) { applied = loads; };
        hooks.collectors = [this](core::instant) { return collectors; };
        hooks.zone_members = [] { return std::vector<instance_record>{make_instance("near", "savo-a")}; };
        hooks.send = [this](const instance_record& target, const std::string& text) {
            const endpoint_loads_message message =
                std::get<endpoint_loads_message>(parse_peer_message(text, "test"));
            largest_message_bytes = std::max(largest_message_bytes, text.size());
            sent.push_back(target.instance + " " + std::string(load_scope_names.name(message.scope)));
            return true;
        };
        exchange = std::make_unique<load_exchange>(context.get_executor(), "own", "savo-a", std::move(hooks),
                                                   metrics);
        collectors["savo-a"] = {false, make_instance("first", "savo-a")};
        collectors["savo-b"] = {false, make_instance("other", "savo-b")};
    }

    std::vector<std::string> send_twice()
    {
        exchange->send_messages(start);
        exchange->send_messages(start);
        return std::exchange(sent, {});
    }
};

// Guards against reports that do not reach every instance, or reach one through several ways.
TEST(load_exchange, reports_go_to_the_collector_which_passes_them_on)
{
    own_loads = one_load;
    CHECK(send_twice() == std::vector<std::string>{"first instance"});
    collectors["savo-a"] = {true, std::nullopt};
    own_loads = one_load;
    CHECK(send_twice() == (std::vector<std::string>{"other zone", "near fleet"}));
    exchange->handle_message({"other", load_scope::zone, one_load}, start);
    CHECK_EQUAL(1U, applied.size());
    CHECK(send_twice() == std::vector<std::string>{"near fleet"});
    exchange->handle_message({"first", load_scope::fleet, one_load}, start);
    CHECK(send_twice().empty());
}

// Guards against losing the reports of a zone while instances disagree about its collector: one that is taken
// for the collector acts as one.
TEST(load_exchange, an_instance_that_receives_reports_passes_them_on)
{
    exchange->handle_message({"near", load_scope::instance, one_load}, start);
    CHECK(send_twice() == (std::vector<std::string>{"other zone", "near fleet"}));
}

// Guards against a failure while the instance knows no collector, for example after a cut of its links.
TEST(load_exchange, without_a_collector_nothing_is_sent)
{
    collectors.clear();
    own_loads = one_load;
    CHECK(send_twice().empty());
    CHECK_TRUE(own_loads.empty());
}

// Guards against reports that pile up, or take effect, at an instance of a fleet that is too small to share
// them.
TEST(load_exchange, without_need_reports_are_ignored)
{
    is_needed = false;
    exchange->handle_message({"near", load_scope::instance, one_load}, start);
    CHECK_TRUE(applied.empty());
    CHECK(send_twice().empty());
}

// Guards against a datagram that is larger than receivers accept.
TEST(load_exchange, many_reports_are_split)
{
    for (std::size_t index = 0; index < max_shared_loads + 1; ++index) {
        const std::string id = std::to_string(100'000 + index) + "-0123456789abcdef0123456789abc";
        own_loads[id] = {{1'000'000, 1'000'000, 1'000'000, 1'000'000}, seconds(1)};
    }
    CHECK_EQUAL(2U, send_twice().size());
    CHECK(largest_message_bytes <= 16 * 1024);
}
