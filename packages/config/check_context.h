// Context of the cross-checks of a configuration: adds findings with their positions, looks up names in the
// registry, and checks names, ranges and uniqueness.

#pragma once

#include "config/model.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace quetzalspan::config
{

// All arguments of the constructor except the source must outlive the context.
class check_context
{
public:
    // The source map gives the line of each part in its file. Findings about parts that are not in the source
    // map have only the source as their position.
    check_context(const configuration& value, const source_map& positions, std::string source,
                  core::findings& found);

    // Adds a finding about the part at the path, unless the reader of the file has already reported that
    // part.
    void add_error(const std::string& path, const std::string& message);
    void add_warning(const std::string& path, const std::string& message);

    // Adds a finding unless the name is 1 to 63 lower-case letters, digits, '-', '_' and '.' and begins with
    // a letter or digit. Names appear in headers, metric labels and log lines without escaping.
    void check_name(const std::string& path, const std::string& name);

    // Add a finding if the registry lacks the name. They add none if the list in the registry could not be
    // read: that list has its own finding, and every reference to it would add another.
    void expect_region(const std::string& path, const std::string& name);
    void expect_service(const std::string& path, const std::string& name);
    void expect_workspace(const std::string& path, const std::string& name);
    void expect_availability_zone(const std::string& path, const std::string& name);

    // Adds a finding with the message and the path of the first occurrence if the key was passed for the
    // group before.
    void expect_unique(const std::string& path, std::string_view group, const std::string& key,
                       const std::string& message);

    // Adds a finding unless minimum <= value <= maximum, also if the value is NaN.
    void expect_range(const std::string& path, double value, double minimum, double maximum);

    const configuration& value() const { return m_value; }
    bool has_region(const std::string& name) const { return m_regions.contains(name); }

    // Returns the region of an availability zone, or an empty string if there is no such zone.
    std::string region_of_zone(const std::string& zone) const;

private:
    const configuration& m_value;
    const source_map& m_positions;
    std::string m_source;
    core::findings& m_found;
    std::unordered_set<std::string> m_regions;
    // Region of each availability zone.
    std::unordered_map<std::string, std::string> m_zones;
    std::unordered_set<std::string> m_services;
    std::unordered_set<std::string> m_workspaces;
    // Path of the first occurrence of each group and key that expect_unique() has seen.
    std::unordered_map<std::string, std::string> m_first_paths;
};

// Returns "path[index]".
std::string item_path(std::string_view path, std::size_t index);

// Add a finding for each fault in the registry and in the rules of context.value().
void check_registry(check_context& context);
void check_rules(check_context& context);

} // namespace quetzalspan::config
