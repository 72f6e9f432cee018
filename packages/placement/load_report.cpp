// Parses load reports strictly, since endpoints in trouble may send anything.

#include "placement/load_report.h"

#include <array>
#include <charconv>

namespace quetzalspan::placement
{

std::optional<load_report> parse_load_report(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (index > 0) {
            if (position == end || *position != ',') {
                return std::nullopt;
            }
            ++position;
        }
        const std::from_chars_result parsed = std::from_chars(position, end, numbers[index]);
        if (parsed.ec != std::errc()) {
            return std::nullopt;
        }
        position = parsed.ptr;
    }
    const bool is_valid = position == end && numbers[2] > 0;
    return is_valid ? std::optional<load_report>({numbers[0], numbers[1], numbers[2]}) : std::nullopt;
}

} // namespace quetzalspan::placement
