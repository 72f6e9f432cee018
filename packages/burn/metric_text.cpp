// Formats and escapes lines of the text exposition format.

#include "burn/metric_text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace quetzalspan::burn
{

namespace
{

// Escapes backslashes and line ends, and double quotes if asked for.
std::string escaped(std::string_view text, bool escapes_quotes)
{
    std::string result;
    for (const char character : text) {
        if (character == '\\') {
            result += "\\\\";
        } else if (character == '\n') {
            result += "\\n";
        } else if (character == '"' && escapes_quotes) {
            result += "\\\"";
        } else {
            result += character;
        }
    }
    return result;
}

std::string value_text(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return absl::StrFormat("%.15g", value);
}

} // namespace

std::string metric_header(std::string_view name, std::string_view help, std::string_view type)
{
    const std::string full_name = std::string(metric_prefix) + std::string(name);
    return "# HELP " + full_name + " " + escaped(help, false) + "\n# TYPE " + full_name + " " +
           std::string(type) + "\n";
}

std::string metric_line(std::string_view name, const std::vector<label>& labels, double value)
{
    std::string line = std::string(metric_prefix) + std::string(name);
    char separator = '{';
    for (const label& entry : labels) {
        line += separator + entry.name + "=\"" + escaped(entry.value, true) + "\"";
        separator = ',';
    }
    if (!labels.empty()) {
        line += '}';
    }
    return line + " " + value_text(value) + "\n";
}

bool is_metric_name(std::string_view text)
{
    return !text.empty() && absl::ascii_islower(static_cast<unsigned char>(text.front())) &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_islower(static_cast<unsigned char>(c)) ||
                      absl::ascii_isdigit(static_cast<unsigned char>(c)) || c == '_';
           });
}

} // namespace quetzalspan::burn
