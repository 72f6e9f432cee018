// Tests of the header rules, the key field, the outcome table, the retry decision and the retry budget.

#include "dispatch/header_rules.h"
#include "dispatch/retry_policy.h"
#include "dispatch/workspace_key.h"

#include <limits>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using boost::beast::http::fields;
using dispatch::failure;

TEST_GROUP(header_rules){};

// Guards against framing that one parser accepts and another program reads differently. The cases here are
// specific to responses; those of requests are sent to the server as bytes by the tests of the caller
// package.
TEST(header_rules, response_framing_is_checked)
{
    using dispatch::check_header_block;
    const std::string begin = "HTTP/1.1 200 OK\r\n";
    CHECK_FALSE(check_header_block(begin + "\r\n", dispatch::message_kind::response).has_value());
    CHECK(check_header_block(begin + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
                             dispatch::message_kind::response) == failure::ambiguous_framing);
    CHECK(check_header_block("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                             dispatch::message_kind::response) == failure::ambiguous_framing);
    CHECK(check_header_block(begin + "X\r\n\r\n", dispatch::message_kind::response) ==
          failure::malformed_header);
}

// Guards against forwarding a field that Connection names, and against a caller that removes Host or a
// framing field by naming it in Connection.
TEST(header_rules, fields_named_in_connection_are_removed)
{
    fields header;
    header.insert("Host", "quay");
    header.insert("Connection", "close, X-A,host");
    header.insert("connection", " x-b , , Connection");
    header.insert("X-A", "1");
    header.insert("x-B", "2");
    header.insert("X-C", "3");
    header.insert("Quetzal-Key", "secret");
    header.insert("qUETZAL-anything", "forged");
    dispatch::prepare_upstream_request(header, "id-1", std::chrono::milliseconds(250));
    LONGS_EQUAL(0, header.count("X-A") + header.count("X-B") + header.count("Connection"));
    LONGS_EQUAL(0, header.count("Quetzal-Key") + header.count("Quetzal-Anything"));
    CHECK(header["X-C"] == "3");
    CHECK(header["Host"] == "quay");
    CHECK(header["Quetzal-Request-Id"] == "id-1");
    CHECK(header["Quetzal-Deadline-Ms"] == "250");
}

// Guards against a wait that a malformed or extreme value makes negative, endless or undefined, and against a
// wait that is taken from a response that does not turn the request away.
TEST(header_rules, the_wait_of_an_upstream_is_read_from_valid_values_only)
{
    dispatch::message_profile profile;
    profile.has_upstream_retry_after = true;
    struct wait_case {
        const char* value;
        std::optional<core::duration> wait;
    };
    const std::vector<wait_case> cases{
        {"2", std::chrono::seconds(2)},
        {"0.25", std::chrono::milliseconds(250)},
        {" 1.5 ", std::chrono::milliseconds(1500)},
        {"0", std::nullopt},
        {"0.0", std::nullopt},
        {"-3", std::nullopt},
        {"", std::nullopt},
        {"soon", std::nullopt},
        {"1s", std::nullopt},
        {"nan", std::nullopt},
        {"-inf", std::nullopt},
        {"1e3", std::nullopt},
        {"Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt},
        {"3600", dispatch::max_upstream_wait},
        {"99999999999999999999999999", dispatch::max_upstream_wait},
    };
    for (const wait_case& expected : cases) {
        fields header;
        header.insert("Retry-After", expected.value);
        CHECK(dispatch::find_upstream_wait(503, header, profile) == expected.wait);
        CHECK_FALSE(dispatch::find_upstream_wait(429, header, profile).has_value());
        CHECK_FALSE(dispatch::find_upstream_wait(503, header).has_value());
    }
    fields twice;
    twice.insert("Retry-After", "1");
    twice.insert("Retry-After", "2");
    CHECK_FALSE(dispatch::find_upstream_wait(503, twice, profile).has_value());
    CHECK_FALSE(dispatch::find_upstream_wait(503, fields(), profile).has_value());
}

// Guards against an upstream that says it is leaving and is not heard, and against passing this on to
// callers.
TEST(header_rules, an_upstream_says_in_a_response_that_it_is_leaving)
{
    dispatch::message_profile profile;
    profile.leaving_field = "Upstream-Leaving";
    fields header;
    CHECK_FALSE(dispatch::is_drain_response(200, header, profile));
    header.insert("Upstream-Leaving", "0");
    CHECK_FALSE(dispatch::is_drain_response(200, header, profile));
    header.set("Upstream-Leaving", "1");
    CHECK_TRUE(dispatch::is_drain_response(200, header, profile));
    CHECK_FALSE(dispatch::is_drain_response(200, header));
    dispatch::prepare_caller_response(header, "id", profile);
    LONGS_EQUAL(0, header.count("Upstream-Leaving"));
}

// Guards against an upstream that names the rate that it takes and is not heard, against a malformed one that
// is taken for a limit or for its end, and against passing it on to callers.
TEST(header_rules, an_upstream_names_the_rate_that_it_takes)
{
    dispatch::message_profile profile;
    profile.rate_limit_field = "Upstream-Limit";
    const double no_limit = std::numeric_limits<double>::infinity();
    struct limit_case {
        const char* value;
        std::optional<double> rate;
    };
    const std::vector<limit_case> cases{
        {"6.2", 6.2},          {" 12 ", 12.0},        {"0", 0.0},
        {"-1", std::nullopt},  {"", std::nullopt},    {"few", std::nullopt},
        {"1e3", std::nullopt}, {"nan", std::nullopt}, {"6.2/s", std::nullopt},
    };
    for (const limit_case& expected : cases) {
        fields header;
        header.insert("Upstream-Limit", expected.value);
        CHECK_TEXT(dispatch::find_upstream_rate_limit(header, profile) == expected.rate, expected.value);
        CHECK(dispatch::find_upstream_rate_limit(header) == no_limit);
    }
    fields header;
    CHECK(dispatch::find_upstream_rate_limit(header, profile) == no_limit);
    header.insert("Upstream-Limit", "1");
    header.insert("Upstream-Limit", "2");
    CHECK_FALSE(dispatch::find_upstream_rate_limit(header, profile).has_value());
    dispatch::prepare_caller_response(header, "id", profile);
    LONGS_EQUAL(0, header.count("Upstream-Limit"));
}

// Guards against an upstream that sets control fields of quetzalspan in its response, and against the loss of
// Content-Length when the upstream names it in Connection.
TEST(header_rules, control_fields_are_removed_from_responses)
{
    fields header;
    header.insert("Connection", "Content-Length");
    header.insert("Content-Length", "5");
    header.insert("Quetzal-Outcome", "not-run");
    header.insert("Set-Cookie", "a");
    header.insert("Set-Cookie", "b");
    CHECK(dispatch::is_shed_response(503, header));
    CHECK_FALSE(dispatch::is_shed_response(200, header));
    CHECK_FALSE(dispatch::is_drain_response(503, header));
    dispatch::prepare_caller_response(header, "id-1");
    CHECK(header["Content-Length"] == "5");
    LONGS_EQUAL(0, header.count("Quetzal-Outcome"));
    LONGS_EQUAL(2, header.count("Set-Cookie"));
}

// Guards against a success response without its signature, because the upstream names the signature field in
// Connection.
TEST(header_rules, a_signature_named_in_connection_is_relayed)
{
    dispatch::message_profile profile;
    profile.signature_field = "Upstream-Signature";
    fields header;
    header.insert("Connection", "upstream-signature, X-A");
    header.insert("Upstream-Signature", "s");
    header.insert("X-A", "1");
    dispatch::prepare_caller_response(header, "id-1", profile);
    CHECK(header["Upstream-Signature"] == "s");
    LONGS_EQUAL(0, header.count("X-A"));
}

// Guards against deadlines beyond the limit: fencing waits rely on no request running longer than the limit.
TEST(header_rules, deadlines_are_clamped_to_the_limit)
{
    struct deadline_case {
        const char* text;
        std::int64_t milliseconds;
    };
    const std::vector<deadline_case> cases{{"250", 250},
                                           {"0", -1},
                                           {"-5", -1},
                                           {"1e3", -1},
                                           {"", -1},
                                           {"40000", 30'000},
                                           {"99999999999999999999999", 30'000}};
    for (const deadline_case& expected : cases) {
        fields header;
        header.insert("Quetzal-Deadline-Ms", expected.text);
        const std::optional<core::duration> parsed =
            dispatch::parse_deadline(header, std::chrono::seconds(10), std::chrono::seconds(30));
        LONGS_EQUAL_TEXT(expected.milliseconds, parsed ? core::to_milliseconds(*parsed) : -1, expected.text);
    }
    const std::optional<core::duration> absent =
        dispatch::parse_deadline(fields(), std::chrono::seconds(10), std::chrono::seconds(3));
    LONGS_EQUAL(3000, core::to_milliseconds(*absent));
}

// Guards against targets that an upstream resolves to a path outside the route that admitted the request.
TEST(header_rules, targets_with_dot_segments_are_rejected)
{
    for (const char* target :
         {"/a/..", "/..", "/a/./b", "/a/%2e%2e/b", "/a%2f..%2Fb", "/a\\..\\b", "*", "", "http://a/", "a/b",
          "/%5c..%5c", "//a", "/a//b", "/%61", "/a/%7Eb", "/%zz", "/%2"}) {
        CHECK_TEXT(dispatch::check_target(target) == failure::malformed_target, target);
    }
    for (const char* target : {"/", "/a.b/..c/.d?x=/../", "/a%20b/%3F", "/a/...", "/a?b=//%61"}) {
        CHECK_FALSE_TEXT(dispatch::check_target(target).has_value(), target);
    }
}

// Guards against a second key field that one program checks and another ignores.
TEST(header_rules, exactly_one_key_is_accepted)
{
    fields header;
    CHECK(dispatch::workspace_key::create(header).fault() == failure::key_missing);
    header.insert("quetzal-key", "abc");
    const dispatch::workspace_key key = dispatch::workspace_key::create(header);
    CHECK_FALSE(key.fault().has_value());
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", key.digest().c_str());
    header.insert("Quetzal-Key", "abc");
    CHECK(dispatch::workspace_key::create(header).fault() == failure::key_duplicated);
    header.erase("Quetzal-Key");
    header.insert("Quetzal-Key", "");
    CHECK(dispatch::workspace_key::create(header).fault() == failure::key_malformed);
    header.set("Quetzal-Key", std::string(dispatch::max_key_bytes + 1, 'k'));
    CHECK(dispatch::workspace_key::create(header).fault() == failure::key_malformed);
}

TEST_GROUP(retry_rules)
{
    dispatch::retry_options options;
    dispatch::attempt_state state{1, true, true, core::instant(std::chrono::seconds(1))};

    bool decide(failure at, core::instant now = core::instant())
    {
        dispatch::retry_budget budget({});
        return dispatch::decide_retry(options, state, at, now, budget);
    }
};

// Guards against a retry that could run a request twice, is made too close to the deadline, or multiplies the
// load.
TEST(retry_rules, retries_follow_the_outcome_table_and_limits)
{
    CHECK(decide(failure::response_lost));
    CHECK(decide(failure::connect_failed));
    CHECK_FALSE(decide(failure::body_truncated));
    CHECK_FALSE(decide(failure::connect_failed, core::instant(std::chrono::milliseconds(996))));
    state.attempts = 3;
    CHECK_FALSE(decide(failure::connect_failed));
    state.attempts = 2;
    state.is_idempotent = false;
    CHECK_FALSE(decide(failure::response_lost));
    CHECK(decide(failure::upstream_shed));
    state.is_body_replayable = false;
    CHECK_FALSE(decide(failure::upstream_shed));
    state.is_body_replayable = true;
    dispatch::retry_budget spent({0.1, 0, 5});
    CHECK_FALSE(dispatch::decide_retry(options, state, failure::upstream_shed, core::instant(), spent));
}

// Guards against more retries than the configured fraction of the requests, and against a budget without a
// maximum.
TEST(retry_rules, budget_is_a_fraction_of_the_requests)
{
    dispatch::retry_budget budget({0.1, 0, 5});
    CHECK_FALSE(budget.try_spend());
    unsigned spent = 0;
    for (int index = 0; index < 1000; ++index) {
        budget.record_request();
        spent += budget.try_spend() ? 1 : 0;
    }
    LONGS_EQUAL(100, spent);
    for (int index = 0; index < 1000; ++index) {
        budget.record_request();
    }
    DOUBLES_EQUAL(5, budget.available(), 1e-9);
}
