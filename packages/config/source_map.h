// Maps the parts of a configuration to their positions in the files that it was read from.

#pragma once

#include "core/findings.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace quetzalspan::config
{

// Maps paths such as "registry.services[0].endpoints[2].port" to positions. Checks of the parsed
// configuration use it to report the line of a fault.
class source_map
{
public:
    void add(const std::string& path, core::input_position where) { m_positions[path] = std::move(where); }

    // Marks a part about which the reader has added a finding, so that later checks add no second finding
    // about the default that the part was left with.
    void mark_reported(const std::string& path) { m_reported.insert(path); }

    // Returns whether the part or a part that contains it is marked.
    bool is_reported(std::string_view path) const;

    // Returns the position of the part or of the innermost part that contains it and has a position;
    // std::nullopt if there is none.
    std::optional<core::input_position> find_position(std::string_view path) const;

private:
    std::unordered_map<std::string, core::input_position> m_positions;
    std::unordered_set<std::string> m_reported;
};

} // namespace quetzalspan::config
