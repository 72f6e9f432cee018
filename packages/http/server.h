// An HTTP/1.1 server for small control messages. It serves the admin interface, the messages between
// instances and the stand-in of the store.

#pragma once

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quetzalspan::http
{

struct server_options {
    // Largest accepted request body.
    std::uint64_t body_limit_bytes = 1024 * 1024 + 64 * 1024;
    // Largest accepted total size of the request line and the headers.
    std::uint32_t header_limit_bytes = 16 * 1024;
    // Connections beyond this number are closed at once.
    std::uint32_t connection_limit = 4096;
    // Time limit for receiving one request, counted from when the server starts to wait for it, and likewise
    // for sending one response. An idle connection is closed after it too.
    core::duration message_timeout = std::chrono::seconds(60);
};

using request_handler = std::function<boost::asio::awaitable<response>(request)>;

// Accepts connections until it is stopped. Malformed requests get status 400, and requests over a size limit
// 413 or 431; both are counted as rejected. If the handler throws std::invalid_argument, the response has
// status 400, and for any other exception 500; the text of the exception is the body.
class server : public std::enable_shared_from_this<server>
{
public:
    // Binds and listens on the numeric IP address and the port; port 0 chooses a free port. Throws
    // boost::system::system_error if the address is invalid or cannot be bound.
    static std::shared_ptr<server> create(boost::asio::any_io_executor executor, const std::string& host,
                                          std::uint16_t port, server_options options,
                                          request_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Starts to accept connections.
    void start();

    // Closes the listening socket. Running requests are completed, and their connections are closed after the
    // response. Idle connections stay open until their next request or the message timeout.
    void stop();

    // Returns the port that is bound.
    std::uint16_t port() const { return m_port; }
    // Returns how many requests were malformed or over a size limit, plus the connections that were closed
    // for the connection limit.
    std::uint64_t rejected_message_count() const { return m_rejected_message_count.load(); }

private:
    server(boost::asio::any_io_executor executor, server_options options, request_handler handler);

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve_connection(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    server_options m_options;
    request_handler m_handler;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_is_stopped{false};
    std::atomic<std::uint32_t> m_connection_count{0};
    std::atomic<std::uint64_t> m_rejected_message_count{0};
};

} // namespace quetzalspan::http
