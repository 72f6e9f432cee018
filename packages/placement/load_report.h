// The load that an endpoint reports with its responses.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzalspan::placement
{

struct load_report {
    // Requests that the endpoint runs and that wait there, from all instances together.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Requests that the endpoint can run at once; at least 1.
    std::uint32_t slots = 1;
};

// Parses the three numbers, separated by commas. Returns no value if the text is anything else.
std::optional<load_report> parse_load_report(std::string_view text);

} // namespace quetzalspan::placement
