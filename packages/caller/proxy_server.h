// The HTTP/1.1 reverse proxy that faces the callers: it answers lookups itself and forwards other requests to
// upstreams.

#pragma once

#include "caller/caller_stream.h"
#include "caller/proxy_context.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace quetzalspan::caller
{

struct exchange_memory;

class proxy_server : public std::enable_shared_from_this<proxy_server>
{
public:
    // Creates a server that listens on the numeric address; port 0 selects a free port. Connections are
    // accepted after start(). The server shares the ownership of the pool. Throws boost::system::system_error
    // if the address cannot be bound, and std::invalid_argument if a required hook is missing.
    static std::shared_ptr<proxy_server> create(boost::asio::any_io_executor executor,
                                                const std::string& host, std::uint16_t port,
                                                proxy_options options, proxy_hooks hooks,
                                                std::shared_ptr<upstream::connection_pool> pool);

    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    void start();

    // Adds "Connection: close" to all further responses, so that callers move to other instances. Connections
    // are still accepted and requests served.
    void send_connection_close();

    // Begins a graceful shutdown: accepts no further connections, adds "Connection: close" to all further
    // responses, closes connections that have no request when the linger time ends, and calls the function
    // once the last connection has ended. No request is interrupted.
    void drain(std::function<void()> on_drained);

    // Stops accepting and closes every connection immediately, which interrupts requests.
    void stop();

    std::uint16_t port() const { return m_port; }
    std::uint32_t connections() const { return m_connections.load(); }
    std::uint32_t active_requests() const { return m_context.active_requests.load(); }
    // Number of messages rejected as malformed or unsupported, plus connections rejected above the limit.
    std::uint64_t malformed_messages() const { return m_context.malformed_messages.load(); }

private:
    proxy_server(const boost::asio::any_io_executor& executor, proxy_options options, proxy_hooks hooks,
                 std::shared_ptr<upstream::connection_pool> pool);

    boost::asio::awaitable<void> accept_connections();
    // Accepts connections that wait in the backlog, up to the limit.
    void accept_backlog(std::size_t limit);
    void serve_accepted(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_stream> stream,
                                       boost::asio::any_io_executor strand);
    boost::asio::awaitable<bool> serve_request(std::shared_ptr<caller_stream> stream,
                                               boost::asio::any_io_executor strand, exchange_memory& memory);
    boost::asio::awaitable<void> reject_and_close(std::shared_ptr<caller_stream> stream,
                                                  dispatch::failure at);
    void end_connection(const std::shared_ptr<caller_stream>& stream);
    void for_each_stream(const std::function<void(caller_stream&)>& action);
    void notify_drained_once();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_linger_timer;
    proxy_context m_context;
    std::uint16_t m_port = 0;
    std::atomic<std::uint32_t> m_connections{0};
    // Protects the set of connections, the drain callback and the accepting flag. Locked when a connection
    // begins or ends, never for a single request.
    std::mutex m_mutex;
    struct open_stream {
        std::shared_ptr<caller_stream> stream;
        boost::asio::any_io_executor strand;
        bool operator<(const open_stream& other) const { return stream < other.stream; }
    };
    std::set<open_stream> m_streams;
    std::function<void()> m_on_drained;
    // Whether further connections may still be accepted.
    bool m_is_accepting = false;
    // Whether the linger time of a drain has passed, so that connections end after their current request.
    std::atomic<bool> m_has_drain_linger_ended{false};
};

} // namespace quetzalspan::caller
