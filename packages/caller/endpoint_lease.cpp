// Creates, moves and releases endpoint leases; the release function is called exactly once.

#include "caller/endpoint_lease.h"

#include <utility>

namespace quetzalspan::caller
{

endpoint_lease endpoint_lease::create(std::string identity, const std::string& host, std::uint16_t port,
                                      release_function release)
{
    return {std::move(identity), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(host), port),
            std::move(release)};
}

endpoint_lease::endpoint_lease(std::string identity, boost::asio::ip::tcp::endpoint address,
                               release_function release)
    : m_identity(std::move(identity)), m_address(std::move(address)), m_release(std::move(release))
{
}

endpoint_lease::endpoint_lease(endpoint_lease&& other) noexcept
    : m_identity(std::move(other.m_identity)),
      m_address(std::move(other.m_address)),
      m_release(std::exchange(other.m_release, nullptr)),
      m_opened_until(other.m_opened_until),
      m_may_reconnect(std::move(other.m_may_reconnect)),
      m_on_connection(std::move(other.m_on_connection))
{
}

endpoint_lease::~endpoint_lease()
{
    release(attempt_result());
}

void endpoint_lease::report_connection(core::instant opened_at, core::instant now) const
{
    if (m_on_connection) {
        m_on_connection(opened_at, now);
    }
}

void endpoint_lease::release(const attempt_result& result)
{
    if (const release_function function = std::exchange(m_release, nullptr)) {
        function(result);
    }
}

} // namespace quetzalspan::caller
