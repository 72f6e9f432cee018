// Time types of all packages. Functions whose result depends on the time take it as an argument; only the
// services read a clock.

#pragma once

#include <chrono>

namespace quetzalspan::core
{

// Monotonic time of one process. Instants of different processes cannot be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using duration = std::chrono::nanoseconds;

// Wall-clock time, for schedules that must give the same result on several instances.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Returns the duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Returns the duration in seconds, including the fraction.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace quetzalspan::core
