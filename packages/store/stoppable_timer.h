// A timer for the pauses of a coroutine loop. Stopping it ends the current and every later pause at once.

#pragma once

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzalspan::store
{

// All functions must run on the given executor.
class stoppable_timer
{
public:
    explicit stoppable_timer(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    // Waits for the duration, or until stop() is called. Returns at once if the timer has been stopped.
    boost::asio::awaitable<void> wait(core::duration duration);

    // Ends a wait under way. The timer cannot be started again.
    void stop();
    bool is_stopped() const { return m_is_stopped; }

private:
    boost::asio::steady_timer m_timer;
    bool m_is_stopped = false;
};

} // namespace quetzalspan::store
