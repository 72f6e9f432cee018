// Starts the timer of a deadline again when the deadline has moved, and calls the action when it is reached.

#include "upstream/socket_deadline.h"

namespace quetzalspan::upstream
{

std::shared_ptr<socket_deadline> socket_deadline::create(const boost::asio::any_io_executor& executor)
{
    return std::shared_ptr<socket_deadline>(new socket_deadline(executor));
}

void socket_deadline::set(core::instant time)
{
    m_time = time;
    m_is_set = true;
    m_has_expired = false;
    if (!m_is_armed || time < m_armed_time) {
        start_timer(time);
    }
}

void socket_deadline::stop()
{
    m_is_set = false;
    m_action = nullptr;
    m_timer.cancel();
}

void socket_deadline::start_timer(core::instant time)
{
    m_is_armed = true;
    m_armed_time = time;
    const std::uint64_t generation = ++m_generation;
    m_timer.expires_at(time);
    m_timer.async_wait([self = shared_from_this(), generation](const boost::system::error_code& error) {
        if (!error) {
            self->handle_timer(generation);
        }
    });
}

void socket_deadline::handle_timer(std::uint64_t generation)
{
    if (generation != m_generation) {
        return;
    }
    m_is_armed = false;
    if (!m_is_set) {
        return;
    }
    if (m_time > m_armed_time) {
        start_timer(m_time);
        return;
    }
    m_is_set = false;
    m_has_expired = true;
    if (m_action) {
        m_action();
    }
}

} // namespace quetzalspan::upstream
