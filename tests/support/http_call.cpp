// Blocking HTTP requests on http::client. Each request uses a connection and an event loop of its own.

#include "tests/support/http_call.h"

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace quetzalspan::tests
{

namespace
{

constexpr std::chrono::seconds request_timeout(20);

} // namespace

std::optional<http::response> send_request(std::uint16_t port, const http::request& message)
{
    boost::asio::io_context context;
    http::client client(context.get_executor(), "127.0.0.1", port);
    std::future<http::response> result =
        boost::asio::co_spawn(context, client.send(message, request_timeout), boost::asio::use_future);
    context.run();
    try {
        return result.get();
    } catch (const http::transport_error&) {
        return std::nullopt;
    }
}

std::string get_text(std::uint16_t port, const std::string& target)
{
    http::request message;
    message.target = target;
    const std::optional<http::response> response = send_request(port, message);
    return response ? response->body : std::string();
}

unsigned get_status(std::uint16_t port, const std::string& target)
{
    http::request message;
    message.target = target;
    const std::optional<http::response> response = send_request(port, message);
    return response ? response->status : 0;
}

} // namespace quetzalspan::tests
