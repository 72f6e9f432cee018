// Sends malformed, oversized, slow, pipelined and streamed messages to the server as raw bytes.

#include "packages/caller/tests/proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;

namespace
{

struct message_case {
    const char* name;
    std::string text;
    int status;
    const char* reason;
};

std::string make_post_header(const std::string& fields)
{
    return "POST /orders HTTP/1.1\r\nHost: quay\r\n" + fields + "\r\n";
}

const std::vector<message_case>& rejected_messages()
{
    static const std::vector<message_case> table{
        {"no HTTP", "hello\r\n\r\n", 400, "malformed-header"},
        {"bare line feeds", "GET / HTTP/1.1\nHost: a\n\n\r\n\r\n", 400, "malformed-header"},
        {"unknown version", "GET / HTTP/3.7\r\nHost: a\r\n\r\n", 400, "malformed-header"},
        {"no host", "GET / HTTP/1.1\r\n\r\n", 400, "malformed-header"},
        {"two hosts", make_post_header("Host: b\r\n"), 400, "malformed-header"},
        {"zero byte in a value", make_post_header(std::string("A: b\0c\r\n", 8)), 400, "malformed-header"},
        {"space before the colon", make_post_header("Content-Length : 3\r\n"), 400, "ambiguous-framing"},
        {"folded line", make_post_header("A: b\r\n c\r\n"), 400, "ambiguous-framing"},
        {"length and coding", make_post_header("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400,
         "ambiguous-framing"},
        {"coding and length", make_post_header("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"), 400,
         "ambiguous-framing"},
        {"two lengths", make_post_header("Content-Length: 3\r\nContent-Length: 4\r\n"), 400,
         "ambiguous-framing"},
        {"list of lengths", make_post_header("Content-Length: 3, 3\r\n"), 400, "ambiguous-framing"},
        {"signed length", make_post_header("Content-Length: +3\r\n"), 400, "ambiguous-framing"},
        {"huge length", make_post_header("Content-Length: 99999999999999999999\r\n"), 400,
         "ambiguous-framing"},
        {"unsupported coding", make_post_header("Transfer-Encoding: gzip\r\n"), 400,
         "unsupported-transfer-coding"},
        {"coding chain", make_post_header("Transfer-Encoding: gzip, chunked\r\n"), 400,
         "unsupported-transfer-coding"},
        {"long body", make_post_header("Content-Length: 5000000\r\n"), 413, "body-too-large"},
        {"long header", make_post_header("A: " + std::string(20'000, 'x') + "\r\n"), 431, "header-too-large"},
        {"endless header", "GET / HTTP/1.1\r\nA: " + std::string(40'000, 'x'), 431, "header-too-large"},
        {"connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501, "method-unsupported"},
        {"upgrade", make_post_header("Connection: upgrade\r\nUpgrade: websocket\r\n"), 501,
         "upgrade-unsupported"},
        {"expectation", make_post_header("Expect: rain\r\n"), 417, "expectation-unsupported"},
        {"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-target"},
        {"dot segment", "GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-target"},
        {"encoded dot segment", "GET /a/%2e%2E%2fb HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-target"},
        {"deadline", make_post_header("Quetzal-Deadline-Ms: soon\r\n"), 400, "malformed-deadline"},
        {"two idempotency keys", make_post_header("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400,
         "malformed-idempotency-key"},
        {"chunk size", make_post_header("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400, "malformed-body"},
        {"chunked body above the limit",
         make_post_header("Transfer-Encoding: chunked\r\n") + "186A0\r\n" + std::string(100'000, 'x') +
             "\r\n",
         413, "body-too-large"},
    };
    return table;
}

} // namespace

TEST_GROUP(messages)
{
    proxy_fixture fixture;
};

// Guards against request smuggling, against messages that crash or block the server, and against a rejection
// that does not state that the request was not run.
TEST(messages, malformed_messages_get_an_error_response)
{
    fixture.options.body_limit_bytes = 50'000;
    fixture.start();
    raw_caller bystander(fixture.server->port());
    for (const message_case& expected : rejected_messages()) {
        raw_caller caller(fixture.server->port());
        caller.send(expected.text);
        const std::string response = caller.receive_response();
        LONGS_EQUAL_TEXT(expected.status, parse_status(response), expected.name);
        CHECK_TEXT(contains(response, std::string("Quetzal-Reason: ") + expected.reason), expected.name);
        CHECK_TEXT(contains(response, "Quetzal-Outcome: not-run"), expected.name);
        bystander.send(make_request("GET", "/bystander"));
        LONGS_EQUAL_TEXT(200, parse_status(bystander.receive_response()), expected.name);
    }
    LONGS_EQUAL(rejected_messages().size(), fixture.first->executions());
    LONGS_EQUAL(rejected_messages().size(), fixture.rejected_message_count.load());
}

// Guards against a sender that keeps a connection occupied by sending slowly or not at all.
TEST(messages, slow_senders_time_out)
{
    fixture.options.header_timeout = std::chrono::milliseconds(30);
    fixture.options.body_idle_timeout = std::chrono::milliseconds(30);
    fixture.options.idle_timeout = std::chrono::milliseconds(30);
    fixture.start();
    raw_caller header(fixture.server->port());
    header.send("GET / HT");
    CHECK(contains(header.receive_all(), "Quetzal-Reason: header-timeout"));
    raw_caller body(fixture.server->port());
    body.send(make_post_header("Content-Length: 10\r\n") + "abc");
    CHECK(contains(body.receive_all(), "Quetzal-Reason: body-timeout"));
    raw_caller silent(fixture.server->port());
    STRCMP_EQUAL("", silent.receive_all().c_str());
    LONGS_EQUAL(0, fixture.first->executions());
}

// Guards against a slow streamed body that keeps its endpoint lease, and against reporting its request as not
// run.
TEST(messages, slow_streamed_body_releases_its_endpoint)
{
    fixture.options.body_idle_timeout = std::chrono::milliseconds(30);
    fixture.options.replay_limit_bytes = 10;
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_post_header("Content-Length: 1000\r\n") + "abc");
    const std::string response = caller.receive_all();
    LONGS_EQUAL(408, parse_status(response));
    CHECK(contains(response, "Quetzal-Outcome: unknown"));
    LONGS_EQUAL(0, fixture.open_leases.load());
    proxy_fixture::wait_until([&] { return fixture.first->cancelled() == 1; });
    LONGS_EQUAL(0, fixture.first->executions());
}

// Guards against 408 for a booking that an endpoint has begun when its upload stalls: callers take that
// status for the promise that it has not run, and book again.
TEST(messages, a_stalled_upload_of_a_request_that_was_sent_promises_nothing)
{
    fixture.options.profile.does_503_mean_not_run = true;
    fixture.options.body_idle_timeout = std::chrono::milliseconds(30);
    fixture.options.replay_limit_bytes = 16;
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\npart of the body");
    LONGS_EQUAL(502, parse_status(caller.receive_response()));
    const std::vector<finished_request> records = fixture.wait_for_finished(1);
    CHECK(records.back().failure == dispatch::failure::body_timeout);
    CHECK(records.back().outcome == dispatch::outcome::unknown);
}

// Guards against responses in the wrong order when requests are sent without waiting for responses.
TEST(messages, pipelined_requests_are_answered_in_order)
{
    fixture.start();
    raw_caller caller(fixture.server->port());
    std::string text;
    for (int index = 0; index < 20; ++index) {
        text += make_request("POST", "/" + std::to_string(index), "body");
    }
    caller.send(text);
    for (int index = 0; index < 20; ++index) {
        const std::string expected = "\r\n\r\nPOST /" + std::to_string(index) + " body";
        CHECK(caller.receive_response().ends_with(expected));
    }
}

// Guards against late responses that reach another caller, while some requests time out and others succeed.
TEST(messages, concurrent_callers_get_their_own_responses)
{
    fixture.options.default_deadline = std::chrono::milliseconds(200);
    fixture.first->set_script({upstream_step::hang, upstream_step::answer, upstream_step::hang,
                               upstream_step::answer_with_excess, upstream_step::answer});
    fixture.start();
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&, thread] {
            raw_caller caller(fixture.server->port());
            for (int index = 0; index < 50; ++index) {
                const std::string target = "/" + std::to_string(thread) + "/" + std::to_string(index);
                caller.send(make_request("POST", target, "body"));
                const std::string response = caller.receive_response();
                const bool is_own = response.ends_with("\r\n\r\nPOST " + target + " body");
                const bool is_late = contains(response, "response-timeout");
                wrong += is_own || is_late ? 0 : 1;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(0, wrong.load());
    LONGS_EQUAL(1, fixture.first->max_executions_per_request());
}

// Guards against bodies that are lost, duplicated or framed wrongly, whether they are read completely first
// or streamed, in both directions.
TEST(messages, bodies_of_all_sizes_and_framings_are_relayed_unchanged)
{
    fixture.options.replay_limit_bytes = 20'000;
    fixture.start();
    for (const std::size_t size : {0U, 1U, 15'999U, 20'000U, 20'001U, 300'000U}) {
        std::string body;
        for (std::size_t index = 0; index < size; ++index) {
            body += static_cast<char>('a' + index * 7 % 26);
        }
        std::string chunks;
        for (std::size_t begin = 0; begin < size; begin += 7000) {
            const std::string part = body.substr(begin, 7000);
            std::array<char, 16> line{};
            snprintf(line.data(), line.size(), "%zx\r\n", part.size());
            chunks += line.data() + part + "\r\n";
        }
        fixture.exchange(make_request("POST", "/plain", body));
        CHECK(fixture.first->last_body() == body);
        const std::string response = fixture.exchange(
            "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n");
        CHECK(fixture.first->last_body() == body);
        CHECK(response.ends_with("POST /chunked " + body));
    }
}

// Guards against forwarding the workspace key, hop-by-hop fields and control fields that the caller forged.
TEST(messages, only_end_to_end_fields_are_forwarded)
{
    fixture.start();
    const std::string fields = "Quetzal-Key: secret\r\nConnection: x-one\r\nconnection: X-Two , close\r\n"
                               "X-One: 1\r\nx-two: 2\r\nX-Three: 3\r\nTE: trailers\r\nKeep-Alive: 5\r\n"
                               "Quetzal-Request-Id: forged\r\nQuetzal-Deadline-Ms: 900\r\n"
                               "Quetzal-Outcome: ran\r\n";
    const std::string response = fixture.exchange(make_request("POST", "/orders", "body", fields));
    LONGS_EQUAL(200, parse_status(response));
    CHECK(contains(response, "Connection: close"));
    const std::string header = fixture.first->last_header();
    for (const char* name : {"secret", "X-One", "x-two", "TE:", "Keep-Alive", "forged", "Quetzal-Outcome"}) {
        CHECK_FALSE_TEXT(contains(header, name), name);
    }
    CHECK(contains(header, "X-Three: 3"));
    CHECK(contains(header, "Quetzal-Request-Id: "));
    CHECK(contains(header, "Quetzal-Deadline-Ms: "));
}

// Guards against a caller that waits for 100 Continue forever, and against sending 100 Continue before a
// rejection.
TEST(messages, continue_is_sent_after_admission_only)
{
    bool is_admitted = true;
    fixture.hooks.enforce_rate_limit =
        [&](const caller::admission&,
            caller::wait_context&) -> boost::asio::awaitable<std::optional<caller::rejection>> {
        co_return is_admitted ? std::nullopt
                              : std::optional<caller::rejection>(caller::rejection{
                                    dispatch::failure::rate_limited, std::chrono::seconds(2)});
    };
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_post_header("Expect: 100-continue\r\nContent-Length: 4\r\n"));
    LONGS_EQUAL(100, parse_status(caller.receive_response()));
    caller.send("body");
    LONGS_EQUAL(200, parse_status(caller.receive_response()));
    is_admitted = false;
    raw_caller rejected(fixture.server->port());
    rejected.send(make_post_header("Expect: 100-continue\r\nContent-Length: 4\r\n"));
    const std::string response = rejected.receive_all();
    LONGS_EQUAL(429, parse_status(response));
    CHECK(contains(response, "Retry-After: 2"));
    LONGS_EQUAL(1, fixture.first->executions());
}

// Guards against an upload that continues after the upstream has sent its final response.
TEST(messages, early_response_ends_the_upload)
{
    fixture.first->set_script({upstream_step::answer_early});
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_post_header("Content-Length: 10000000\r\n") + std::string(1000, 'x'));
    LONGS_EQUAL(413, parse_status(caller.receive_response()));
    proxy_fixture::wait_until([&] { return fixture.first->cancelled() == 1; });
    LONGS_EQUAL(1, fixture.first->cancelled());
}

// Guards against sending a body with a response to HEAD, which the caller would read as the next response.
TEST(messages, responses_without_a_body_do_not_desynchronize_the_connection)
{
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send(make_request("HEAD", "/orders") +
                make_request("GET", "/orders", "", "Connection: close\r\n"));
    const std::string text = caller.receive_all();
    const std::size_t end = text.find("\r\n\r\n");
    CHECK(contains(text.substr(0, end), "Content-Length: 13"));
    STRCMP_EQUAL("HTTP/1.1 200", text.substr(end + 4, 12).c_str());
    CHECK(text.ends_with("\r\n\r\nGET /orders "));
    LONGS_EQUAL(1, fixture.first->accepted());
}

// Guards against chunked responses to HTTP/1.0 callers, and against leaving the connection open when only its
// end delimits the body.
TEST(messages, http_1_0_callers_get_no_chunks)
{
    fixture.first->set_script({upstream_step::answer_chunked});
    fixture.start();
    raw_caller caller(fixture.server->port());
    caller.send("GET / HTTP/1.0\r\n\r\n");
    const std::string response = caller.receive_all();
    CHECK(response.ends_with("\r\n\r\nabcdef"));
    CHECK_FALSE(contains(response, "chunked"));
}

// Guards against a drain that interrupts a request, waits for idle connections or never reports its end.
TEST(messages, drain_completes_requests)
{
    std::atomic<bool> is_drain_complete{false};
    std::atomic<bool> is_acquiring{false};
    std::atomic<bool> is_released{false};
    const std::function<boost::asio::awaitable<caller::lease_result>(
        const caller::request_summary&, const caller::admission&, const std::vector<std::string>&,
        caller::wait_context&)>
        acquire_endpoint = fixture.hooks.acquire_endpoint;
    fixture.hooks.acquire_endpoint =
        [&](const caller::request_summary& request, const caller::admission& admitted,
            const std::vector<std::string>& tried,
            caller::wait_context& wait) -> boost::asio::awaitable<caller::lease_result> {
        is_acquiring = true;
        while (!is_released) {
            boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor,
                                            std::chrono::milliseconds(1));
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
        caller::lease_result result = co_await acquire_endpoint(request, admitted, tried, wait);
        co_return result;
    };
    fixture.start();
    raw_caller idle(fixture.server->port());
    raw_caller busy(fixture.server->port());
    busy.send(make_request("POST", "/orders", "body"));
    proxy_fixture::wait_until([&] { return is_acquiring.load(); });
    fixture.server->drain([&] { is_drain_complete = true; });
    STRCMP_EQUAL("", idle.receive_all().c_str());
    CHECK_FALSE(is_drain_complete);
    is_released = true;
    const std::string response = busy.receive_all();
    LONGS_EQUAL(200, parse_status(response));
    CHECK(contains(response, "Connection: close"));
    proxy_fixture::wait_until([&] { return is_drain_complete.load(); });
    CHECK(is_drain_complete);
}

// Guards against connections beyond the limit, and against ended connections that still count toward it.
TEST(messages, connections_above_the_limit_are_rejected)
{
    fixture.options.connection_limit = 1;
    fixture.start();
    raw_caller kept(fixture.server->port());
    kept.send(make_request("GET", "/"));
    LONGS_EQUAL(200, parse_status(kept.receive_response()));
    raw_caller excess(fixture.server->port());
    CHECK(contains(excess.receive_all(), "Quetzal-Reason: connection-limit"));
    kept.close();
    excess.close();
    proxy_fixture::wait_until([&] { return fixture.server->connections() == 0; });
    raw_caller next(fixture.server->port());
    next.send(make_request("GET", "/"));
    LONGS_EQUAL(200, parse_status(next.receive_response()));
}
