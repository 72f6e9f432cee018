// Buffers lines and writes them with poll() and write() in the background thread.

#include "core/line_writer.h"

#include <cerrno>
#include <chrono>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace quetzalspan::core
{

namespace
{

// A write of at most PIPE_BUF bytes to a pipe that poll() reports as writable does not block.
constexpr std::size_t max_write_bytes = PIPE_BUF;
constexpr int poll_timeout_ms = 100;
// Attempts to write the remaining lines in the destructor before they are discarded.
constexpr int max_polls_at_stop = 3;

} // namespace

line_writer::line_writer(int descriptor, std::size_t buffer_limit_bytes)
    : m_descriptor(descriptor), m_buffer_limit_bytes(buffer_limit_bytes), m_thread([this] { run(); })
{
}

line_writer::~line_writer()
{
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_is_stopping = true;
    }
    m_wakeup.notify_one();
    m_thread.join();
}

void line_writer::write(std::string_view line)
{
    bool is_wakeup_due = false;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (m_pending.size() + line.size() > m_buffer_limit_bytes) {
            ++m_unreported_drops;
            m_dropped_lines.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        const bool was_empty = m_pending.empty();
        const bool was_below_limit = m_pending.size() < collect_limit_bytes;
        if (m_unreported_drops > 0) {
            m_pending += "event=log_lines_dropped count=" + std::to_string(m_unreported_drops) + "\n";
            m_unreported_drops = 0;
        }
        m_pending += line;
        is_wakeup_due = was_empty || (was_below_limit && m_pending.size() >= collect_limit_bytes);
    }
    if (is_wakeup_due) {
        m_wakeup.notify_one();
    }
}

std::size_t line_writer::write_some(std::string_view text)
{
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, poll_timeout_ms) <= 0 || (ready.revents & POLLOUT) == 0) {
        return 0;
    }
    m_write_calls.fetch_add(1, std::memory_order_relaxed);
    const ssize_t written = ::write(m_descriptor, text.data(), std::min(text.size(), max_write_bytes));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void line_writer::run()
{
    std::string unwritten;
    int polls_left = max_polls_at_stop;
    while (true) {
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_wakeup.wait(lock, [&] { return m_is_stopping || !m_pending.empty(); });
            m_wakeup.wait_for(lock, collect_time,
                              [&] { return m_is_stopping || m_pending.size() >= collect_limit_bytes; });
            unwritten += m_pending;
            m_pending.clear();
            if (m_is_stopping && (unwritten.empty() || polls_left == 0)) {
                return;
            }
            polls_left -= m_is_stopping ? 1 : 0;
        }
        std::string_view rest = unwritten;
        while (!rest.empty()) {
            const std::size_t written = write_some(rest);
            if (written == 0) {
                break;
            }
            rest.remove_prefix(written);
        }
        unwritten.erase(0, unwritten.size() - rest.size());
        if (!unwritten.empty()) {
            // Returned to the buffer, so that the unwritten bytes count towards the limit.
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_pending.insert(0, unwritten);
            unwritten.clear();
        }
    }
}

} // namespace quetzalspan::core
