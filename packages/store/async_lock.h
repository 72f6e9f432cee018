// Lets one coroutine at a time into a section that spans suspension points.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzalspan::store
{

// All functions run on the executor given, which must be a strand if several threads run it. Waiting
// coroutines enter in no particular order.
class async_lock
{
public:
    // Leaves the section at its end.
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

    boost::asio::awaitable<guard> acquire();

private:
    void release();

    bool m_is_held = false;
    boost::asio::steady_timer m_released;
};

} // namespace quetzalspan::store
