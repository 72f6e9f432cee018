// Builds the indexes of a configuration and matches hosts, paths, keys and regions.

#include "routing/route_table.h"

#include <algorithm>

namespace quetzalspan::routing
{

namespace
{

// Returns the host in lower case and without the port.
std::string normalize_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool is_ipv6 = !host.empty() && host.back() == ']';
    if (colon != std::string_view::npos && !is_ipv6) {
        host = host.substr(0, colon);
    }
    std::string result(host);
    std::transform(result.begin(), result.end(), result.begin(), [](char character) {
        const bool is_upper = character >= 'A' && character <= 'Z';
        return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return result;
}

bool allows_region(const std::vector<std::string>& home_regions, std::string_view region)
{
    return home_regions.empty() ||
           std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

} // namespace

std::shared_ptr<const route_table> route_table::create(configuration source)
{
    return std::shared_ptr<const route_table>(new route_table(std::move(source)));
}

route_table::route_table(configuration source) : m_source(std::move(source))
{
    for (const route& entry : m_source.routes) {
        m_routes_by_host[normalize_host(entry.host)].push_back(&entry);
    }
    for (std::unordered_map<std::string, std::vector<const route*>>::value_type& host : m_routes_by_host) {
        std::stable_sort(host.second.begin(), host.second.end(), [](const route* left, const route* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const workspace& entry : m_source.workspaces) {
        m_workspaces_by_name.emplace(entry.name, &entry);
        for (const std::string& digest : entry.key_digests) {
            m_workspaces_by_key_digest.emplace(digest, &entry);
        }
    }
    for (const service& entry : m_source.services) {
        m_services_by_name.emplace(entry.name, &entry);
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const std::unordered_map<std::string, std::vector<const route*>>::const_iterator found =
        m_routes_by_host.find(normalize_host(host));
    if (found == m_routes_by_host.end()) {
        return nullptr;
    }
    for (const route* candidate : found->second) {
        if (path.substr(0, candidate->prefix.size()) == candidate->prefix) {
            return candidate;
        }
    }
    return nullptr;
}

const workspace* route_table::find_workspace_by_key_digest(std::string_view key_digest) const
{
    const std::unordered_map<std::string, const workspace*>::const_iterator found =
        m_workspaces_by_key_digest.find(std::string(key_digest));
    return found == m_workspaces_by_key_digest.end() ? nullptr : found->second;
}

const workspace* route_table::find_workspace_by_name(std::string_view name) const
{
    const std::map<std::string, const workspace*, std::less<>>::const_iterator found =
        m_workspaces_by_name.find(name);
    return found == m_workspaces_by_name.end() ? nullptr : found->second;
}

const service* route_table::find_service(std::string_view name) const
{
    const std::map<std::string, const service*, std::less<>>::const_iterator found =
        m_services_by_name.find(name);
    return found == m_services_by_name.end() ? nullptr : found->second;
}

bool is_region_allowed(const std::vector<std::string>& route_home_regions,
                       const std::vector<std::string>& workspace_home_regions, std::string_view region)
{
    return allows_region(route_home_regions, region) && allows_region(workspace_home_regions, region);
}

} // namespace quetzalspan::routing
