// Proxy between a client and the store stand-in, which delays the responses to watches while it is closed.

#pragma once

#include "http/client.h"
#include "http/server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace quetzalspan::store
{

class watch_delay_proxy
{
public:
    watch_delay_proxy(boost::asio::io_context& context, std::uint16_t store_port)
        : m_store(context.get_executor(), "127.0.0.1", store_port), m_opening(context)
    {
        m_opening.expires_at(boost::asio::steady_timer::time_point::max());
        m_server =
            http::server::create(context.get_executor(), "127.0.0.1", 0, {},
                                 [this](http::request message) { return forward(std::move(message)); });
        m_server->start();
    }

    std::uint16_t port() const { return m_server->port(); }
    void close() { m_is_closed = true; }
    void open()
    {
        m_is_closed = false;
        m_opening.cancel();
    }
    // Returns the number of watch responses that are being delayed.
    int held() const { return m_held; }

private:
    boost::asio::awaitable<http::response> forward(http::request message)
    {
        const bool is_watch = message.target.starts_with("/v1/watch");
        // A variable, because GCC 12 destroys an aggregate temporary in the operand of co_await twice.
        http::request forwarded{message.method, message.target, {}, message.body};
        http::response response = co_await m_store.send(std::move(forwarded), std::chrono::seconds(30));
        response.headers.clear();
        if (is_watch && m_is_closed) {
            ++m_held;
            boost::system::error_code ignored;
            co_await m_opening.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            --m_held;
        }
        co_return response;
    }

    http::client m_store;
    // Never expires; open() cancels it to release the delayed responses.
    boost::asio::steady_timer m_opening;
    std::shared_ptr<http::server> m_server;
    bool m_is_closed = false;
    int m_held = 0;
};

} // namespace quetzalspan::store
