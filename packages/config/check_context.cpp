// Name look-ups, and checks of names, ranges and uniqueness, shared by the cross-checks.

#include "config/check_context.h"

#include "config/numbers.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace quetzalspan::config
{

namespace
{

constexpr std::size_t max_name_length = 63;

bool is_name_character(char character)
{
    return absl::ascii_islower(static_cast<unsigned char>(character)) ||
           absl::ascii_isdigit(static_cast<unsigned char>(character)) || character == '-' ||
           character == '_' || character == '.';
}

} // namespace

std::string item_path(std::string_view path, std::size_t index)
{
    return std::string(path) + "[" + std::to_string(index) + "]";
}

check_context::check_context(const configuration& value, const source_map& positions, std::string source,
                             core::findings& found)
    : m_value(value), m_positions(positions), m_source(std::move(source)), m_found(found)
{
    m_regions.insert(value.inventory.regions.begin(), value.inventory.regions.end());
    for (const availability_zone& zone : value.inventory.availability_zones) {
        m_zones.emplace(zone.name, zone.region);
    }
    for (const service& item : value.inventory.services) {
        m_services.insert(item.name);
    }
    for (const workspace& item : value.inventory.workspaces) {
        m_workspaces.insert(item.name);
    }
}

void check_context::add_error(const std::string& path, const std::string& message)
{
    if (!m_positions.is_reported(path)) {
        m_found.add_error(m_positions.find_position(path).value_or(core::input_position{m_source, 0, 0}),
                          path + ": " + message);
    }
}

void check_context::add_warning(const std::string& path, const std::string& message)
{
    if (!m_positions.is_reported(path)) {
        m_found.add_warning(m_positions.find_position(path).value_or(core::input_position{m_source, 0, 0}),
                            path + ": " + message);
    }
}

void check_context::check_name(const std::string& path, const std::string& name)
{
    const bool is_valid = !name.empty() && name.size() <= max_name_length &&
                          std::all_of(name.begin(), name.end(), is_name_character) &&
                          absl::ascii_isalnum(static_cast<unsigned char>(name.front()));
    if (!is_valid) {
        add_error(path,
                  "must be 1 to 63 lower-case letters, digits, '-', '_' and '.', beginning with a letter "
                  "or digit");
    }
}

void check_context::expect_region(const std::string& path, const std::string& name)
{
    if (!m_regions.contains(name) && !m_positions.is_reported("registry.regions")) {
        add_error(path, "there is no region \"" + name + "\"");
    }
}

void check_context::expect_service(const std::string& path, const std::string& name)
{
    if (!m_services.contains(name) && !m_positions.is_reported("registry.services")) {
        add_error(path, "there is no service \"" + name + "\"");
    }
}

void check_context::expect_workspace(const std::string& path, const std::string& name)
{
    if (!m_workspaces.contains(name) && !m_positions.is_reported("registry.workspaces")) {
        add_error(path, "there is no workspace \"" + name + "\"");
    }
}

void check_context::expect_availability_zone(const std::string& path, const std::string& name)
{
    if (!m_zones.contains(name) && !m_positions.is_reported("registry.availability_zones")) {
        add_error(path, "there is no availability zone \"" + name + "\"");
    }
}

void check_context::expect_unique(const std::string& path, std::string_view group, const std::string& key,
                                  const std::string& message)
{
    // A value that the reader rejected keeps its default, which would look like a duplicate.
    if (m_positions.is_reported(path)) {
        return;
    }
    const auto [entry, is_new] = m_first_paths.emplace(std::string(group) + "\n" + key, path);
    if (!is_new) {
        add_error(path, message + " (first at " + entry->second + ")");
    }
}

void check_context::expect_range(const std::string& path, double value, double minimum, double maximum)
{
    // The comparison is written so that it also fails for NaN.
    if (!(value >= minimum && value <= maximum)) {
        add_error(path, "must be from " + number_text(minimum) + " to " + number_text(maximum));
    }
}

std::string check_context::region_of_zone(const std::string& zone) const
{
    const auto entry = m_zones.find(zone);
    return entry == m_zones.end() ? std::string() : entry->second;
}

} // namespace quetzalspan::config
