// Parses load reports strictly, since endpoints in trouble may send anything.

#include "placement/load_report.h"

#include <array>
#include <charconv>

namespace quetzalspan::placement
{

namespace
{

constexpr std::size_t min_numbers = 3;
constexpr std::size_t max_numbers = 4;
// Far above the requests that an endpoint holds and any pace.
constexpr std::uint32_t max_number = 1'000'000;

} // namespace

std::optional<load_report> parse_load_report(std::string_view text)
{
    std::array<std::uint32_t, max_numbers> numbers{};
    std::size_t count = 0;
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    while (count < max_numbers) {
        const std::from_chars_result parsed = std::from_chars(position, end, numbers[count]);
        if (parsed.ec != std::errc() || numbers[count] > max_number) {
            return std::nullopt;
        }
        ++count;
        position = parsed.ptr;
        if (position == end) {
            break;
        }
        if (*position != ',') {
            return std::nullopt;
        }
        ++position;
    }
    const bool has_pace = count == max_numbers;
    const bool ends_with_comma = !text.empty() && text.back() == ',';
    if (count < min_numbers || position != end || ends_with_comma || numbers[2] == 0 ||
        (has_pace && numbers[3] == 0)) {
        return std::nullopt;
    }
    load_report result{numbers[0], numbers[1], numbers[2]};
    if (has_pace) {
        result.pace_percent = numbers[3];
    }
    return result;
}

} // namespace quetzalspan::placement
