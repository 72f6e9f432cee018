// A monotonic clock that also counts the time for which the machine was suspended. What must expire across a
// suspension, such as the freshness of keys, is measured on it; the steady clock stands still meanwhile.

#pragma once

#include <chrono>

namespace quetzalspan::core
{

struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // Throws std::system_error if the system has no such clock.
    static time_point now();
};

using boot_instant = boot_clock::time_point;

} // namespace quetzalspan::core
