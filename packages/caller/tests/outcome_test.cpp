// Checks the outcome table over real connections: an upstream fails at each step of a request, and the number
// of executions, the status and the reported outcome are compared with the expected ones.

#include "packages/caller/tests/proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;
using dispatch::outcome;

namespace
{

struct outcome_case {
    const char* name;
    // Steps of the first upstream. The second one always sends a complete response.
    std::deque<upstream_step> script;
    const char* method;
    // Expected status; 0 if the connection must end without a complete response.
    int status;
    outcome result;
    std::uint32_t executions;
    std::uint32_t attempts;
};

const std::vector<outcome_case>& outcome_cases()
{
    using enum upstream_step;
    static const std::vector<outcome_case> table{
        {"answer, idempotent", {answer}, "GET", 200, outcome::ran, 1, 1},
        {"answer, not idempotent", {answer}, "POST", 200, outcome::ran, 1, 1},
        {"shed, idempotent", {shed}, "GET", 200, outcome::ran, 1, 2},
        {"shed, not idempotent", {shed}, "POST", 200, outcome::ran, 1, 2},
        {"reset after the header, idempotent", {reset_after_header}, "GET", 200, outcome::ran, 1, 2},
        {"reset after the header, not idempotent", {reset_after_header}, "POST", 502, outcome::unknown, 0, 1},
        {"reset after running, idempotent", {reset_after_running}, "GET", 200, outcome::ran, 2, 2},
        {"reset after running, not idempotent", {reset_after_running}, "POST", 502, outcome::unknown, 1, 1},
        {"no answer, not idempotent", {hang}, "POST", 504, outcome::unknown, 1, 1},
        {"no answer, idempotent", {hang}, "GET", 504, outcome::unknown, 1, 1},
        {"cut body, idempotent", {reset_within_body}, "GET", 0, outcome::ran, 1, 1},
        {"cut body, not idempotent", {reset_within_body}, "POST", 0, outcome::ran, 1, 1},
        {"cut chunked body", {reset_within_chunked_body}, "GET", 0, outcome::ran, 1, 1},
        {"malformed response", {malformed_response}, "POST", 502, outcome::unknown, 1, 1},
        {"ambiguous response", {ambiguous_response}, "GET", 502, outcome::unknown, 1, 1},
        {"interim response", {answer_after_interim}, "POST", 200, outcome::ran, 1, 1},
    };
    return table;
}

} // namespace

TEST_GROUP(outcome_table)
{
    proxy_fixture fixture;
};

// Guards against a request path that does not follow the outcome table: a request that runs twice, a missing
// retry, or a wrong outcome in the response or the record.
TEST(outcome_table, failure_at_each_step_gives_the_expected_outcome)
{
    fixture.options.default_deadline = std::chrono::milliseconds(300);
    fixture.start();
    std::uint32_t executions = 0;
    std::size_t finished = 0;
    for (const outcome_case& expected : outcome_cases()) {
        fixture.first->set_script(expected.script);
        const std::string body = std::string(expected.method) == "POST" ? "deposit" : "";
        const std::string response = fixture.exchange(make_request(expected.method, "/orders", body));
        const std::vector<finished_request> records = fixture.wait_for_finished(++finished);
        LONGS_EQUAL(finished, records.size());
        const finished_request& record = records.back();
        const std::uint32_t total = fixture.first->executions() + fixture.second->executions();
        LONGS_EQUAL_TEXT(expected.executions, total - executions, expected.name);
        LONGS_EQUAL_TEXT(expected.attempts, record.attempts, expected.name);
        CHECK_TEXT(expected.result == record.outcome, expected.name);
        CHECK_EQUAL_TEXT(expected.status != 0, is_complete_response(response), expected.name);
        if (expected.status != 0) {
            LONGS_EQUAL_TEXT(expected.status, parse_status(response), expected.name);
        }
        if (expected.status >= 500) {
            CHECK_TEXT(contains(response, "Quetzal-Outcome: unknown"), expected.name);
            CHECK_TEXT(contains(response, "Quetzal-Reason: "), expected.name);
        }
        LONGS_EQUAL_TEXT(0, fixture.open_leases.load(), expected.name);
        executions = total;
    }
}

