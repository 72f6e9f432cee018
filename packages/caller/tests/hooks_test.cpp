// Tests the order of the hook calls, their arguments, cancellation and exceptions.

#include "packages/caller/tests/proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;
using dispatch::failure;
using dispatch::outcome;

TEST_GROUP(hooks)
{
    std::mutex mutex;
    std::vector<std::string> events;
    bool has_claim = false;
    // Declared last, so that its threads end before the members that the hooks use are destroyed.
    proxy_fixture fixture;

    void add_event(const std::string& event)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        events.push_back(event);
    }

    std::string event_at(std::size_t index)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return index < events.size() ? events[index] : "";
    }

    void set_claim_hooks()
    {
        fixture.hooks.create_claim =
            [this](const caller::request_summary& summary, const caller::admission&,
                   caller::wait_context&) -> boost::asio::awaitable<std::optional<caller::rejection>> {
            add_event("claim " + std::string(summary.idempotency_key));
            if (std::exchange(has_claim, true)) {
                co_return caller::rejection{failure::duplicate_request, core::duration(0), outcome::ran};
            }
            co_return std::nullopt;
        };
        fixture.hooks.settle_claim = [this](const caller::request_summary&, const caller::admission&,
                                            outcome result, unsigned) -> boost::asio::awaitable<void> {
            // The delay makes sure that a response sent without waiting for this call arrives before it ends.
            boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor,
                                            std::chrono::milliseconds(20));
            co_await pause.async_wait(boost::asio::use_awaitable);
            has_claim = result != outcome::not_run;
            add_event("settle " + std::string(dispatch::outcome_names.name(result)));
            co_return;
        };
    }

    std::string send_with_idempotency_key(const char* method = "POST")
    {
        return fixture.exchange(make_request(method, "/deposit", "", "Idempotency-Key: seven\r\n"));
    }
};

// Guards against running a request with a repeated Idempotency-Key twice, and against a claim that is never
// settled.
TEST(hooks, repeated_request_is_answered_with_the_recorded_outcome)
{
    set_claim_hooks();
    fixture.start();
    LONGS_EQUAL(200, parse_status(send_with_idempotency_key()));
    fixture.wait_for_finished(1);
    STRCMP_EQUAL("claim seven", event_at(0).c_str());
    STRCMP_EQUAL("settle ran", event_at(1).c_str());
    const std::string response = send_with_idempotency_key();
    LONGS_EQUAL(409, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: ran"));
    LONGS_EQUAL(1, fixture.first->executions());
    // A duplicate must not settle the claim of the first request, and idempotent methods need none.
    LONGS_EQUAL(200, parse_status(send_with_idempotency_key("GET")));
    STRCMP_EQUAL("", event_at(3).c_str());
}

// Guards against a claim that blocks the repetition of a request that was not run, and against deleting the
// claim only after the response, so that an immediate repetition would find it.
TEST(hooks, request_that_was_not_run_can_be_repeated_at_once)
{
    set_claim_hooks();
    fixture.options.retry.max_retries = 0;
    fixture.first->set_script({upstream_step::shed, upstream_step::reset_after_running});
    fixture.start();
    LONGS_EQUAL(503, parse_status(send_with_idempotency_key()));
    STRCMP_EQUAL("settle not-run", event_at(1).c_str());
    LONGS_EQUAL(502, parse_status(send_with_idempotency_key()));
    fixture.wait_for_finished(2);
    STRCMP_EQUAL("settle unknown", event_at(3).c_str());
    LONGS_EQUAL(409, parse_status(send_with_idempotency_key()));
    LONGS_EQUAL(1, fixture.first->executions());
}

// Guards against a wait inside a hook that continues after the caller has disconnected.
TEST(hooks, caller_disconnect_cancels_a_wait)
{
    std::atomic<bool> is_waiting{false};
    fixture.hooks.acquire_endpoint =
        [&](const caller::request_summary&, const caller::admission&, const std::vector<std::string>&,
            caller::wait_context& wait) -> boost::asio::awaitable<caller::lease_result> {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, core::instant::max());
        wait.on_cancel = [&] { timer.cancel(); };
        is_waiting = true;
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        co_return caller::rejection{failure::no_permit};
    };
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_request("POST", "/orders", "deposit"));
    proxy_fixture::wait_until([&] { return is_waiting.load(); });
    caller.close();
    const std::vector<finished_request> records = fixture.wait_for_finished(1);
    LONGS_EQUAL(1, records.size());
    CHECK(records.front().outcome == outcome::not_run);
    proxy_fixture::wait_until([&] { return fixture.server->connections() == 0; });
    LONGS_EQUAL(0, fixture.server->connections());
}

