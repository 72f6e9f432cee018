// Reads CLOCK_BOOTTIME of Linux.

#include "core/boot_clock.h"

#include <cerrno>
#include <ctime>
#include <system_error>

namespace quetzalspan::core
{

boot_clock::time_point boot_clock::now()
{
    timespec value{};
    if (::clock_gettime(CLOCK_BOOTTIME, &value) != 0) {
        throw std::system_error(errno, std::generic_category(), "clock_gettime");
    }
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace quetzalspan::core
