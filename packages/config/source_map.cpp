// Looks up paths and the paths that contain them.

#include "config/source_map.h"

namespace quetzalspan::config
{

namespace
{

// Returns the path without its last member or index; empty for a path of one step.
std::string_view parent_of(std::string_view path)
{
    const std::size_t end = path.find_last_of(".[");
    return end == std::string_view::npos ? std::string_view() : path.substr(0, end);
}

} // namespace

bool source_map::is_reported(std::string_view path) const
{
    if (m_reported.empty()) {
        return false;
    }
    for (std::string_view part = path; !part.empty(); part = parent_of(part)) {
        if (m_reported.contains(std::string(part))) {
            return true;
        }
    }
    return false;
}

std::optional<core::input_position> source_map::find_position(std::string_view path) const
{
    for (std::string_view part = path; !part.empty(); part = parent_of(part)) {
        const auto entry = m_positions.find(std::string(part));
        if (entry != m_positions.end()) {
            return entry->second;
        }
    }
    return std::nullopt;
}

} // namespace quetzalspan::config
