// Tests of instance records, messages between instances and fleet membership.

#include "edge/fleet_membership.h"
#include "edge/peer_message.h"

#include "core/findings.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));

instance_record make_instance(const std::string& name, const std::string& region)
{
    instance_record result;
    result.instance = name;
    result.region = region;
    result.availability_zone = region + "-a";
    result.caller_address = {"127.0.0.1", 8000};
    result.peer_address = {"127.0.0.1", 8001};
    return result;
}

std::string join_names(const std::vector<instance_record>& records)
{
    std::string result;
    for (const instance_record& record : records) {
        result += record.instance + " ";
    }
    return result;
}

} // namespace

TEST_GROUP(instance_records){};

// Guards against accepting a malformed record, or one of another version, as an instance.
TEST(instance_records, records_round_trip_and_malformed_ones_are_rejected)
{
    instance_record record = make_instance("a", "savo");
    record.phase = instance_phase::leaving;
    CHECK(parse_instance_record(to_text(record), "test") == record);
    for (const char* text : {"", "{}", "[]", "{\"version\":1,\"instance\":7}", "no json"}) {
        CHECK_THROWS(core::findings_error, parse_instance_record(text, "test"));
    }
}

// Guards against a malformed datagram that changes the shares of a limit.
TEST(instance_records, messages_between_instances_round_trip_and_malformed_ones_are_rejected)
{
    const demand_report_message report{"a", {7, {{"harbour", 12.3}, {"mill", 0.1}}}};
    const demand_report_message parsed =
        std::get<demand_report_message>(parse_peer_message(to_text(report), "test"));
    CHECK_EQUAL(std::string("a"), parsed.instance);
    CHECK_EQUAL(7U, parsed.report.sequence);
    DOUBLES_EQUAL(12.3, parsed.report.rates.at("harbour"), 1e-9);

    const demand_sums_message sums{"b", 3, {7, 5, {{"mill", 40.5}}}, {"c", "d"}};
    const demand_sums_message answer =
        std::get<demand_sums_message>(parse_peer_message(to_text(sums), "test"));
    CHECK_EQUAL(std::string("b"), answer.instance);
    CHECK_EQUAL(3U, answer.sequence);
    CHECK_EQUAL(7U, answer.sums.acknowledged_sequence);
    CHECK_EQUAL(5U, answer.sums.reporter_count);
    DOUBLES_EQUAL(40.5, answer.sums.rates.at("mill"), 1e-9);
    CHECK(answer.silent == sums.silent);

    const token_request_message request = std::get<token_request_message>(
        parse_peer_message(to_text(token_request_message{"a", 9, "mill"}), "t"));
    CHECK_EQUAL(std::string("mill"), request.workspace);
    CHECK_EQUAL(9U, request.number);
    const token_answer_message token = std::get<token_answer_message>(
        parse_peer_message(to_text(token_answer_message{9, true, milliseconds(40)}), "t"));
    CHECK_EQUAL(9U, token.number);
    CHECK_TRUE(token.is_granted);
    CHECK(token.retry_after == milliseconds(40));
    const endpoint_token_request_message endpoint_request = std::get<endpoint_token_request_message>(
        parse_peer_message(to_text(endpoint_token_request_message{"a", 9, "i-1", 6.25}), "t"));
    CHECK_EQUAL(std::string("a"), endpoint_request.instance);
    CHECK_EQUAL(9U, endpoint_request.number);
    CHECK_EQUAL(std::string("i-1"), endpoint_request.endpoint);
    DOUBLES_EQUAL(6.25, endpoint_request.rate, 1e-9);

    for (const char* text : {"", "{}", "{\"method\":\"other\",\"params\":{}}",
                             "{\"method\":\"demand\",\"params\":{\"instance\":\"a\",\"sequence\":1,\"rates\":"
                             "{\"x\":-5}}}",
                             "{\"method\":\"demand_sums\",\"params\":{\"instance\":\"a\",\"sequence\":1,"
                             "\"acknowledged\":1,\"reporters\":0,\"rates\":{},\"silent\":{}}}"}) {
        CHECK_THROWS(core::findings_error, parse_peer_message(text, "test"));
    }
}

