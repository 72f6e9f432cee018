// Writes a failed assertion as an invariant_broken event and aborts.

#include "core/check.h"

#include <cstdio>
#include <cstdlib>

namespace quetzalspan::core
{

void unreachable(const char* message, boost::source_location location)
{
    std::fprintf(stderr, "event=invariant_broken file=%s line=%u message=\"%s\"\n", location.file_name(),
                 static_cast<unsigned>(location.line()), message);
    std::abort();
}

void check(bool condition, const char* message, boost::source_location location)
{
    if (!condition) {
        unreachable(message, location);
    }
}

} // namespace quetzalspan::core
