// Tests of the client with servers whose responses are given as bytes.

#include "http/client.h"
#include "tests/support/byte_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
namespace asio = boost::asio;

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
};

// Guards against taking the fields after the last chunk for header fields.
TEST(client_response, trailer_fields_do_not_become_header_fields)
{
    start("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: a\r\n\r\n");
    const http::response response = send();
    STRCMP_EQUAL("body", response.body.c_str());
    CHECK_FALSE(http::find_header(response.headers, "X-Trailer").has_value());
}
