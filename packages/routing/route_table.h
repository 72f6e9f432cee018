// A configuration compiled for look-ups by the request path. Immutable, so that threads share it.

#pragma once

#include "routing/configuration.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quetzalspan::routing
{

class route_table
{
public:
    static std::shared_ptr<const route_table> create(configuration source);

    std::uint64_t version() const { return m_source.version; }
    const configuration& source() const { return m_source; }

    // Returns the route of the host with the longest prefix that begins the path, or null. The host may carry
    // a port; its case does not matter.
    const route* find_route(std::string_view host, std::string_view path) const;

    // Returns the workspace that holds the key, or null.
    const workspace* find_workspace(std::string_view key_digest) const;

    const workspace* find_workspace_by_name(std::string_view name) const;

    const service* find_service(std::string_view name) const;

private:
    explicit route_table(configuration source);

    configuration m_source;
    // The routes of a host, the longest prefix first. The pointers lead into m_source.
    std::unordered_map<std::string, std::vector<const route*>> m_hosts;
    std::unordered_map<std::string, const workspace*> m_keys;
    std::map<std::string, const workspace*, std::less<>> m_workspaces;
    std::map<std::string, const service*, std::less<>> m_services;
};

// Returns whether both lists allow the region; an empty list allows every region.
bool is_region_allowed(const std::vector<std::string>& route_homes,
                       const std::vector<std::string>& workspace_homes, std::string_view region);

} // namespace quetzalspan::routing
