// Tests of responses that are received and checked whole before anything is relayed, and of retries that a
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
    std::atomic<std::uint32_t> most_sends{0};

    void start()
    {
        proxy.options.response_buffer_bytes = 4096;
        proxy.options.profile.signature_field = "X-Signature";
        proxy.options.profile.expected_endpoint_field = "X-Expected";
        proxy.options.profile.workspace_field = "X-Workspace";
        proxy.options.profile.keeps_request_id = true;
        proxy.options.profile.is_request_id_echoed = true;
        proxy.options.profile.is_503_a_promise = true;
        proxy.hooks.begin = [this](const caller::request_summary&, core::instant) -> caller::begin_result {
            caller::admission admitted;
            admitted.workspace = "harbour";
            admitted.is_repeatable = is_repeatable;
            admitted.attempt_limit = attempt_limit;
            return admitted;
        };
        proxy.hooks.retry = [this](const caller::request_summary&, const caller::admission& admitted,
                                   const dispatch::attempt_state& state, dispatch::failure at,
                                   core::instant) {
            most_sends = std::max(most_sends.load(), state.sends);
            return dispatch::allows_retry(at, state.is_idempotent) && state.sends < admitted.attempt_limit;
        };
        proxy.start();
    }

    std::string exchange(const std::string& method = "GET")
    {
        return proxy.exchange(make_request(method, "/a", method == "GET" ? "" : "x",
                                           "Quetzal-Request-Id: own\r\nX-Workspace: forged\r\n"));
    }

    std::uint32_t executions() const
    {
        return proxy.first->executions() + proxy.second->executions();
    }
};

// Guards against a send that is not counted before the retry after a server error is decided: the request
// then runs on one endpoint more than its limit.
TEST(checked_response, a_server_error_counts_as_a_send)
{
    proxy.first->set_script({upstream_step::server_error});
    proxy.second->set_script({upstream_step::server_error});
    start();
    const std::string answer = exchange();
    CHECK_EQUAL(500, status_of(answer));
    CHECK_EQUAL(attempt_limit, executions());
    CHECK_EQUAL(attempt_limit, most_sends.load());
}

// Guards against a second run of a request that may run only once, and against a promise that it has not run.
TEST(checked_response, a_lost_response_of_a_request_that_runs_once_is_no_promise)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::reset_after_running});
    start();
    const std::string answer = exchange("POST");
    CHECK_EQUAL(502, status_of(answer));
    CHECK_EQUAL(1U, executions());
}

// Guards against a method that decides what the route decides.
TEST(checked_response, the_route_decides_what_may_be_repeated)
{
    proxy.first->set_script({upstream_step::reset_after_running});
    proxy.second->set_script({upstream_step::answer_unframed});
    start();
    const std::string answer = exchange("POST");
    CHECK_EQUAL(200, status_of(answer));
    CHECK_EQUAL(2U, executions());
}

// Guards against a cut body that looks complete, whether or not its length was announced.
TEST(checked_response, a_cut_body_is_never_relayed_as_a_success)
{
    is_repeatable = false;
    for (const upstream_step step :
         {upstream_step::reset_within_body, upstream_step::reset_within_chunked_body,
          upstream_step::reset_within_unframed_body}) {
        proxy.first->set_script({step});
        if (!proxy.server) {
            start();
        }
        CHECK_EQUAL(502, status_of(exchange("POST")));
    }
}

// Guards against a success without the endpoint's signature.
TEST(checked_response, a_success_without_signature_is_not_relayed)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::answer});
    start();
    CHECK_EQUAL(502, status_of(exchange()));
}

// Guards against the late answer to another request that a caller takes for its own.
TEST(checked_response, a_foreign_response_is_dropped)
{
    proxy.first->set_script({upstream_step::answer_after_foreign});
    start();
    const std::string answer = exchange();
    CHECK_EQUAL(200, status_of(answer));
    CHECK(contains(answer, "GET /a"));
    CHECK_FALSE(contains(answer, "alien"));
}

// Guards against a body whose end the caller can only see by the end of the connection.
TEST(checked_response, an_unframed_body_gets_a_length)
{
    proxy.first->set_script({upstream_step::answer_unframed});
    start();
    const std::string answer = exchange();
    CHECK_EQUAL(200, status_of(answer));
    CHECK(contains(answer, "Content-Length: 7\r\n"));
}

// Guards against a forged workspace and a missing expectation at the upstream.
TEST(checked_response, control_fields_are_those_of_the_instance)
{
    proxy.first->set_script({upstream_step::answer_unframed});
    start();
    exchange();
    CHECK(contains(proxy.first->last_header(), "X-Workspace: harbour"));
    CHECK_FALSE(contains(proxy.first->last_header(), "forged"));
    CHECK(contains(proxy.first->last_header(), "X-Expected: first"));
}

// Guards against a request that is lost because its endpoint's address was given to another one.
TEST(checked_response, a_misdirected_request_goes_to_another_endpoint)
{
    is_repeatable = false;
    proxy.first->set_script({upstream_step::misdirected});
    proxy.second->set_script({upstream_step::answer_unframed});
    start();
    CHECK_EQUAL(200, status_of(exchange("POST")));
    CHECK_EQUAL(1U, executions());
}

// Guards against a failure before any send that leaves open whether the request ran.
TEST(checked_response, a_request_that_reached_no_endpoint_is_promised_not_to_have_run)
{
    is_repeatable = false;
    proxy.hooks.acquire = [this](const caller::request_summary&, const caller::admission&,
                                 const std::vector<std::string>&,
                                 caller::wait_context&) -> boost::asio::awaitable<caller::acquire_result> {
        ++proxy.open_leases;
        co_return caller::endpoint_lease::create(
            "closed", "127.0.0.1", 1, [this](const caller::attempt_result&) { --proxy.open_leases; });
    };
    proxy.hooks.retry = [](const caller::request_summary&, const caller::admission&,
                           const dispatch::attempt_state& state, dispatch::failure,
                           core::instant) { return state.attempts < 2; };
    proxy.options.profile.is_503_a_promise = true;
    proxy.start();
    CHECK_EQUAL(503, status_of(exchange("POST")));
}
