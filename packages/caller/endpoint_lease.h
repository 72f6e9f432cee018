// The permission to send one request to an endpoint, and the result that is reported when it is returned.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quetzalspan::caller
{

// How an attempt at an endpoint ended, as input for load balancing and health checks.
struct attempt_result {
    // Why the attempt failed; no value if a complete response was relayed.
    std::optional<dispatch::failure> failure;
    // HTTP status of the response; 0 if there was none.
    unsigned status = 0;
    // Whether a response announced that the endpoint is draining.
    bool is_draining = false;
    // For how long the endpoint asked for no further request; no value if it did not.
    std::optional<core::duration> wait;
    // Whether the endpoint was contacted. If not, the result says nothing about its health.
    bool was_contacted = false;
    // The connection, by its number in the pool, and whether an earlier request used it; 0 if none was
    // opened.
    std::uint64_t connection_number = 0;
    bool is_connection_reused = false;
    // When the connection was opened; the latest possible time if none was.
    core::instant connection_opened_at = core::instant::max();
    // Whether the endpoint has ended: it broke the connection off, and its address refuses new ones.
    bool has_endpoint_ended = false;
    // Time from the creation of the lease to the response's header, and to the end of the attempt.
    core::duration time_to_header{0};
    core::duration total_time{0};
    // The requests per second that the endpoint takes from all instances together, infinity if its response
    // names no limit; no value if it did not respond to this request.
    std::optional<double> rate_limit;
    // Value of the response's load field; empty if the response has none.
    std::string load_report;
};

class endpoint_lease
{
public:
    using release_function = std::function<void(const attempt_result&)>;

    // Returns whether a connection may be opened now in place of one that the endpoint has closed early.
    using reconnect_function = std::function<bool()>;

    // Called before the request is written, with the time at which the connection of the attempt was opened.
    using connection_function = std::function<void(core::instant opened_at, core::instant now)>;

    // Creates a lease for a numeric address. Throws boost::system::system_error if the host is not one.
    static endpoint_lease create(std::string identity, const std::string& host, std::uint16_t port,
                                 release_function release);

    endpoint_lease(endpoint_lease&& other) noexcept;
    endpoint_lease& operator=(endpoint_lease&&) = delete;

    // Releases the lease with the result of an attempt that did not contact the endpoint, unless it was
    // released before.
    ~endpoint_lease();

    // Calls the release function with the result. Only the first call has an effect.
    void release(const attempt_result& result);

    // Allows only connections opened at the given time or before; none may be opened.
    void restrict_to_connections(core::instant opened_until) { m_opened_until = opened_until; }
    // Without this function, a connection may be opened.
    void set_reconnect_check(reconnect_function may_reconnect) { m_may_reconnect = std::move(may_reconnect); }

    void set_connection_handler(connection_function on_connection)
    {
        m_on_connection = std::move(on_connection);
    }
    void report_connection(core::instant opened_at, core::instant now) const;

    const std::string& identity() const { return m_identity; }
    const std::optional<core::instant>& opened_until() const { return m_opened_until; }
    const reconnect_function& reconnect_check() const { return m_may_reconnect; }
    const boost::asio::ip::tcp::endpoint& address() const { return m_address; }

private:
    endpoint_lease(std::string identity, boost::asio::ip::tcp::endpoint address, release_function release);

    std::string m_identity;
    boost::asio::ip::tcp::endpoint m_address;
    // Empty after the lease was released or moved from.
    release_function m_release;
    std::optional<core::instant> m_opened_until;
    reconnect_function m_may_reconnect;
    connection_function m_on_connection;
};

} // namespace quetzalspan::caller