TEST_GROUP(fleet_membership)
{
    fleet_membership membership{{"own", seconds(3), seconds(2)}};
    const instance_record own = make_instance("own", "savo");

    std::string look_up(const std::string& region, core::instant now = start)
    {
        return join_names(membership.look_up(region, own, now));
    }
};

// Guards against clients being directed to another region without need, against a region without instances
// getting an empty answer, and against lookups that return stopping, silent or removed instances.
TEST(fleet_membership, a_lookup_returns_the_usable_instances_of_the_region)
{
    membership.put(make_instance("b", "savo"), start);
    membership.put(make_instance("c", "uusimaa"), start);
    CHECK_EQUAL(std::string("own b "), look_up("savo"));
    CHECK_EQUAL(std::string("c "), look_up("uusimaa"));
    CHECK_EQUAL(std::string("own b c "), look_up("pohjanmaa"));
    membership.record_message_from("b", start);
    CHECK_EQUAL(std::string("own "), look_up("savo", start + seconds(4)));
    instance_record leaving = make_instance("c", "uusimaa");
    leaving.phase = instance_phase::leaving;
    membership.put(leaving, start);
    CHECK_EQUAL(std::string("own b "), look_up("uusimaa"));
    membership.remove("b", start);
    CHECK_EQUAL(std::string("own "), look_up("savo"));
    CHECK_EQUAL(2U, membership.size());
}

// Guards against reports being sent to a failed collector, and against instances choosing different
// collectors.
TEST(fleet_membership, instances_choose_the_same_collectors_and_skip_a_silent_one)
{
    const std::vector<std::string> all{"a", "b", "c", "d", "own"};
    for (const std::string& name : all) {
        membership.put(make_instance(name, "savo"), start);
    }
    const std::vector<instance_record> chosen = membership.collectors(start);
    for (const std::string& name : all) {
        fleet_membership other{{name, seconds(3), seconds(2)}};
        for (const std::string& member : all) {
            other.put(make_instance(member, "savo"), start);
        }
        std::set<std::string> both;
        for (const instance_record& record : other.collectors(start)) {
            both.insert(record.instance);
        }
        for (const instance_record& record : chosen) {
            CHECK_TRUE(record.instance == name || both.contains(record.instance));
        }
    }
    // All instances ask the same collector first for the reserve of a workspace.
    fleet_membership other{{"c", seconds(3), seconds(2)}};
    for (const std::string& member : all) {
        other.put(make_instance(member, "savo"), start);
    }
    for (const char* workspace : {"hat", "cap", "mill"}) {
        const std::optional<instance_record> here = membership.granters(workspace, start).front();
        const std::optional<instance_record> there = other.granters(workspace, start).front();
        CHECK_EQUAL(here ? here->instance : "own", there ? there->instance : "c");
    }
    const std::string first = chosen[0].instance;
    membership.record_message_from(first, start);
    for (const instance_record& record : membership.collectors(start + seconds(4))) {
        CHECK(record.instance != first);
    }
}

// Guards against one instance that grants the tokens of the whole fleet, against instances that ask different
// granters, and against a leaving instance that goes on granting while others have taken over.
TEST(fleet_membership, workspaces_are_spread_over_the_granters)
{
    constexpr int instances = 119;
    constexpr int workspaces = 190;
    fleet_membership other{{"i7", seconds(3), seconds(2)}};
    for (int index = 0; index < instances; ++index) {
        const std::string name = index == 0 ? "own" : "i" + std::to_string(index);
        membership.put(make_instance(name, "savo"), start);
        other.put(make_instance(name, "savo"), start);
    }
    std::map<std::string, int> granted;
    std::string own_workspace;
    for (int index = 0; index < workspaces; ++index) {
        const std::string workspace = "w" + std::to_string(index);
        const std::vector<std::optional<instance_record>> here = membership.granters(workspace, start);
        const std::vector<std::optional<instance_record>> there = other.granters(workspace, start);
        CHECK_EQUAL(2U, here.size());
        CHECK_EQUAL(2U, there.size());
        for (std::size_t position = 0; position < 2; ++position) {
            const std::string name = here[position] ? here[position]->instance : "own";
            CHECK_EQUAL(name, there[position] ? there[position]->instance : "i7");
            ++granted[name];
            own_workspace = name == "own" && position == 0 ? workspace : own_workspace;
        }
    }
    for (const auto& [name, count] : granted) {
        CHECK(count <= 13);
    }
    CHECK_FALSE(own_workspace.empty());
    instance_record leaving = make_instance("own", "savo");
    leaving.phase = instance_phase::leaving;
    membership.put(leaving, start);
    for (const std::optional<instance_record>& granter : membership.granters(own_workspace, start)) {
        CHECK_TRUE(granter.has_value());
    }
}

