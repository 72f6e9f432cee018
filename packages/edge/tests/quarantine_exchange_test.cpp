// Tests of how instances share which requests end endpoints, with a fleet whose messages arrive at once or
// get lost.

#include "edge/quarantine_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));
constexpr dispatch::request_fingerprint deadly = 0xfedcba9876543210U;

} // namespace

TEST_GROUP(quarantine_exchange)
{
    boost::asio::io_context context;
    burn::metrics_registry metrics;
    std::map<std::string, std::unique_ptr<quarantine_exchange>> fleet;
    // Instances that receive nothing.
    std::set<std::string> deaf;
    int message_count = 0;
    core::instant now = start;

    void setup() override
    {
        for (const char* name : {"a", "b", "c", "d"}) {
            fleet[name] = std::make_unique<quarantine_exchange>(
                context.get_executor(), name, dispatch::quarantine_options{}, make_hooks(name), metrics);
        }
    }

    static instance_record make_record(const std::string& name)
    {
        instance_record result;
        result.instance = name;
        return result;
    }

    quarantine_exchange::hooks make_hooks(const std::string& own)
    {
        quarantine_exchange::hooks result;
        result.coordinators = [own](const std::string&) {
            return std::vector<std::optional<instance_record>>{
                own == "a" ? std::nullopt : std::optional<instance_record>(make_record("a"))};
        };
        result.others = [this, own] {
            std::vector<instance_record> others;
            for (const auto& [name, entry] : fleet) {
                if (name != own) {
                    others.push_back(make_record(name));
                }
            }
            return others;
        };
        result.send = [this](const instance_record& target, const std::string& text) {
            ++message_count;
            if (!deaf.contains(target.instance)) {
                boost::asio::post(context, [this, name = target.instance, text] { deliver(name, text); });
            }
            return true;
        };
        return result;
    }

    void deliver(const std::string& name, const std::string& text)
    {
        const peer_message message = parse_peer_message(text, "test");
        if (const endpoint_end_message* end = std::get_if<endpoint_end_message>(&message)) {
            fleet.at(name)->handle_end(*end, now);
        } else {
            fleet.at(name)->handle_notice(std::get<quarantine_message>(message), now);
        }
    }

    void run_messages()
    {
        context.restart();
        context.run();
    }

    bool is_quarantined(const std::string& name) const
    {
        return fleet.at(name)->find_remaining(deadly, now).has_value();
    }
};

// Guards against a request that ends an endpoint for each instance of the fleet, because none of them sees
// more than one end itself.
TEST(quarantine_exchange, ends_that_two_instances_see_protect_the_whole_fleet)
{
    fleet.at("b")->record_end(deadly, "endpoint-1", "id-1", "/designs/7", now);
    run_messages();
    CHECK_FALSE(is_quarantined("a"));
    fleet.at("c")->record_end(deadly, "endpoint-2", "id-2", "/designs/7", now);
    run_messages();
    for (const char* name : {"a", "b", "c", "d"}) {
        CHECK_TRUE(is_quarantined(name));
    }
}

// Guards against good requests that are rejected fleet-wide after the endpoint that served them has ended:
// many are reported by several instances, and each succeeds elsewhere.
TEST(quarantine_exchange, one_ended_endpoint_or_a_success_since_quarantines_nothing)
{
    for (const char* name : {"b", "c", "d"}) {
        fleet.at(name)->record_end(deadly, "endpoint-1", "id", "/designs/7", now);
    }
    run_messages();
    CHECK_FALSE(is_quarantined("a"));
    // Another instance serves the same request meanwhile, and does not know of the suspicion.
    now += milliseconds(100);
    fleet.at("d")->record_success(deadly, now);
    run_messages();
    now += milliseconds(100);
    fleet.at("b")->record_end(deadly, "endpoint-2", "id", "/designs/7", now);
    run_messages();
    for (const char* name : {"a", "b", "c", "d"}) {
        CHECK_FALSE(is_quarantined(name));
    }
}

// Guards against an instance that goes on sending the request because it has missed the one notice, or has
// started after it.
TEST(quarantine_exchange, an_instance_that_missed_the_notice_is_told_again)
{
    deaf = {"d"};
    fleet.at("b")->record_end(deadly, "endpoint-1", "id-1", "/designs/7", now);
    fleet.at("b")->record_end(deadly, "endpoint-2", "id-1", "/designs/7", now);
    run_messages();
    CHECK_TRUE(is_quarantined("a"));
    CHECK_FALSE(is_quarantined("d"));
    deaf.clear();
    now += seconds(5);
    for (const auto& [name, entry] : fleet) {
        entry->repeat_notices(now);
    }
    run_messages();
    CHECK_TRUE(is_quarantined("d"));
    // Only the coordinator repeats notices, and not each time it is called.
    const int before = message_count;
    fleet.at("a")->repeat_notices(now + seconds(1));
    fleet.at("b")->repeat_notices(now + seconds(100));
    run_messages();
    CHECK_EQUAL(before, message_count);
}

// Guards against a quarantine that one instance lifts and the others keep.
TEST(quarantine_exchange, a_success_lifts_the_quarantine_everywhere)
{
    fleet.at("b")->record_end(deadly, "endpoint-1", "id-1", "/designs/7", now);
    fleet.at("b")->record_end(deadly, "endpoint-2", "id-1", "/designs/7", now);
    run_messages();
    CHECK_TRUE(is_quarantined("d"));
    fleet.at("c")->record_success(deadly, now + milliseconds(1));
    run_messages();
    for (const char* name : {"a", "b", "c", "d"}) {
        CHECK_FALSE(is_quarantined(name));
    }
}

// Guards against an instance that keeps a quarantine because the success was seen by one that knew only of
// the suspicion: the coordinator has put the request into quarantine at the same time.
TEST(quarantine_exchange, a_success_that_crosses_the_notice_lifts_the_quarantine_everywhere)
{
    deaf = {"b"};
    fleet.at("b")->record_end(deadly, "endpoint-1", "id-1", "/designs/7", now);
    fleet.at("c")->record_end(deadly, "endpoint-2", "id-2", "/designs/7", now);
    run_messages();
    CHECK_TRUE(is_quarantined("d"));
    CHECK_FALSE(is_quarantined("b"));
    fleet.at("b")->record_success(deadly, now + milliseconds(1));
    run_messages();
    CHECK_FALSE(is_quarantined("a"));
    CHECK_FALSE(is_quarantined("d"));
}

// Guards against messages to the whole fleet for each request that was under way at an endpoint that has
// ended.
TEST(quarantine_exchange, a_suspicion_is_told_to_the_coordinators_alone)
{
    fleet.at("b")->record_end(deadly, "endpoint-1", "id-1", "/designs/7", now);
    fleet.at("b")->record_success(deadly, now + milliseconds(1));
    run_messages();
    CHECK_EQUAL(2, message_count);
}
