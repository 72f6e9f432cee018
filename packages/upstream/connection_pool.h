// A pool of connections to upstream endpoints: keeps idle connections open for reuse and limits the number of
// connections to each endpoint.

#pragma once

#include "core/time.h"
#include "upstream/message_reader.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace quetzalspan::upstream
{

struct connection_pool_options {
    // Connections of this instance to one endpoint, idle ones included. The limit of
    // the endpoint itself applies to the connections of all instances together.
    std::uint32_t max_connections = 40;
    // Idle connections kept for one endpoint.
    std::uint32_t max_idle_connections = 16;
    // A connection that has been idle for this time is closed instead of reused. The time is shorter than the
    // usual keep-alive time of servers, so that a server seldom closes a connection just as a request is
    // written to it.
    core::duration idle_lifetime = std::chrono::seconds(20);
    // A connection that the endpoint closes after a shorter idle time is taken for a sign that the endpoint
    // has ended. Servers usually keep idle connections for longer.
    core::duration min_keep_alive = std::chrono::seconds(5);
    std::uint32_t header_limit_bytes = 32 * 1024;
};

// What an idle connection can be used for.
enum class idle_state {
    // Another request. The peer has not closed it, and no bytes were received, which would be taken for the
    // response to that request.
    reusable,
    closed_by_peer,
    has_unread_bytes,
};

// A connection to an endpoint with the bytes received on it. Used by one request at a time.
class connection
{
public:
    connection(const boost::asio::any_io_executor& executor, std::uint64_t number,
               std::uint32_t header_limit_bytes);

    // Returns the number that the pool gave to this connection alone, from 1.
    std::uint64_t number() const { return m_number; }
    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    message_reader<false>& reader() { return m_reader; }

    // Turns on TCP_NODELAY and non-blocking mode. The socket must be connected; now is when it was.
    void initialize(core::instant now);
    // Returns when the connection was opened.
    core::instant opened_at() const { return m_opened_at; }

    idle_state check_idle();

    // Returns whether the connection has failed, for example by a reset, or was closed on this side. That the
    // peer has stopped sending is no failure. Leaves the error of the socket to the next read or write.
    bool has_failed();

private:
    std::uint64_t m_number;
    core::instant m_opened_at;
    boost::asio::ip::tcp::socket m_socket;
    message_reader<false> m_reader;
};

// The numbers of the connections that earlier attempts of a request used.
using connection_numbers = std::vector<std::uint64_t>;

// Which connections an attempt may use.
struct connection_filter {
    connection_numbers excluded;
    // If there is a value, only connections opened at this time or before, and none may be opened.
    std::optional<core::instant> opened_until;
};

struct idle_result {
    // Null if no idle connection may be used.
    std::unique_ptr<connection> handle;
    // Whether the endpoint had closed one of the idle connections sooner than one that runs does.
    bool was_closed_early = false;
};

// Thread-safe. The pool must outlive the connections taken from it.
class connection_pool
{
public:
    connection_pool(const boost::asio::any_io_executor& executor, connection_pool_options options);

    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    // Takes a reusable idle connection that the filter allows. Closes the idle connections that it finds
    // expired or not reusable.
    idle_result take_idle(const boost::asio::ip::tcp::endpoint& address, core::instant now,
                          const connection_filter& filter = {});

    // Returns whether an idle connection was opened at the given time or before. It may have been closed
    // since.
    bool has_idle(const boost::asio::ip::tcp::endpoint& address, core::instant opened_until) const;

    // Returns whether an idle connection can carry a request, and leaves it in the pool.
    bool has_working_idle(const boost::asio::ip::tcp::endpoint& address) const;

    // Returns a connection whose socket is not open yet, or null if max_connections is reached.
    std::unique_ptr<connection> create_connection(const boost::asio::ip::tcp::endpoint& address);

    // Returns a connection to the pool. Its last response must be complete, and the caller must have checked
    // that the peer keeps it open. Closes the connection instead if the endpoint has max_idle_connections.
    void put_idle(const boost::asio::ip::tcp::endpoint& address, std::unique_ptr<connection> used,
                  core::instant now);

    // Closes a connection that must not be used again.
    void discard(const boost::asio::ip::tcp::endpoint& address, std::unique_ptr<connection> used);

    // Closes idle connections that are past their lifetime. Meant to be called by a timer, since the idle
    // connections of an endpoint without requests would stay open otherwise.
    void close_expired(core::instant now);

    // Returns the number of connections to the endpoint, idle ones included.
    std::uint32_t open_connections(const boost::asio::ip::tcp::endpoint& address) const;

    // Returns the number of connections created since the start, from which the reuse rate is computed.
    std::uint64_t created_connections() const { return m_created.load(std::memory_order_relaxed); }

private:
    struct idle_connection {
        std::unique_ptr<connection> handle;
        core::instant idle_since;
    };
    struct endpoint_connections {
        // Idle connections and those in use; at most max_connections.
        std::uint32_t open_count = 0;
        // Ordered by idle_since, the longest idle first.
        std::vector<idle_connection> idle;
    };

    boost::asio::any_io_executor m_executor;
    connection_pool_options m_options;
    mutable std::mutex m_mutex;
    std::map<boost::asio::ip::tcp::endpoint, endpoint_connections> m_endpoints;
    std::atomic<std::uint64_t> m_created{0};
};

} // namespace quetzalspan::upstream
