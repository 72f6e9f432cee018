// Tests responses that are received and checked completely before any part is relayed, and retries that a
// hook decides.

#include "packages/caller/tests/proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;

namespace
{

constexpr std::uint32_t attempt_limit = 2;

} // namespace

TEST_GROUP(checked_response)
{
    proxy_fixture proxy;
    bool is_repeatable = true;
    std::atomic<std::uint32_t> max_sent_attempts{0};

    void start()
    {
        proxy.options.response_buffer_bytes = 4096;
        proxy.require_signature();
        proxy.options.profile.expected_endpoint_field = "X-Expected";
        proxy.options.profile.workspace_field = "X-Workspace";
        proxy.options.profile.does_503_mean_not_run = true;
        proxy.hooks.route_request = [this](const caller::request_summary&,
                                           core::instant) -> caller::admission_result {
            caller::admission admitted;
            admitted.workspace = "harbour";
            admitted.is_repeatable = is_repeatable;
            admitted.max_attempts = attempt_limit;
            return admitted;
        };
        proxy.hooks.grant_retry = [this](const caller::request_summary&, const caller::admission& admitted,
                                         const dispatch::attempt_state& state, dispatch::failure at,
                                         core::instant) {
            max_sent_attempts = std::max(max_sent_attempts.load(), state.sent_attempts);
            return dispatch::allows_retry(at, state.is_idempotent) &&
                   state.sent_attempts < admitted.max_attempts;
        };
        proxy.start();
    }

    std::string exchange(const std::string& method = "GET")
    {
        return proxy.exchange(make_request(method, "/a", method == "GET" ? "" : "x",
                                           "Quetzal-Request-Id: own\r\nX-Workspace: forged\r\n"));
    }

    // Sends a request that may run once. The upstream refuses its first attempt with the step and runs the
    // second one, which goes to the same address. Returns the status of the response.
    int exchange_after_refusal(upstream_step refusal)
    {
        is_repeatable = false;
        proxy.hooks.acquire_endpoint =
            [this](const caller::request_summary&, const caller::admission&,
                   const std::vector<std::string>& tried,
                   caller::wait_context&) -> boost::asio::awaitable<caller::lease_result> {
            ++proxy.open_leases;
            // The entry of an endpoint that is gone has the address of a live one.
            co_return caller::endpoint_lease::create(
                tried.empty() ? "gone" : "live", "127.0.0.1", proxy.first->port(),
                [this](const caller::attempt_result&) { --proxy.open_leases; });
        };
        proxy.first->set_script({refusal, upstream_step::answer_signed});
        start();
        return parse_status(exchange("POST"));
    }

    std::uint32_t executions() const
    {
        return proxy.first->executions() + proxy.second->executions();
    }
};

// Guards against a retry decision after a server error that does not count the attempt just sent: the request
// then runs on one endpoint more than its limit allows.
TEST(checked_response, a_server_error_counts_as_a_send)
{
    proxy.first->set_script({upstream_step::server_error});
    proxy.second->set_script({upstream_step::server_error});
    start();
    const std::string response = exchange();
    CHECK_EQUAL(500, parse_status(response));
    CHECK_EQUAL(attempt_limit, executions());
    CHECK_EQUAL(attempt_limit, max_sent_attempts.load());
}

// Guards against a second run of a request that may run only once, and against status 503, which would state
// that the request was not run.
TEST(checked_response, lost_response_of_a_non_repeatable_request_gives_502)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::reset_after_running});
    start();
    const std::string response = exchange("POST");
    CHECK_EQUAL(502, parse_status(response));
    CHECK_EQUAL(1U, executions());
}

// Guards against a retry decision by the request method where the route states whether a request is
// repeatable.
TEST(checked_response, the_route_decides_what_may_be_repeated)
{
    proxy.first->set_script({upstream_step::reset_after_running});
    proxy.second->set_script({upstream_step::answer_unframed});
    start();
    const std::string response = exchange("POST");
    CHECK_EQUAL(200, parse_status(response));
    CHECK_EQUAL(2U, executions());
}

// Guards against a truncated body that is relayed as complete, with Content-Length, chunked, or delimited by
// the end of the connection.
TEST(checked_response, truncated_body_is_never_relayed_as_a_success)
{
    is_repeatable = false;
    for (const upstream_step step :
         {upstream_step::reset_within_body, upstream_step::reset_within_chunked_body,
          upstream_step::reset_within_unframed_body}) {
        proxy.first->set_script({step});
        if (!proxy.server) {
            start();
        }
        CHECK_EQUAL(502, parse_status(exchange("POST")));
    }
}

// Guards against relaying a success response without the endpoint's signature.
TEST(checked_response, a_success_without_signature_is_not_relayed)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::answer});
    start();
    CHECK_EQUAL(502, parse_status(exchange()));
}

// Guards against relaying a late response to another request, which the caller would take for its own.
TEST(checked_response, a_foreign_response_is_dropped)
{
    proxy.first->set_script({upstream_step::answer_after_foreign});
    start();
    const std::string response = exchange();
    CHECK_EQUAL(200, parse_status(response));
    CHECK(contains(response, "GET /a"));
    CHECK_FALSE(contains(response, "alien"));
}

