// Tests of the conversion of store records to and from JSON.

#include "store/records.h"

#include "core/findings.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace store;

namespace
{

membership::member example_member()
{
    membership::member value;
    value.id = "entry-1.7";
    value.instance = "entry-1";
    value.availability_zone = "perth-1";
    value.region = "perth";
    value.host = "127.0.0.1";
    value.caller_port = 8001;
    value.peer_port = 8002;
    value.admin_port = 8003;
    value.state = membership::member_state::leaving;
    value.membership_revision_seen = 41;
    value.joined_revision = 40;
    value.joined_round = 3;
    return value;
}

std::string replace(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    CHECK_TRUE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_GROUP(records){// Returns the findings of a parsing function, or "accepted".
                    std::string findings_of(const std::function<void()>& read){try {read();
}
catch (const core::findings_error& error)
{
    return error.found().to_text();
}
return "accepted";
}
}
;

// Guards against fields that are lost or mixed up when a record is written and parsed.
TEST(records, records_are_unchanged_by_a_round_trip)
{
    const membership::member member = member_from_record(to_record(example_member(), {"n", 1}), "m");
    STRCMP_EQUAL("entry-1.7", member.id.c_str());
    LONGS_EQUAL(8002, member.peer_port);
    CHECK_TRUE(member.state == membership::member_state::leaving);
    UNSIGNED_LONGS_EQUAL(41, member.membership_revision_seen);
    UNSIGNED_LONGS_EQUAL(3, member.joined_round);
    UNSIGNED_LONGS_EQUAL(0, member.joined_revision);

    const allowance::ledger_round closed{9, {"a.1", "b.2"}, true, "c.3", "nonce", 12, {{"l", {5, 7, 6}}}};
    const allowance::ledger_round round = round_from_record(to_record(closed, {"n", 2}), "r");
    UNSIGNED_LONGS_EQUAL(9, round.number);
    UNSIGNED_LONGS_EQUAL(2, round.fenced.size());
    STRCMP_EQUAL("nonce", round.close_nonce.c_str());
    CHECK_TRUE(round.remainder[0].value == closed.remainder[0].value);

    const allowance::share_report report =
        report_from_record(to_record(allowance::share_report{"a.1", 9, 12, {{"l", {1, 2, 2}}}}, {}), "s");
    STRCMP_EQUAL("a.1", report.member.c_str());
    LONGS_EQUAL(2, report.holdings[0].value.burst_micro);

    claim owned{"a.1", "n", "q", claim_state::finished, 201, core::wall_time(std::chrono::milliseconds(77))};
    const claim read = claim_from_record(to_record(owned), "c");
    LONGS_EQUAL(201, read.status);
    CHECK_TRUE(read.state == claim_state::finished && read.created == owned.created);
}

// Guards against a malformed, inconsistent or unknown version of a record that is accepted.
TEST(records, invalid_records_are_rejected)
{
    const std::string member = to_record(example_member(), {"n", 1});
    const std::string round =
        to_record(allowance::ledger_round{1, {}, true, "g", "n", 2, {{"l", {1, 1, 1}}}}, {});
    const struct {
        std::string text;
        const char* finding;
    } cases[] = {
        {"", "is not JSON"},
        {"[1]", "must be an object"},
        {replace(member, "\"version\":1", "\"version\":2"), "record.version: must be 1"},
        {replace(member, "\"version\":1", "\"other\":1"), "record.version: must be 1"},
        {replace(member, "8002", "70000"), "record.fellow_port: must be a whole number from 0 to 65535"},
        {replace(member, "8002", "-1"), "record.fellow_port: must be a whole number"},
        {replace(member, "leaving", "gone"), "record.state: must be serving, leaving or suspect"},
        {replace(member, "entry-1.7", "other.7"), "record.id: must be the instance"},
        {replace(member, "\"perth\"", "5"), "record.region: must be a string"},
        {replace(member, "}", ",\"version\":1}"), "is not JSON"},
        {std::string(100'000, '['), "is not JSON"},
    };
    for (const auto& item : cases) {
        const std::string found = findings_of([&] { member_from_record(item.text, "m"); });
        STRCMP_CONTAINS(item.finding, found.c_str());
    }
    const struct {
        std::string text;
        const char* finding;
    } round_cases[] = {
        {replace(round, "\"tokens\":1", "\"tokens\":2"), "remainder[0].tokens: must not exceed the burst"},
        {replace(round, "\"closed\":true", "\"closed\":false"), "must be empty while the round is open"},
        {replace(round, "\"grantee\":\"g\"", "\"grantee\":\"\""), "must have a grantee"},
        {replace(
             round, "[{\"burst\":1,\"limit\":\"l\",\"rate\":1,\"tokens\":1}]",
             "[{\"burst\":1,\"limit\":\"l\",\"rate\":1,\"tokens\":1},{\"burst\":1,\"limit\":\"l\",\"rate\":1,"
             "\"tokens\":1}]"),
         "occurs twice in the list"},
    };
    for (const auto& item : round_cases) {
        const std::string found = findings_of([&] { round_from_record(item.text, "r"); });
        STRCMP_CONTAINS(item.finding, found.c_str());
    }
}

// Guards against a parsing function that stops at the first finding.
TEST(records, all_findings_are_reported)
{
    const std::string found = findings_of([] { report_from_record("{\"version\":3}", "s"); });
    for (const char* member : {"version", "member", "round", "limit_revision", "holdings"}) {
        STRCMP_CONTAINS((std::string("record.") + member).c_str(), found.c_str());
    }
}
