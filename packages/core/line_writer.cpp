// Implements the writer of lines.

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

// A write of at most this size to a pipe that is ready does not block.
constexpr std::size_t write_limit_bytes = PIPE_BUF;
constexpr int poll_milliseconds = 100;
// What is left at the end is written for at most so many polls.
constexpr int last_polls = 3;

} // namespace

line_writer::line_writer(int descriptor, std::size_t limit_bytes)
    : m_descriptor(descriptor), m_limit_bytes(limit_bytes), m_thread([this] { run(); })
{
}

line_writer::~line_writer()
{
    {
        const std::lock_guard<std::mutex> guard(m_guard);
        m_is_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void line_writer::write(std::string_view line)
{
    {
        const std::lock_guard<std::mutex> guard(m_guard);
        if (m_pending.size() + line.size() > m_limit_bytes) {
            ++m_unreported;
            m_dropped.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        if (m_unreported > 0) {
            m_pending += "event=log_lines_dropped count=" + std::to_string(m_unreported) + "\n";
            m_unreported = 0;
        }
        m_pending += line;
    }
    m_changed.notify_one();
}

std::size_t line_writer::write_some(std::string_view text) const
{
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, poll_milliseconds) <= 0 || (ready.revents & POLLOUT) == 0) {
        return 0;
    }
    const ssize_t written = ::write(m_descriptor, text.data(), std::min(text.size(), write_limit_bytes));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void line_writer::run()
{
    std::string text;
    int polls_left = last_polls;
    while (true) {
        {
            std::unique_lock<std::mutex> lock(m_guard);
            m_changed.wait(lock, [&] { return m_is_stopping || !m_pending.empty() || !text.empty(); });
            text += m_pending;
            m_pending.clear();
            if (m_is_stopping && (text.empty() || polls_left == 0)) {
                return;
            }
            polls_left -= m_is_stopping ? 1 : 0;
        }
        std::string_view rest = text;
        while (!rest.empty()) {
            const std::size_t written = write_some(rest);
            if (written == 0) {
                break;
            }
            rest.remove_prefix(written);
        }
        text.erase(0, text.size() - rest.size());
        if (!text.empty()) {
            // Counts what could not be written against the limit again.
            const std::lock_guard<std::mutex> guard(m_guard);
            m_pending.insert(0, text);
            text.clear();
        }
    }
}

} // namespace quetzalspan::core