// Guards against relaying a completely received body without Content-Length, so that only the end of the
// connection would delimit it.
TEST(checked_response, an_unframed_body_gets_a_length)
{
    proxy.first->set_script({upstream_step::answer_unframed});
    start();
    const std::string response = exchange();
    CHECK_EQUAL(200, parse_status(response));
    CHECK(contains(response, "Content-Length: 7\r\n"));
}

// Guards against passing on a workspace field that the caller forged, and against a request without the
// identity of the endpoint for which it is meant.
TEST(checked_response, control_fields_come_from_the_instance)
{
    proxy.first->set_script({upstream_step::answer_unframed});
    start();
    exchange();
    CHECK(contains(proxy.first->last_header(), "X-Workspace: harbour"));
    CHECK_FALSE(contains(proxy.first->last_header(), "forged"));
    CHECK(contains(proxy.first->last_header(), "X-Expected: first"));
}

// Guards against a failed request when the endpoint's address was reassigned to another endpoint, which sends
// 421.
TEST(checked_response, a_misdirected_request_goes_to_another_endpoint)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::misdirected});
    proxy.second->set_script({upstream_step::answer_unframed});
    start();
    CHECK_EQUAL(200, parse_status(exchange("POST")));
    CHECK_EQUAL(1U, executions());
}

// Guards against status 502, which leaves open whether the request ran, when no byte of it was sent.
TEST(checked_response, request_that_reached_no_endpoint_gives_503)
{
    is_repeatable = false;
    proxy.hooks.acquire_endpoint =
        [this](const caller::request_summary&, const caller::admission&, const std::vector<std::string>&,
               caller::wait_context&) -> boost::asio::awaitable<caller::lease_result> {
        ++proxy.open_leases;
        co_return caller::endpoint_lease::create(
            "closed", "127.0.0.1", 1, [this](const caller::attempt_result&) { --proxy.open_leases; });
    };
    proxy.hooks.grant_retry = [](const caller::request_summary&, const caller::admission&,
                                 const dispatch::attempt_state& state, dispatch::failure,
                                 core::instant) { return state.attempts < 2; };
    proxy.options.profile.does_503_mean_not_run = true;
    proxy.start();
    CHECK_EQUAL(503, parse_status(exchange("POST")));
}

// Guards against an earlier refusal that the endpoint writes once more on a kept connection: the caller was
// told that the request had not run, or it ran at a second endpoint.
TEST(checked_response, a_refusal_without_the_request_identifier_promises_nothing)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::answer_after_refusal});
    start();
    CHECK_EQUAL(502, parse_status(exchange("POST")));
    CHECK_EQUAL(1U, executions());
}

// Guards against a response that ends within its header and is relayed as a complete one without a body.
TEST(checked_response, a_response_that_ends_within_its_header_is_not_relayed)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::close_within_header});
    start();
    CHECK_EQUAL(502, parse_status(exchange("POST")));
    CHECK_EQUAL(1U, executions());
}

// Guards against passing on an endpoint's refusal that does not state that the request was not run: the
// caller took its status for the guarantee, and repeated a request that had run.
TEST(checked_response, a_refusal_that_does_not_state_not_run_promises_nothing)
{
    is_repeatable = false;
    start();
    std::uint32_t expected_executions = 0;
    for (const upstream_step step : {upstream_step::unstated_408, upstream_step::unstated_429,
                                     upstream_step::unstated_503, upstream_step::unstated_503_without_id}) {
        proxy.first->set_script({step});
        const std::string response = exchange("POST");
        CHECK_EQUAL(502, parse_status(response));
        CHECK_FALSE(contains(response, "X-Signature"));
        ++expected_executions;
        CHECK_EQUAL(expected_executions, executions());
    }
}

// Guards against taking the repeated refusal of an earlier attempt for the response to a later attempt on the
// same connection: the caller was told that the request had not run while the endpoint ran it.
TEST(checked_response, a_repeated_misdirection_is_not_taken_for_the_next_response)
{
    CHECK_EQUAL(200, exchange_after_refusal(upstream_step::misdirected_twice));
    CHECK_EQUAL(1U, executions());
}

// Guards against the same confusion after an endpoint has shed the earlier attempt.
TEST(checked_response, a_repeated_shed_response_is_not_taken_for_the_next_response)
{
    CHECK_EQUAL(200, exchange_after_refusal(upstream_step::shed_twice));
    CHECK_EQUAL(1U, executions());
}

// Guards against keeping a connection on which the response to a request was not recognized: the endpoint may
// still be running that request, and the next one would wait behind it.
TEST(checked_response, a_connection_without_a_verified_response_is_not_kept)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::answer, upstream_step::answer_signed});
    start();
    CHECK_EQUAL(502, parse_status(exchange("POST")));
    CHECK_EQUAL(200, parse_status(exchange("POST")));
    CHECK_EQUAL(2U, proxy.first->accepted());
}
