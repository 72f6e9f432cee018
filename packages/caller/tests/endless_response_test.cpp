// Tests of upstreams in trouble that send bytes without end, in a header or a body, until the instance
// closes.

#include "packages/caller/tests/proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;

TEST_GROUP(endless_response)
{
    proxy_fixture fixture;
};

// Guards against a header that takes memory without limit, and against a request that waits for its end: the
// connection is closed after some kilobytes, long before the deadline, and the caller is told that the
// request may have run.
TEST(endless_response, a_header_without_end_is_given_up_after_its_limit)
{
    using enum upstream_step;
    fixture.options.default_deadline = std::chrono::seconds(30);
    fixture.start();
    std::size_t finished = 0;
    for (const upstream_step step :
         {endless_noise, endless_field, endless_header, endless_interim_responses}) {
        const std::uint64_t bytes_before = fixture.first->endless_bytes();
        const std::uint32_t cancelled_before = fixture.first->cancelled();
        fixture.first->set_script({step});
        const std::string response = fixture.exchange(make_request("POST", "/orders", "deposit"));
        LONGS_EQUAL(502, parse_status(response));
        const std::vector<finished_request> records = fixture.wait_for_finished(++finished);
        CHECK(records.back().outcome == dispatch::outcome::unknown);
        proxy_fixture::wait_until([&] { return fixture.first->cancelled() == cancelled_before + 1; });
        LONGS_EQUAL(cancelled_before + 1, fixture.first->cancelled());
        // The limit of the reader and what the buffers of two sockets hold.
        CHECK(fixture.first->endless_bytes() - bytes_before < 16 * 1024 * 1024);
    }
    LONGS_EQUAL(0, fixture.second->executions());
    LONGS_EQUAL(0, fixture.open_leases.load());
}

// Guards against a body that takes memory without limit or that keeps the request beyond its deadline, and
// against a cut body that the caller takes for a complete one.
TEST(endless_response, a_body_without_end_ends_with_the_connection_at_the_latest_at_the_deadline)
{
    using enum upstream_step;
    fixture.options.default_deadline = std::chrono::milliseconds(300);
    fixture.options.response_buffer_bytes = 64 * 1024;
    fixture.start();
    std::size_t finished = 0;
    for (const upstream_step step :
         {endless_chunk_extension, endless_body, endless_unframed_body, endless_trailer}) {
        const std::uint32_t cancelled_before = fixture.first->cancelled();
        fixture.first->set_script({step});
        raw_caller caller(fixture.server->port());
        caller.send(make_request("POST", "/orders", "deposit", "Connection: close\r\n"));
        const std::string response = caller.receive_all();
        CHECK(!response.ends_with("0\r\n\r\n"));
        CHECK(parse_status(response) != 200 || caller.was_reset());
        const std::vector<finished_request> records = fixture.wait_for_finished(++finished);
        CHECK(records.back().failure.has_value());
        proxy_fixture::wait_until([&] { return fixture.first->cancelled() == cancelled_before + 1; });
        LONGS_EQUAL(cancelled_before + 1, fixture.first->cancelled());
    }
    LONGS_EQUAL(0, fixture.open_leases.load());
}

// Guards against a cut response that a caller takes for the whole because the connection ends in an orderly
// way: a caller that speaks HTTP/1.0 gets a body without length, whose end is the end of the connection.
TEST(endless_response, a_stop_resets_the_connection_of_a_response_without_length)
{
    fixture.start();
    fixture.first->set_script({upstream_step::endless_unframed_body});
    raw_caller caller(fixture.server->port());
    caller.send("GET /orders HTTP/1.0\r\nHost: quay\r\n\r\n");
    const std::string begin = caller.receive_response();
    LONGS_EQUAL(200, parse_status(begin));
    fixture.server->stop();
    caller.receive_all();
    CHECK(caller.was_reset());
}
