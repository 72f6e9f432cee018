// A pause in a loop of coroutines that can be ended early.

#pragma once

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzalspan::store
{

// Every function runs on the executor given.
class stoppable_timer
{
public:
    explicit stoppable_timer(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    // Waits, or returns at once if the timer is stopped before or meanwhile.
    boost::asio::awaitable<void> wait(core::duration duration);

    void stop();
    bool is_stopped() const { return m_is_stopped; }

private:
    boost::asio::steady_timer m_timer;
    bool m_is_stopped = false;
};

} // namespace quetzalspan::store