// Guards against an exception of a hook that ends the process or the connection, and against an outcome other
// than not-run for its request.
TEST(hooks, exceptions_become_an_error_response)
{
    fixture.hooks.route_request = [](const caller::request_summary& summary,
                                     core::instant) -> caller::admission_result {
        if (summary.target == "/broken") {
            throw std::runtime_error("no such service");
        }
        return caller::admission();
    };
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_request("GET", "/broken"));
    const std::string response = caller.receive_response();
    LONGS_EQUAL(500, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: not-run"));
    caller.send(make_request("GET", "/orders"));
    LONGS_EQUAL(200, parse_status(caller.receive_response()));
}

// Guards against passing the workspace key itself to hooks, and against forwarding a lookup to an upstream.
TEST(hooks, lookups_are_answered_and_keys_are_digested)
{
    std::string digest;
    fixture.hooks.serve_lookup = [&](const caller::request_summary& summary, core::instant) {
        digest = std::string(summary.key_digest);
        http::response response;
        response.body = std::string(summary.target);
        return response;
    };
    fixture.start();
    const std::string response =
        fixture.exchange(make_request("GET", "/v1/entry?service=orders", "", "Quetzal-Key: abc\r\n"));
    LONGS_EQUAL(200, parse_status(response));
    CHECK(response.ends_with("\r\n\r\n/v1/entry?service=orders"));
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", digest.c_str());
    LONGS_EQUAL(0, fixture.first->accepted());
    LONGS_EQUAL(200, parse_status(fixture.exchange(make_request("GET", "/v1/entryway"))));
    LONGS_EQUAL(1, fixture.first->executions());
}

// Guards against an endpoint that has ended and is not told from one that has only lost a response: the
// request would never be recognized as the cause, and each repetition would end another endpoint.
TEST(hooks, an_attempt_tells_whether_its_endpoint_has_ended)
{
    std::vector<std::uint64_t> fingerprints;
    fixture.hooks.on_attempt_finished = [&](const caller::request_summary& summary,
                                            const std::string& endpoint,
                                            const caller::attempt_result& result) {
        add_event(endpoint + (result.has_endpoint_ended ? " ended"
                              : result.failure          ? " failed"
                                                        : " answered"));
        const std::lock_guard<std::mutex> lock(mutex);
        fingerprints.push_back(summary.fingerprint);
    };
    fixture.start();
    fixture.first->set_script({upstream_step::reset_after_running, upstream_step::end_while_running});
    const std::string request = make_request("GET", "/designs/7");
    // An attempt is reported after its response has been sent, so the next request waits for the end of this
    // one.
    LONGS_EQUAL(200, parse_status(fixture.exchange(request)));
    fixture.wait_for_finished(1);
    LONGS_EQUAL(200, parse_status(fixture.exchange(request)));
    fixture.wait_for_finished(2);
    LONGS_EQUAL(200, parse_status(fixture.exchange(make_request("GET", "/designs/8"))));
    fixture.wait_for_finished(3);
    CHECK(event_at(0).ends_with(" failed"));
    CHECK(event_at(1).ends_with(" answered"));
    CHECK(event_at(2).ends_with(" ended"));
    CHECK(event_at(3).ends_with(" answered"));
    // The attempts of both callers have the same fingerprint, and another target has another one.
    CHECK(fingerprints.at(0) == fingerprints.at(1) && fingerprints.at(0) == fingerprints.at(2));
    CHECK(fingerprints.at(0) != fingerprints.back());
}
