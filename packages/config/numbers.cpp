// Parses and prints numbers with std::from_chars and std::to_chars, which do not depend on the locale.

#include "config/numbers.h"

#include <array>
#include <charconv>
#include <cmath>

namespace quetzalspan::config
{

std::optional<std::uint64_t> parse_whole_number(std::string_view text)
{
    // A number with a leading zero is octal in YAML 1.1 and decimal in YAML 1.2, so it is rejected as
    // ambiguous.
    if (text.size() > 1 && text.front() == '0') {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_decimal(std::string_view text)
{
    double value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::string number_text(double value)
{
    std::array<char, 64> buffer{};
    const std::to_chars_result written =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::general, 15);
    return {buffer.data(), written.ptr};
}

} // namespace quetzalspan::config
