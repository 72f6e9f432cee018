// The ports of the store stand-in: the store's port, which a simulated outage can close, and the control
// port.

#pragma once

#include "http/server.h"
#include "standins/store/store_service.h"

#include <memory>

namespace quetzalspan::standin_store
{

// Both ports handle requests of the store protocol and under /standin/. The control port stays open while the
// store's port is closed. Not thread-safe.
class store_server : public std::enable_shared_from_this<store_server>
{
public:
    // Binds both ports; port 0 chooses a free one. The host is a numeric address. Throws
    // boost::system::system_error if a port cannot be bound.
    static std::shared_ptr<store_server> create(boost::asio::any_io_executor executor,
                                                const std::string& host, std::uint16_t port,
                                                std::uint16_t control_port,
                                                std::shared_ptr<store_service> service);

    void start();
    void stop();

    // Closes or opens the store's port to match the availability set in the service. Requests under /standin/
    // do this themselves; a test that calls set_availability() calls this afterwards.
    void apply_availability();

    std::uint16_t port() const { return m_port; }
    std::uint16_t control_port() const { return m_control_server->port(); }

private:
    store_server(boost::asio::any_io_executor executor, std::string host,
                 std::shared_ptr<store_service> service);

    std::shared_ptr<http::server> listen(std::uint16_t port);
    boost::asio::awaitable<http::response> handle(http::request message);

    boost::asio::any_io_executor m_executor;
    std::string m_host;
    std::shared_ptr<store_service> m_service;
    std::uint16_t m_port = 0;
    // Null while the store refuses connections.
    std::shared_ptr<http::server> m_server;
    std::shared_ptr<http::server> m_control_server;
};

} // namespace quetzalspan::standin_store
