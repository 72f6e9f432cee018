// Waits on an Asio timer, which stop() cancels.

#include "store/stoppable_timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::store
{

namespace asio = boost::asio;

asio::awaitable<void> stoppable_timer::wait(core::duration duration)
{
    if (m_is_stopped) {
        co_return;
    }
    m_timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void stoppable_timer::stop()
{
    m_is_stopped = true;
    m_timer.cancel();
}

} // namespace quetzalspan::store
