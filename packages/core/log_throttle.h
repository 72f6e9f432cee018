// Bounds how many log lines of one kind are written per second, and counts those that are skipped.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace quetzalspan::core
{

// Thread-safe.
class log_throttle
{
public:
    // Permits a burst of as many lines at once as in one second.
    explicit log_throttle(double lines_per_second) : m_lines_per_second(lines_per_second) {}

    log_throttle(const log_throttle&) = delete;
    log_throttle& operator=(const log_throttle&) = delete;

    // Returns how many lines were skipped since the last one that was written, if the next line may be
    // written, and no value if it has to be skipped.
    std::optional<std::uint64_t> try_take(instant now);

private:
    double m_lines_per_second;
    std::mutex m_mutex;
    // Guarded by m_mutex, as are the next two members. No value before the first call.
    std::optional<instant> m_refilled_at;
    double m_available_lines = 0;
    std::uint64_t m_skipped_lines = 0;
};

} // namespace quetzalspan::core
