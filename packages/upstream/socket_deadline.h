// A deadline for the socket operations of one coroutine. Changing the deadline costs no timer operation
// unless it becomes earlier, so a connection can set it before each operation.

#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quetzalspan::upstream
{

// Owned by shared pointers, because the handler of its timer can run after the coroutine has ended. Used on
// one strand only.
class socket_deadline : public std::enable_shared_from_this<socket_deadline>
{
public:
    // The executor must be the strand of the coroutine.
    static std::shared_ptr<socket_deadline> create(const boost::asio::any_io_executor& executor);

    socket_deadline(const socket_deadline&) = delete;
    socket_deadline& operator=(const socket_deadline&) = delete;

    // Sets the deadline: the action is called once when the time is reached, unless the deadline is changed
    // or cleared before.
    void set(core::instant time);

    // Sets the action to call when a deadline is reached. It must end the pending operation.
    void set_expiry_handler(std::function<void()> action) { m_action = std::move(action); }

    // Removes the deadline; the action stays.
    void clear() { m_is_set = false; }

    // Removes the deadline and the action and cancels the timer. To be called when the coroutine ends.
    void stop();

    // Returns whether the deadline that was set last was reached.
    bool has_expired() const { return m_has_expired; }

private:
    explicit socket_deadline(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    void start_timer(core::instant time);
    void handle_timer(std::uint64_t generation);

    boost::asio::steady_timer m_timer;
    std::function<void()> m_action;
    // The deadline, while m_is_set.
    core::instant m_time;
    // The time at which the timer fires, while m_is_armed. It is never later than the deadline: if it is
    // earlier, the timer is started again when it fires.
    core::instant m_armed_time;
    // Counts the waits of the timer, so that a handler recognizes that its wait was replaced by a later one.
    std::uint64_t m_generation = 0;
    bool m_is_set = false;
    bool m_is_armed = false;
    bool m_has_expired = false;
};

} // namespace quetzalspan::upstream