// Guards against reporting not-run when the first attempt may have run the request and only the later ones
// certainly did not.
TEST(outcome_table, later_refusal_does_not_hide_an_earlier_unknown_outcome)
{
    fixture.first->set_script({upstream_step::reset_after_running, upstream_step::shed});
    fixture.second->set_script({upstream_step::shed});
    fixture.start();
    const std::string response = fixture.exchange(make_request("GET", "/orders"));
    LONGS_EQUAL(502, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: unknown"));
    CHECK(contains(response, "Quetzal-Reason: response-lost"));
    LONGS_EQUAL(1, fixture.first->executions());
    LONGS_EQUAL(3, fixture.wait_for_finished(1).front().attempts);
}

// Guards against reporting an unknown outcome for refused connections, and against more than two retries.
TEST(outcome_table, refused_connections_are_not_run)
{
    fixture.start();
    const std::uint16_t port = fixture.first->port();
    fixture.first->stop();
    fixture.second->stop();
    proxy_fixture::wait_until([&] {
        try {
            raw_caller attempt(port);
            return false;
        } catch (const boost::system::system_error&) {
            return true;
        }
    });
    const std::string response = fixture.exchange(make_request("POST", "/orders", "deposit"));
    LONGS_EQUAL(502, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: not-run"));
    CHECK(contains(response, "Quetzal-Reason: connect-failed"));
    LONGS_EQUAL(3, fixture.wait_for_finished(1).front().attempts);
}

// Guards against retries that multiply the load when all endpoints fail.
TEST(outcome_table, retries_stop_when_the_budget_is_spent)
{
    fixture.options.retry_budget = {0.1, 1, 1};
    fixture.first->set_script({upstream_step::shed});
    fixture.second->set_script({upstream_step::shed});
    fixture.start();
    std::uint32_t attempts = 0;
    constexpr std::size_t requests = 30;
    for (std::size_t index = 0; index < requests; ++index) {
        const std::string response = fixture.exchange(make_request("POST", "/orders", "deposit"));
        LONGS_EQUAL(503, parse_status(response));
        CHECK(contains(response, "Quetzal-Outcome: not-run"));
    }
    for (const finished_request& record : fixture.wait_for_finished(requests)) {
        attempts += record.attempts;
    }
    // The budget allows one retry initially and one for every ten requests.
    CHECK(attempts > requests);
    CHECK(attempts <= requests + 1 + requests / 10);
    LONGS_EQUAL(0, fixture.first->executions() + fixture.second->executions());
}

// Guards against reusing an upstream connection whose response was truncated, late or followed by bytes that
// belong to no request. The next caller would receive a response that is not its own.
TEST(outcome_table, connections_in_unknown_state_are_not_reused)
{
    using enum upstream_step;
    fixture.options.default_deadline = std::chrono::milliseconds(300);
    fixture.start();
    std::uint32_t accepted = 0;
    for (const upstream_step step : {hang, reset_within_body, answer_with_excess, answer_and_close,
                                     malformed_response, ambiguous_response}) {
        fixture.first->set_script({step, answer});
        fixture.exchange(make_request("POST", "/first", "deposit"));
        const std::string response = fixture.exchange(make_request("POST", "/second", "deposit"));
        CHECK(contains(response, "\r\n\r\nPOST /second deposit"));
        accepted += 2;
        LONGS_EQUAL(accepted, fixture.wait_for_finished(accepted).size());
        LONGS_EQUAL(accepted, fixture.first->accepted());
        // Closes the intact connection of the second request, so that each step begins with a new one.
        fixture.pool->close_expired(core::instant::max());
    }
}

// Guards against opening a new upstream connection for each request.
TEST(outcome_table, intact_connections_are_reused)
{
    using enum upstream_step;
    fixture.start();
    fixture.first->set_script({answer, answer_chunked, answer_after_interim, shed, answer});
    raw_caller caller(fixture.server->port());
    for (int index = 0; index < 10; ++index) {
        caller.send(make_request("POST", "/orders", "deposit"));
        LONGS_EQUAL(200, parse_status(caller.receive_response()));
    }
    LONGS_EQUAL(1, fixture.first->accepted());
    // Only the retry of the shed request went to the second upstream.
    LONGS_EQUAL(1, fixture.second->accepted());
}

// Guards against an upstream request that continues after the caller has disconnected.
TEST(outcome_table, caller_disconnect_cancels_the_upstream_request)
{
    fixture.first->set_script({upstream_step::hang});
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_request("POST", "/orders", "deposit"));
    proxy_fixture::wait_until([&] { return fixture.first->executions() == 1; });
    caller.close();
    const std::vector<finished_request> records = fixture.wait_for_finished(1);
    LONGS_EQUAL(1, records.size());
    CHECK(records.front().failure == dispatch::failure::caller_disconnected);
    CHECK(records.front().outcome == outcome::unknown);
    proxy_fixture::wait_until([&] { return fixture.first->cancelled() == 1; });
    LONGS_EQUAL(1, fixture.first->cancelled());
    LONGS_EQUAL(0, fixture.second->executions());
}

// Guards against work for callers that have left: an overloaded instance reads requests seconds after they
// arrived, and sent them to endpoints although their callers had already closed the connection.
TEST(outcome_table, a_request_whose_caller_has_left_is_not_sent)
{
    std::atomic<bool> has_left{true};
    const std::function<caller::admission_result(const caller::request_summary&, core::instant)> route =
        fixture.hooks.route_request;
    fixture.hooks.route_request = [&](const caller::request_summary& request, core::instant now) {
        // Stands for the time in which an overloaded instance does other work.
        proxy_fixture::wait_until([&] { return has_left.load(); });
        return route(request, now);
    };
    fixture.start();
    // Leaves a pooled connection, so that the next request could be sent without any wait.
    fixture.exchange(make_request("GET", "/orders"));
    has_left = false;
    raw_caller caller(fixture.server->port());
    caller.send(make_request("GET", "/orders"));
    caller.close();
    has_left = true;
    const std::vector<finished_request> records = fixture.wait_for_finished(2);
    LONGS_EQUAL(2, records.size());
    CHECK(records.back().failure == dispatch::failure::caller_disconnected);
    CHECK(records.back().outcome == outcome::not_run);
    LONGS_EQUAL(1, fixture.first->executions() + fixture.second->executions());
}

// Guards against sending a request to an upstream although, while it waited, its key was revoked or the
// instance lost the authority to decide about requests.
TEST(outcome_table, failed_recheck_prevents_sending)
{
    fixture.hooks.recheck_authorization = [](const caller::request_summary&, const caller::admission&,
                                             core::instant) {
        return std::optional<caller::rejection>(caller::rejection{dispatch::failure::no_authority});
    };
    fixture.start();
    const std::string response = fixture.exchange(make_request("POST", "/orders", "deposit"));
    LONGS_EQUAL(503, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: not-run"));
    LONGS_EQUAL(0, fixture.first->executions());
    STRCMP_EQUAL("", fixture.first->last_header().c_str());
}
