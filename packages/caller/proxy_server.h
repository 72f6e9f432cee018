// The HTTP/1.1 server that faces the callers: it answers lookups and forwards requests to upstreams.

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
    // Binds the numeric address; port 0 chooses a free one. The pool must outlive the server. Throws
    // boost::system::system_error if the address cannot be bound, and std::invalid_argument if a required
    // hook is missing.
    static std::shared_ptr<proxy_server> create(boost::asio::any_io_executor executor,
                                                const std::string& host, std::uint16_t port,
                                                proxy_options options, proxy_hooks hooks,
                                                std::shared_ptr<upstream::connection_pool> pool);

    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    void start();

    // Answers with "Connection: close" from now on, so that callers move to other instances. Connections are
    // still accepted and requests served.
    void announce_close();

    // Begins a planned stop: accepts no further connection, answers with "Connection: close" from now on,
    // closes connections that stay without a request for the linger time, and calls the function once the
    // last connection has ended. No request is interrupted.
    void drain(std::function<void()> on_idle);

    // Stops accepting and closes every connection at once, interrupting requests.
    void stop();

    std::uint16_t port() const { return m_port; }
    std::uint32_t connections() const { return m_connections.load(); }
    std::uint32_t active_requests() const { return m_context.active_requests.load(); }
    // Messages that were no acceptable HTTP, and connections above the limit.
    std::uint64_t malformed_messages() const { return m_context.malformed_messages.load(); }

private:
    proxy_server(const boost::asio::any_io_executor& executor, proxy_options options, proxy_hooks hooks,
                 std::shared_ptr<upstream::connection_pool> pool);

    boost::asio::awaitable<void> accept_connections();
    void accept_backlog();
    void serve_accepted(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_stream> stream,
                                       boost::asio::any_io_executor strand);
    boost::asio::awaitable<bool> serve_request(std::shared_ptr<caller_stream> stream,
                                               boost::asio::any_io_executor strand, exchange_memory& memory);
    boost::asio::awaitable<void> reject_message(std::shared_ptr<caller_stream> stream, dispatch::failure at);
    void end_connection(const std::shared_ptr<caller_stream>& stream);
    void for_each_stream(const std::function<void(caller_stream&)>& action);
    void report_idle_once();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_linger_timer;
    proxy_context m_context;
    std::uint16_t m_port = 0;
    std::atomic<std::uint32_t> m_connections{0};
    // Guards the members below. Taken when a connection begins or ends, never for a request.
    std::mutex m_guard;
    struct open_stream {
        std::shared_ptr<caller_stream> stream;
        boost::asio::any_io_executor strand;
        bool operator<(const open_stream& other) const { return stream < other.stream; }
    };
    std::set<open_stream> m_streams;
    std::function<void()> m_on_idle;
    // Whether further connections can come.
    bool m_is_accepting = false;
    // Whether connections without a request are closed at once.
    std::atomic<bool> m_is_linger_over{false};
};

} // namespace quetzalspan::caller
