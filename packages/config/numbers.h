// Strict parsing and printing of the numbers in files and on command lines.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Parses decimal digits without sign or leading zeros. Returns std::nullopt for any other text and for values
// that do not fit into 64 bits.
std::optional<std::uint64_t> parse_whole_number(std::string_view text);

// Parses a finite decimal number such as "0.25" or "1e3". Returns std::nullopt for any other text.
std::optional<double> parse_decimal(std::string_view text);

// Returns the decimal form with up to 15 significant digits. Values from 1e15 up and below 1e-4 get an
// exponent.
std::string number_text(double value);

} // namespace quetzalspan::config
