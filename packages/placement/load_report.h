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
    // How long work takes on the endpoint's machine at present, in percent of the usual time; at least 1. No
    // value if the endpoint does not tell.
    std::optional<std::uint32_t> pace_percent = std::nullopt;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Parses three or four decimal numbers, separated by commas, in the order of the members. Returns no value if
// the text is anything else, if a number is above a million, or if the slots or the pace are 0.
std::optional<load_report> parse_load_report(std::string_view text);

} // namespace quetzalspan::placement
