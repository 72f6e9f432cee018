// Coroutine mutex based on an Asio timer whose cancellation wakes all waiting coroutines.

#include "store/async_lock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::store
{

namespace asio = boost::asio;

asio::awaitable<async_lock::guard> async_lock::acquire()
{
    while (m_is_held) {
        // Set the expiry only once, since setting it wakes the coroutines that are already waiting.
        if (m_released.expiry() != asio::steady_timer::time_point::max()) {
            m_released.expires_at(asio::steady_timer::time_point::max());
        }
        boost::system::error_code ignored;
        co_await m_released.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_is_held = true;
    co_return guard(*this);
}

void async_lock::release()
{
    m_is_held = false;
    m_released.cancel();
}

} // namespace quetzalspan::store
