// Runs the two HTTP servers of the store stand-in and routes their requests to the service.

#include "standins/store/store_server.h"

#include "core/log_event.h"

namespace quetzalspan::standin_store
{

namespace asio = boost::asio;

namespace
{

// A value of 1 MiB, the largest allowed, can need twice its size as a JSON string.
constexpr std::uint64_t body_limit_bytes = 4 * 1024 * 1024;

} // namespace

store_server::store_server(asio::any_io_executor executor, std::string host,
                           std::shared_ptr<store_service> service)
    : m_executor(std::move(executor)), m_host(std::move(host)), m_service(std::move(service))
{
}

std::shared_ptr<store_server> store_server::create(asio::any_io_executor executor, const std::string& host,
                                                   std::uint16_t port, std::uint16_t control_port,
                                                   std::shared_ptr<store_service> service)
{
    const std::shared_ptr<store_server> created(
        new store_server(std::move(executor), host, std::move(service)));
    created->m_server = created->listen(port);
    created->m_port = created->m_server->port();
    created->m_control_server = created->listen(control_port);
    return created;
}

std::shared_ptr<http::server> store_server::listen(std::uint16_t port)
{
    http::server_options options;
    options.body_limit_bytes = body_limit_bytes;
    const std::weak_ptr<store_server> weak_self = weak_from_this();
    return http::server::create(m_executor, m_host, port, options,
                                [weak_self](http::request message) -> asio::awaitable<http::response> {
                                    const std::shared_ptr<store_server> self = weak_self.lock();
                                    if (!self) {
                                        http::response response;
                                        response.close_without_response = true;
                                        co_return response;
                                    }
                                    co_return co_await self->handle(std::move(message));
                                });
}

void store_server::start()
{
    m_server->start();
    m_control_server->start();
}

void store_server::stop()
{
    if (m_server) {
        m_server->stop();
    }
    m_control_server->stop();
}

void store_server::apply_availability()
{
    const bool is_refusing = m_service->current_availability() == availability::refusing;
    if (is_refusing && m_server) {
        m_server->stop();
        m_server.reset();
    }
    if (!is_refusing && !m_server) {
        m_server = listen(m_port);
        m_server->start();
    }
}

asio::awaitable<http::response> store_server::handle(http::request message)
{
    if (message.target.starts_with("/standin/")) {
        http::response response = m_service->handle_control(message);
        apply_availability();
        co_return response;
    }
    co_return co_await m_service->handle(std::move(message));
}

} // namespace quetzalspan::standin_store
