// The right to send one request to an endpoint.

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

// How an attempt at an endpoint ended, for the hook that judges endpoints.
struct attempt_result {
    // No value if a whole response was relayed.
    std::optional<dispatch::failure> at;
    // Status of the response; 0 if there was none.
    unsigned status = 0;
    // Whether the response said that the endpoint is draining.
    bool is_draining = false;
    // Whether the endpoint was contacted at all; otherwise nothing is learned about it.
    bool is_dispatched = false;
    // Time from the lease to the response's header and to the end of the attempt.
    core::duration header_time{0};
    core::duration total_time{0};
    // The load field of the response; empty if it has none.
    std::string load;
};

class endpoint_lease
{
public:
    using release_function = std::function<void(const attempt_result&)>;

    // The host is a numeric address. Throws boost::system::system_error if it is not.
    static endpoint_lease create(std::string identity, const std::string& host, std::uint16_t port,
                                 release_function release);

    endpoint_lease(endpoint_lease&& other) noexcept;
    endpoint_lease& operator=(endpoint_lease&&) = delete;

    // Releases with the result of an attempt that was not dispatched, unless released before.
    ~endpoint_lease();

    // Calls the release function; later calls do nothing.
    void release(const attempt_result& result);

    const std::string& identity() const { return m_identity; }
    const boost::asio::ip::tcp::endpoint& address() const { return m_address; }

private:
    endpoint_lease(std::string identity, boost::asio::ip::tcp::endpoint address, release_function release);

    std::string m_identity;
    boost::asio::ip::tcp::endpoint m_address;
    // Empty once called.
    release_function m_release;
};

} // namespace quetzalspan::caller
