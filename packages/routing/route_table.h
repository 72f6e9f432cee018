// Indexes a configuration for look-ups while requests are handled. A route table is immutable, so threads can
// share it without locks.

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

    // Returns the route of the host with the longest prefix that matches the path, or null if there is none.
    // The host may include a port, which is ignored, and is not case-sensitive.
    const route* find_route(std::string_view host, std::string_view path) const;

    // Returns the workspace of the API key with the given SHA-256 digest in hexadecimal digits, or null.
    const workspace* find_workspace_by_key_digest(std::string_view key_digest) const;

    // Returns null if there is no such workspace.
    const workspace* find_workspace_by_name(std::string_view name) const;

    // Returns null if there is no such service.
    const service* find_service(std::string_view name) const;

private:
    explicit route_table(configuration source);

    configuration m_source;
    // The pointers in the maps refer to elements of m_source.
    // Keyed by the normalized host; the routes of each host are sorted by descending length of the prefix.
    std::unordered_map<std::string, std::vector<const route*>> m_routes_by_host;
    std::unordered_map<std::string, const workspace*> m_workspaces_by_key_digest;
    std::map<std::string, const workspace*, std::less<>> m_workspaces_by_name;
    std::map<std::string, const service*, std::less<>> m_services_by_name;
};

// Returns whether the home regions of both the route and the workspace allow the region. An empty list allows
// every region.
bool is_region_allowed(const std::vector<std::string>& route_home_regions,
                       const std::vector<std::string>& workspace_home_regions, std::string_view region);

} // namespace quetzalspan::routing
