// Tests the JSON encoding and the validation of the messages between instances.

#include "peer_rpc/message_codec.h"

#include "codec/record_parts.h"
#include "core/findings.h"
#include "message_examples.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace peer_rpc;

// clang-format off
// The formatter lays out a group that begins with a template like an initializer list.
TEST_GROUP(message_codec)
{
    // Returns the findings of the decoder, or "accepted".
    template <typename Message>
    std::string findings_of(const Json::Value& value)
    {
        try {
            from_json<Message>(value);
        } catch (const core::findings_error& error) {
            return error.found().to_text();
        }
        return "accepted";
    }

    // Encodes the message, decodes it and encodes it again: both texts must be equal.
    template <typename Message>
    void check_round_trip(const Message& message)
    {
        const Json::Value written = to_json(message);
        STRCMP_EQUAL(codec::to_compact_text(written).c_str(),
                     codec::to_compact_text(to_json(from_json<Message>(written))).c_str());
    }

    // Removes each member and gives it values of wrong types, one at a time: the finding must name the
    // member.
    template <typename Message>
    void check_each_member(const Message& message)
    {
        const Json::Value written = to_json(message);
        for (const std::string& member : written.getMemberNames()) {
            Json::Value missing = written;
            missing.removeMember(member);
            STRCMP_CONTAINS(("message." + member).c_str(), findings_of<Message>(missing).c_str());
            for (const Json::Value& wrong : {Json::Value(-1), Json::Value(1.5), Json::Value()}) {
                Json::Value mistyped = written;
                mistyped[member] = wrong;
                STRCMP_CONTAINS(("message." + member).c_str(), findings_of<Message>(mistyped).c_str());
            }
        }
        Json::Value newer = written;
        newer["version"] = 2;
        STRCMP_CONTAINS("message.version: must be 1", findings_of<Message>(newer).c_str());
        STRCMP_CONTAINS("must be an object", findings_of<Message>(Json::Value(1)).c_str());
    }

    template <typename Message>
    void check_round_trip_and_members(const Message& message)
    {
        check_round_trip(message);
        check_each_member(message);
    }
};
// clang-format on

// Guards against a member that is lost, confused with another, or accepted with a wrong type, for every
// message.
TEST(message_codec, every_message_round_trips_and_every_member_is_validated)
{
    check_round_trip_and_members(example_heartbeat("a.1", 3));
    check_round_trip_and_members(heartbeat_reply{example_heartbeat("b.2", 2), true});
    check_round_trip_and_members(configuration_request{12});
    check_round_trip_and_members(configuration_reply{12, "{\"a\":\"\\n\"}"});
    check_round_trip_and_members(example_share_request("a.1"));
    check_round_trip_and_members(allowance::share_grant{
        {"a.1", 7}, allowance::grant_status::granted, 2, 5, {{"workspace/a", {1, 2, 1}}}});
    check_round_trip_and_members(
        allowance::share_grant{{"a.1", 7}, allowance::grant_status::wrong_round, 2, 5, {}});
    check_round_trip_and_members(allowance::grant_acknowledgement{{"a.1", 7}, true});
    check_round_trip_and_members(example_offer("a.1"));
}

// Guards against a decoder and an encoder that are wrong in the same way, so that the texts agree although
// the decoded values differ.
TEST(message_codec, decoding_restores_the_values)
{
    const heartbeat message = from_json<heartbeat>(to_json(example_heartbeat("a.1")));
    STRCMP_EQUAL("a.1", message.sender.id.c_str());
    UNSIGNED_LONGS_EQUAL(17, message.sender.joined_revision);
    CHECK_TRUE(message.is_confirmed_by_store);
    CHECK_TRUE(message.is_complete);
    LONGS_EQUAL(48'123'456, message.demands[0].holding.tokens_micro);
    LONGS_EQUAL(12'500'000, message.demands[0].demand_micro);
    const allowance::share_request request =
        from_json<allowance::share_request>(to_json(example_share_request("a.1")));
    CHECK_TRUE(request.is_urgent);
    CHECK_TRUE((request.id == allowance::transfer_id{"a.1", 7}));
    STRCMP_EQUAL("slots/b", request.wanted[1].limit_name.c_str());
}

// Guards against amounts that would add tokens that no instance gave up, and against lists of unlimited size.
TEST(message_codec, invalid_amounts_and_oversized_lists_are_rejected)
{
    const Json::Value offer = to_json(example_offer("a.1"));
    const struct {
        const char* member;
        Json::Value value;
        const char* finding;
    } cases[] = {
        {"tokens", 3, "message.offered[0].tokens: must not exceed the burst"},
        {"tokens", -1, "message.offered[0].tokens: must be a whole number"},
        {"rate", -1, "message.offered[0].rate: must be a whole number"},
        {"burst", Json::UInt64(1) << 63U, "message.offered[0].burst: must be a whole number"},
        {"limit", 5, "message.offered[0].limit: must be a string"},
    };
    for (const auto& item : cases) {
        Json::Value altered = offer;
        altered["offered"][0][item.member] = item.value;
        STRCMP_CONTAINS(item.finding, findings_of<allowance::share_offer>(altered).c_str());
    }
    Json::Value doubled = offer;
    doubled["offered"].append(offer["offered"][0]);
    STRCMP_CONTAINS("message.offered[1].limit: occurs twice in the list",
                    findings_of<allowance::share_offer>(doubled).c_str());
    const Json::Value longest = to_json(example_heartbeat("a.1", codec::max_limits));
    STRCMP_EQUAL("accepted", findings_of<heartbeat>(longest).c_str());
    const Json::Value longer = to_json(example_heartbeat("a.1", codec::max_limits + 1));
    STRCMP_CONTAINS("message.demands: must have at most", findings_of<heartbeat>(longer).c_str());
}

// Guards against applying the amounts of a grant whose status says that nothing was granted.
TEST(message_codec, amounts_in_a_refused_grant_are_rejected)
{
    Json::Value grant = to_json(allowance::share_grant{
        {"a.1", 7}, allowance::grant_status::granted, 2, 5, {{"workspace/a", {1, 2, 1}}}});
    grant["status"] = "wrong-round";
    STRCMP_CONTAINS("must be empty unless", findings_of<allowance::share_grant>(grant).c_str());
    grant["status"] = "refused";
    STRCMP_CONTAINS("message.status: must be", findings_of<allowance::share_grant>(grant).c_str());
}
