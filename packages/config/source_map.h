// Where the parts of a configuration stand in the files that it was read from.

#pragma once

#include "core/findings.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace quetzalspan::config
{

// Maps paths such as "registry.services[0].endpoints[2].port" to places. Checks that run on the model use it
// to name the line of a fault.
class source_map
{
public:
    void add(const std::string& path, core::place where) { m_places[path] = std::move(where); }

    // Marks a part that the reader has already reported, so that checks of the model add no second finding
    // about the value it was left with.
    void mark_reported(const std::string& path) { m_reported.insert(path); }

    // Whether the part itself or one that it lies in is marked.
    bool is_reported(std::string_view path) const;

    // Returns the place of the part, or of the nearest part around it that has one.
    std::optional<core::place> find_place(std::string_view path) const;

private:
    std::unordered_map<std::string, core::place> m_places;
    std::unordered_set<std::string> m_reported;
};

} // namespace quetzalspan::config
