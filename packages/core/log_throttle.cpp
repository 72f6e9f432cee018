// Counts the lines that may still be written, as a bucket that refills over time.

#include "core/log_throttle.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::core
{

std::optional<std::uint64_t> log_throttle::try_take(instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (!m_refilled_at) {
        m_available_lines = m_lines_per_second;
        m_refilled_at = now;
    }
    if (now > *m_refilled_at) {
        const double refill = m_lines_per_second * to_seconds(now - *m_refilled_at);
        m_available_lines = std::min(m_lines_per_second, m_available_lines + refill);
        m_refilled_at = now;
    }
    if (m_available_lines < 1) {
        ++m_skipped_lines;
        return std::nullopt;
    }
    m_available_lines -= 1;
    return std::exchange(m_skipped_lines, 0);
}

} // namespace quetzalspan::core
