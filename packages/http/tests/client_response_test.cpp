// Tests of the client with servers whose responses are given as bytes.

#include "http/client.h"
#include "http/status.h"
#include "tests/support/byte_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace std::string_literals;
namespace asio = boost::asio;

namespace
{

struct malformed_response {
    const char* name;
    std::string text;
};

std::string with_field(const std::string& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}";
}

const std::vector<malformed_response>& malformed_responses()
{
    static const std::vector<malformed_response> table{
        {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
        {"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}"},
        {"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}"},
        {"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}"},
        {"protocol switch", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
        {"blank in a name", with_field("Bad Name: x")},
        {"blank before the colon", with_field("Name : x")},
        {"tab in a name", with_field("Na\tme: x")},
        {"control byte in a name", with_field("Na\x01me: x")},
        {"zero byte in a name", with_field("Na\0me: x"s)},
        {"empty name", with_field(": x")},
        {"no colon", with_field("Name")},
        {"control byte in a value", with_field("Name: \x01")},
        {"length and coding", with_field("Transfer-Encoding: chunked")},
        {"part of the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"},
        {"part of a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
    };
    return table;
}

} // namespace

TEST_GROUP(client_response)
{
    asio::io_context context;
    std::unique_ptr<tests::byte_server> server;
    std::unique_ptr<http::client> client;

    void teardown() override
    {
        client.reset();
        server.reset();
    }

    // Starts a server that sends the text in response to the first request of each connection and closes.
    void start(const std::string& text)
    {
        start_handler([text](asio::ip::tcp::socket& socket) {
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(text), ignored);
        });
    }

    void start_handler(tests::byte_server::handler serve)
    {
        server = std::make_unique<tests::byte_server>(std::move(serve));
        client = std::make_unique<http::client>(context.get_executor(), "127.0.0.1", server->port());
    }

    // Sends a request and returns the response. Throws transport_error as the client does.
    http::response send()
    {
        std::future<http::response> result =
            asio::co_spawn(context, client->send({}, std::chrono::seconds(5)), asio::use_future);
        context.restart();
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        return result.get();
    }

    // Sends a request and returns its failure, or no value if it gets a response.
    std::optional<http::transport_failure> find_failure()
    {
        try {
            send();
        } catch (const http::transport_error& error) {
            return error.kind();
        }
        return std::nullopt;
    }
};

// Guards against a response that is not valid HTTP and is taken for an answer: a writer then believes that
// its request was rejected, while it may have been executed.
TEST(client_response, a_malformed_response_is_an_interrupted_request)
{
    start(with_field("Name: x"));
    LONGS_EQUAL(200, send().status);
    for (const malformed_response& sent : malformed_responses()) {
        start(sent.text);
        CHECK_TEXT(find_failure() == http::transport_failure::interrupted, sent.name);
    }
}

// Guards against a part of a body without length that is taken for the whole body after a reset.
TEST(client_response, a_reset_completes_no_response_without_length)
{
    start_handler([](asio::ip::tcp::socket& socket) {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n\r\n{}"s), ignored);
        tests::reset(socket);
    });
    CHECK(find_failure() == http::transport_failure::interrupted);
}

// Guards against taking the fields after the last chunk for header fields.
TEST(client_response, trailer_fields_do_not_become_header_fields)
{
    start("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: a\r\n\r\n");
    const http::response response = send();
    STRCMP_EQUAL("body", response.body.c_str());
    CHECK_FALSE(http::find_header(response.headers, "X-Trailer").has_value());
}

// Guards against taking an interim response for the answer: the final response is then taken for the answer
// to the next request on the connection.
TEST(client_response, interim_responses_are_skipped)
{
    start_handler([](asio::ip::tcp::socket& socket) {
        const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
        boost::system::error_code error;
        asio::write(socket, asio::buffer(interim + interim), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        asio::write(socket, asio::buffer(final + "one"), error);
        std::string second_request;
        asio::read_until(socket, asio::dynamic_buffer(second_request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(interim + final + "two"), error);
    });
    STRCMP_EQUAL("one", send().body.c_str());
    STRCMP_EQUAL("two", send().body.c_str());
}

// Guards against a request that waits for the final response behind interim ones without end.
TEST(client_response, interim_responses_without_end_are_given_up)
{
    std::string text;
    for (unsigned count = 0; count <= http::max_interim_responses; ++count) {
        text += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    start(text + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    CHECK(find_failure() == http::transport_failure::interrupted);
}