// Guards against instances that ask different granters for the tokens of an endpoint, each of which would
// grant the whole rate: after a network partition some instances take others for silent longer than the rest.
TEST(fleet_membership, an_endpoint_has_one_granter)
{
    fleet_membership other{{"b", seconds(3), seconds(2)}};
    for (const char* name : {"own", "b", "c"}) {
        membership.put(make_instance(name, "savo"), start);
        other.put(make_instance(name, "savo"), start);
    }
    for (const char* collector : {"own", "b", "c"}) {
        other.record_silence_report(collector, {"own"}, start);
    }
    for (int index = 0; index < 20; ++index) {
        const std::string endpoint = std::to_string(index);
        const designated_instance here = membership.find_endpoint_granter(endpoint);
        const designated_instance there = other.find_endpoint_granter(endpoint);
        CHECK(here.is_own != here.other.has_value());
        CHECK_EQUAL(here.is_own ? "own" : here.other->instance, there.is_own ? "b" : there.other->instance);
    }
}

// Guards against instances of a region that ask different relays, against a relay in a region that is too
// small for one, and against a relay that has fallen silent.
TEST(fleet_membership, a_region_has_one_relay)
{
    const std::vector<std::string> all{"a", "b", "c", "d", "own"};
    for (const std::string& name : all) {
        membership.put(make_instance(name, "savo"), start);
    }
    for (const char* name : {"e", "f", "g"}) {
        membership.put(make_instance(name, "uusimaa"), start);
    }
    const designated_instance here = membership.find_relay("savo", start);
    const std::string relay = here.is_own ? "own" : here.other->instance;
    for (const std::string& name : all) {
        fleet_membership other{{name, seconds(3), seconds(2)}};
        for (const std::string& member : all) {
            other.put(make_instance(member, "savo"), start);
        }
        const designated_instance there = other.find_relay("savo", start);
        CHECK_EQUAL(name == relay, there.is_own);
        CHECK_TRUE(there.is_own || there.other->instance == relay);
    }
    const designated_instance none = membership.find_relay("uusimaa", start);
    CHECK_FALSE(none.is_own);
    CHECK_FALSE(none.other.has_value());
    if (!here.is_own) {
        membership.record_silence_report("e", {relay}, start);
        const designated_instance next = membership.find_relay("savo", start);
        CHECK_TRUE(next.is_own || next.other->instance != relay);
    }
}

// Guards against lookups that return an instance from which no collector receives messages, and against
// excluding an instance because a single network path failed.
TEST(fleet_membership, an_instance_reported_silent_by_all_collectors_is_left_out_of_lookups)
{
    for (const char* name : {"b", "c", "d"}) {
        membership.put(make_instance(name, "savo"), start);
    }
    membership.record_silence_report("c", {"b"}, start);
    CHECK_EQUAL(std::string("own c d "), look_up("savo"));
    membership.record_silence_report("d", {}, start);
    CHECK_EQUAL(std::string("own b c d "), look_up("savo"));
    membership.record_silence_report("d", {"b"}, start);
    CHECK_EQUAL(std::string("own c d "), look_up("savo"));
    CHECK_EQUAL(std::string("own b c d "), look_up("savo", start + seconds(2)));
}

// Guards against shares of a limit that grow because an outage of the store made the records of running
// instances expire.
TEST(fleet_membership, instances_whose_records_expired_count_until_the_grace_period_is_over)
{
    membership.put(make_instance("b", "savo"), start);
    membership.put(make_instance("c", "savo"), start);
    membership.begin_removal_grace_period(start);
    membership.remove("b", start);
    membership.remove("c", start);
    CHECK_EQUAL(3U, membership.view().size);
    CHECK_FALSE(membership.remove_missing(start + seconds(1)));
    membership.put(make_instance("b", "savo"), start + seconds(1));
    CHECK_TRUE(membership.remove_missing(start + seconds(2)));
    CHECK_EQUAL(2U, membership.view().size);
}
