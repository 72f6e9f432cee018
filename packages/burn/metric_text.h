// Lines of the Prometheus text exposition format.

#pragma once

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace quetzalspan::burn
{

// A label of a metric, which distinguishes the metrics of one name.
struct label {
    std::string name;
    std::string value;

    bool operator<(const label& other) const
    {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

// Prefix of every metric name in the exposition.
inline constexpr std::string_view metric_prefix = "quetzalspan_";

// Returns the HELP and TYPE lines of a metric name. The name is given without the prefix; the help is
// escaped.
std::string metric_header(std::string_view name, std::string_view help, std::string_view type);

// Returns one line with the value. The name is given without the prefix; label values are escaped.
std::string metric_line(std::string_view name, const std::vector<label>& labels, double value);

// Returns whether the text consists of lower-case letters, digits and '_' and begins with a letter.
bool is_metric_name(std::string_view text);

} // namespace quetzalspan::burn
