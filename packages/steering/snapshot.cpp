// Searches a snapshot by name, path, key digest and region, and derives snapshots with changed client blocks.

#include "steering/snapshot.h"

#include "steering/snapshot_compiler.h"

#include <algorithm>

namespace quetzalspan::steering
{

namespace
{

// Returns the index of the entry with this name in a vector ordered by name.
template <typename Entry>
std::optional<std::uint32_t> find_by_name(const std::vector<Entry>& entries, std::string_view name)
{
    const auto found =
        std::lower_bound(entries.begin(), entries.end(), name,
                         [](const Entry& entry, std::string_view wanted) { return entry.name < wanted; });
    if (found == entries.end() || found->name != name) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - entries.begin());
}

template <typename Cap>
const Cap* find_cap(const std::vector<Cap>& caps, const std::string& from, const std::string& to)
{
    for (const Cap& cap : caps) {
        if (cap.from_region == from && cap.to_region == to) {
            return &cap;
        }
    }
    return nullptr;
}

} // namespace

std::unique_ptr<const snapshot> snapshot::create(const config::configuration& configuration,
                                                 const instance_location& location, const snapshot* previous,
                                                 core::instant now)
{
    return snapshot_compiler(configuration, location, previous, now).compile();
}

std::unique_ptr<const snapshot>
snapshot::with_client_block_changes(std::uint64_t revision,
                                    std::span<const client_block_change> changes) const
{
    std::unique_ptr<snapshot> result(new snapshot(*this));
    result->m_revision = revision;
    result->m_client_blocks = m_client_blocks.with_changes(changes);
    return result;
}

namespace
{

// Returns whether the path starts with the prefix and the prefix ends at a segment boundary: "/open" must not
// match "/openings".
bool matches_path_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

const compiled_route* snapshot::find_route(std::string_view path) const
{
    for (const compiled_route& route : m_routes) {
        if (matches_path_prefix(path, route.path_prefix)) {
            return &route;
        }
    }
    return nullptr;
}

key_lookup_result snapshot::find_key(std::string_view digest) const
{
    const auto found = std::lower_bound(
        m_keys.begin(), m_keys.end(), digest,
        [](const key_record& record, std::string_view wanted) { return record.digest < wanted; });
    if (found == m_keys.end() || found->digest != digest) {
        return {};
    }
    return {found->is_revoked ? key_status::revoked : key_status::valid, found->workspace};
}

std::optional<region_index> snapshot::find_region(std::string_view name) const
{
    return find_by_name(m_regions, name);
}

std::optional<service_index> snapshot::find_service(std::string_view name) const
{
    return find_by_name(m_services, name);
}

std::optional<endpoint_index> snapshot::find_endpoint(service_index service, std::string_view id) const
{
    for (const endpoint_range& range : m_services.at(service).endpoint_ranges) {
        for (endpoint_index index = range.begin; index < range.end; ++index) {
            if (m_endpoints[index].id == id) {
                return index;
            }
        }
    }
    return std::nullopt;
}

std::optional<site_index> snapshot::find_site(std::string_view name) const
{
    const auto found = std::find_if(m_sites.begin(), m_sites.end(),
                                    [name](const compiled_site& site) { return site.name == name; });
    if (name.empty() || found == m_sites.end()) {
        return std::nullopt;
    }
    return static_cast<site_index>(found - m_sites.begin());
}

const config::shift_cap* snapshot::find_shift_cap(region_index from, region_index to) const
{
    return find_cap(m_shift_caps, m_regions.at(from).name, m_regions.at(to).name);
}

const config::link_cap* snapshot::find_link_cap(region_index from, region_index to) const
{
    return find_cap(m_link_caps, m_regions.at(from).name, m_regions.at(to).name);
}

} // namespace quetzalspan::steering
