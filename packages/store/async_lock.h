// A mutex for coroutines, which may be held across suspension points.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzalspan::store
{

// All functions must run on the given executor, which must be a strand if several threads run it. Waiting
// coroutines acquire the lock in no particular order.
class async_lock
{
public:
    // Releases the lock when it is destroyed.
    class guard
    {
    public:
        explicit guard(async_lock& lock) : m_lock(&lock) {}
        guard(guard&& other) noexcept : m_lock(other.m_lock) { other.m_lock = nullptr; }
        ~guard()
        {
            if (m_lock != nullptr) {
                m_lock->release();
            }
        }

        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        guard& operator=(guard&&) = delete;

    private:
        async_lock* m_lock;
    };

    explicit async_lock(const boost::asio::any_io_executor& executor) : m_released(executor) {}

    // Suspends the caller until the lock is free.
    boost::asio::awaitable<guard> acquire();

private:
    void release();

    bool m_is_held = false;
    // Never expires; release() cancels it to wake the waiting coroutines.
    boost::asio::steady_timer m_released;
};

} // namespace quetzalspan::store
