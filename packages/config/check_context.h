// What the cross-checks of a configuration share: the collected findings and the names that exist.

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

class check_context
{
public:
    // Places come from the source map; a part without one is named by its path in the source.
    check_context(const configuration& value, const source_map& places, std::string source,
                  core::findings& found);

    // Adds a finding about the part, unless the reader has already reported it.
    void add_error(const std::string& path, const std::string& message);
    void add_warning(const std::string& path, const std::string& message);

    // A name is 1 to 63 lower-case letters, digits, '-', '_' and '.', and begins with a letter or digit:
    // names appear in headers, metric labels and log lines without escaping.
    void check_name(const std::string& path, const std::string& name);

    // Adds a finding if the registry lacks the name. A list of the registry that could not be read has its
    // own finding, and every name in it would follow.
    void expect_region(const std::string& path, const std::string& name);
    void expect_service(const std::string& path, const std::string& name);
    void expect_workspace(const std::string& path, const std::string& name);
    void expect_availability_zone(const std::string& path, const std::string& name);

    // Adds a finding if the key was seen in the group before.
    void expect_unique(const std::string& path, std::string_view group, const std::string& key,
                       const std::string& message);

    // Adds a finding unless minimum <= value <= maximum.
    void expect_range(const std::string& path, double value, double minimum, double maximum);

    const configuration& value() const { return m_value; }
    bool has_region(const std::string& name) const { return m_regions.contains(name); }

    // Returns the region of an availability zone, or an empty text.
    std::string region_of_zone(const std::string& zone) const;

private:
    const configuration& m_value;
    const source_map& m_places;
    std::string m_source;
    core::findings& m_found;
    std::unordered_set<std::string> m_regions;
    std::unordered_map<std::string, std::string> m_zones;
    std::unordered_set<std::string> m_services;
    std::unordered_set<std::string> m_workspaces;
    std::unordered_map<std::string, std::string> m_first_paths;
};

// Returns "path[index]".
std::string item_path(std::string_view path, std::size_t index);

void check_registry(check_context& context);
void check_rules(check_context& context);

} // namespace quetzalspan::config
