// Tests of upstreams that respond before they have read the request, and end the connection while the request
// body is being written.

#include "packages/caller/tests/proxy_fixture.h"
#include "tests/support/byte_server.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;
namespace asio = boost::asio;

namespace
{

// Exceeds the socket buffers between the caller and the upstream, so that the upload blocks.
constexpr std::size_t upload_bytes = 32 * 1024 * 1024;

std::string make_upload(bool is_chunked)
{
    const std::string begin = "POST /orders HTTP/1.1\r\nHost: quay\r\nQuetzal-Request-Id: own\r\n";
    const std::string body(upload_bytes, 'x');
    if (is_chunked) {
        return begin + "Transfer-Encoding: chunked\r\n\r\n2000000\r\n" + body + "\r\n0\r\n\r\n";
    }
    return begin + "Content-Length: " + std::to_string(upload_bytes) + "\r\n\r\n" + body;
}

struct early_response {
    const char* name;
    std::string header;
    std::size_t body_bytes;
    bool is_upload_chunked;
};

std::string make_header(const char* status_line, const char* fields)
{
    return std::string(status_line) + "\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" + fields + "\r\n";
}

const std::vector<early_response>& unframed_responses()
{
    static const std::vector<early_response> table{
        {"no length", make_header("HTTP/1.1 200 OK", ""), 4000, false},
        {"closing", make_header("HTTP/1.1 200 OK", "Connection: close\r\n"), 4000, false},
        {"HTTP/1.0", make_header("HTTP/1.0 200 OK", ""), 4000, false},
        {"no body", make_header("HTTP/1.1 200 OK", ""), 0, false},
        {"error", make_header("HTTP/1.1 404 Not Found", ""), 4000, false},
        {"chunked upload", make_header("HTTP/1.1 200 OK", ""), 4000, true},
        {"large body", make_header("HTTP/1.1 200 OK", ""), 600'000, false},
    };
    return table;
}

} // namespace

TEST_GROUP(early_response)
{
    proxy_fixture proxy;
    std::unique_ptr<tests::byte_server> upstream;

    // Starts an upstream that sends the text, waits until the upload blocks, and ends the connection.
    void start_upstream(const std::string& text, const tests::byte_server::handler& end)
    {
        upstream = std::make_unique<tests::byte_server>([text, end](asio::ip::tcp::socket& socket) {
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(text), ignored);
            tests::wait_until_peer_blocks(socket);
            end(socket);
        });
        proxy.upstream_port = upstream->port();
    }

    void teardown() override
    {
        upstream.reset();
    }

    // Sends an upload for each of the responses, and checks whether the caller gets it as a complete one.
    void exchange_each(const std::vector<early_response>& responses, const tests::byte_server::handler& end,
                       bool is_complete)
    {
        proxy.require_signature();
        proxy.start();
        for (const early_response& response : responses) {
            start_upstream(response.header + std::string(response.body_bytes, 'b'), end);
            raw_caller caller(proxy.server->port());
            caller.send(make_upload(response.is_upload_chunked));
            const std::string received = caller.receive_all();
            const bool is_relayed = is_complete_response(received) && parse_status(received) < 500;
            CHECK_EQUAL_TEXT(is_complete, is_relayed, response.name);
        }
        LONGS_EQUAL(0, proxy.open_leases.load());
    }
};

// Guards against a part of a response that the caller gets as a complete one: the write of the upload got the
// error of the reset, and reading then ended as if the upstream had sent the whole response.
TEST(early_response, a_reset_during_the_upload_completes_no_response_without_length)
{
    exchange_each(unframed_responses(), tests::reset, false);
}

// Guards against the same fault if the response is checked before it is relayed.
TEST(early_response, a_reset_during_the_upload_completes_no_checked_response_without_length)
{
    proxy.options.response_buffer_bytes = 64 * 1024;
    exchange_each(unframed_responses(), tests::reset, false);
}

// Guards against the loss of a response that the upstream has ended before it resets the connection, and of
// one with a length.
TEST(early_response, a_reset_after_the_end_of_a_response_does_not_cut_it)
{
    proxy.options.response_buffer_bytes = 64 * 1024;
    const std::vector<early_response> responses{
        {"no length", make_header("HTTP/1.1 200 OK", ""), 4000, false},
        {"length", make_header("HTTP/1.1 200 OK", "Content-Length: 4000\r\n"), 4000, false},
    };
    const tests::byte_server::handler end = [](asio::ip::tcp::socket& socket) {
        boost::system::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        tests::reset(socket);
    };
    exchange_each(responses, end, true);
}
