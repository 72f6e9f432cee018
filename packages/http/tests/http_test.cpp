// Tests of the HTTP client and server for control messages against each other, and of request targets.

#include "http/client.h"
#include "http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
namespace asio = boost::asio;

TEST_GROUP(http)
{
    asio::io_context context;

    std::shared_ptr<http::server> start_echo_server(http::server_options options)
    {
        std::shared_ptr<http::server> server =
            http::server::create(context.get_executor(), "127.0.0.1", 0, options,
                                 [](http::request message) -> asio::awaitable<http::response> {
                                     http::response answer;
                                     answer.body = message.method + " " + message.target + " " + message.body;
                                     co_return answer;
                                 });
        server->start();
        return server;
    }

    // Runs the coroutine to its end and returns its result.
    template <typename Result>
    Result run(asio::awaitable<Result> coroutine)
    {
        std::future<Result> result = asio::co_spawn(context, std::move(coroutine), asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        return result.get();
    }
};

// Guards against a response that belongs to another request on the same keep-alive connection.
TEST(http, each_request_on_a_connection_gets_its_own_response)
{
    const std::shared_ptr<http::server> server = start_echo_server({});
    http::client client(context.get_executor(), "127.0.0.1", server->port());
    for (int index = 0; index < 5; ++index) {
        http::request message;
        message.method = "POST";
        message.target = "/" + std::to_string(index);
        message.body = "body";
        const http::response answer = run(client.send(message, std::chrono::seconds(5)));
        STRCMP_EQUAL(("POST /" + std::to_string(index) + " body").c_str(), answer.body.c_str());
    }
    server->stop();
}

// Guards against a request body that uses memory without limit.
TEST(http, oversized_body_is_rejected)
{
    http::server_options options;
    options.body_limit_bytes = 10;
    const std::shared_ptr<http::server> server = start_echo_server(options);
    http::client client(context.get_executor(), "127.0.0.1", server->port());
    http::request message;
    message.method = "POST";
    message.body = "more than ten bytes";
    LONGS_EQUAL(413, run(client.send(message, std::chrono::seconds(5))).status);
    LONGS_EQUAL(1, server->rejected_message_count());
    server->stop();
}

// Guards against a refused connection that is reported as a lost request.
TEST(http, refused_connection_is_reported_as_refused)
{
    std::uint16_t port = 0;
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        port = acceptor.local_endpoint().port();
    }
    http::client client(context.get_executor(), "127.0.0.1", port);
    try {
        run(client.send({}, std::chrono::seconds(5)));
        FAIL("the request got a response although no process listens on the port");
    } catch (const http::transport_error& error) {
        CHECK_TRUE(error.kind() == http::transport_failure::refused);
    }
}

// Guards against query parameters that are returned percent-encoded.
TEST(http, target_is_decoded)
{
    const http::target parsed = http::target::create("/v1/kv/a?prefix=x%2Fy&after=3");
    STRCMP_EQUAL("/v1/kv/a", parsed.path().c_str());
    STRCMP_EQUAL("x/y", parsed.find_parameter("prefix")->c_str());
    CHECK_FALSE(parsed.find_parameter("missing").has_value());
    CHECK_THROWS(std::invalid_argument, http::target::create("no path"));
}

// Guards against a connection attempt that uses up the whole timeout of the request: in a network partition,
// only a new attempt notices that the partition has ended.
TEST(http, connecting_fails_after_the_connect_timeout)
{
    // The backlog of a listener that accepts nothing fills up, and further attempts get no answer.
    asio::ip::tcp::acceptor listener(context);
    listener.open(asio::ip::tcp::v4());
    listener.bind({asio::ip::make_address("127.0.0.1"), 0});
    listener.listen(0);
    std::vector<asio::ip::tcp::socket> queued_sockets;
    for (int index = 0; index < 4; ++index) {
        queued_sockets.emplace_back(context);
        queued_sockets.back().async_connect(listener.local_endpoint(),
                                            [](const boost::system::error_code&) {});
    }
    http::client client(context.get_executor(), "127.0.0.1", listener.local_endpoint().port(),
                        {1024, std::chrono::milliseconds(50)});
    const core::instant started_at = std::chrono::steady_clock::now();
    std::optional<http::transport_failure> failure;
    try {
        run(client.send({}, std::chrono::minutes(5)));
    } catch (const http::transport_error& error) {
        failure = error.kind();
    }
    CHECK(failure == http::transport_failure::not_connected);
    // Far above the connect timeout of 50 ms and far below the request timeout of 5 minutes.
    CHECK(std::chrono::steady_clock::now() - started_at < std::chrono::minutes(1));
    for (asio::ip::tcp::socket& socket : queued_sockets) {
        socket.close();
    }
}
