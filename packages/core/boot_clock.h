// A monotonic clock that advances while the machine is suspended, unlike the steady clock. It measures
// periods that must expire during a suspension too, such as the freshness of keys.

#pragma once

#include <chrono>

namespace quetzalspan::core
{

// Meets the requirements of a clock of <chrono>.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // Returns the time since the machine was booted. Throws std::system_error if the system has no such
    // clock.
    static time_point now();
};

using boot_instant = boot_clock::time_point;

} // namespace quetzalspan::core
