// Compiles a configuration into a snapshot: sorts its elements, resolves names to indexes, and takes over
// endpoint states, site indexes and client blocks from the previous snapshot.

#include "steering/snapshot_compiler.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace quetzalspan::steering
{

snapshot_compiler::snapshot_compiler(const config::configuration& configuration,
                                     const instance_location& location, const snapshot* previous,
                                     core::instant now)
    : m_configuration(configuration), m_previous(previous), m_now(now), m_result(new snapshot())
{
    m_result->m_revision = configuration.revision;
    m_result->m_location = location;
    m_result->m_shift_caps = configuration.policy.shift_caps;
    m_result->m_link_caps = configuration.policy.link_caps;
    if (previous == nullptr) {
        return;
    }
    for (const compiled_endpoint& endpoint : previous->endpoints()) {
        const std::string& service = previous->services()[endpoint.service].name;
        m_previous_states[{service, endpoint.id, endpoint.host, endpoint.port}] = {
            endpoint.state, endpoint.is_draining || previous->regions()[endpoint.region].is_drained};
    }
}

std::unique_ptr<const snapshot> snapshot_compiler::compile()
{
    add_regions();
    add_services();
    add_shifts();
    add_workspaces_and_keys();
    add_routes();
    add_sites();
    add_client_blocks();
    if (m_findings.has_errors()) {
        throw core::findings_error(m_findings);
    }
    return std::move(m_result);
}

void snapshot_compiler::add_regions()
{
    std::vector<std::string> names = m_configuration.inventory.regions;
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    for (std::string& name : names) {
        m_result->m_regions.push_back({std::move(name), false});
    }
    m_result->m_own_region = resolve_region(m_result->m_location.region, "this instance").value_or(0);
    for (const std::string& name : m_configuration.policy.drained_regions) {
        const std::optional<region_index> region = resolve_region(name, "drained_regions");
        if (region) {
            m_result->m_regions[*region].is_drained = true;
        }
    }
}

void snapshot_compiler::add_services()
{
    std::vector<const config::service*> ordered;
    for (const config::service& service : m_configuration.inventory.services) {
        ordered.push_back(&service);
    }
    std::sort(ordered.begin(), ordered.end(), [](const config::service* left, const config::service* right) {
        return left->name < right->name;
    });
    for (const config::service* service : ordered) {
        compiled_service compiled;
        compiled.name = service->name;
        for (const config::objective& objective : m_configuration.policy.objectives) {
            if (objective.service == service->name) {
                compiled.objective = objective;
            }
        }
        m_result->m_services.push_back(std::move(compiled));
        add_endpoints(*service, static_cast<service_index>(m_result->m_services.size() - 1));
    }
}

void snapshot_compiler::add_endpoints(const config::service& service, service_index index)
{
    std::map<std::string, region_index> regions_by_zone;
    for (const config::availability_zone& zone : m_configuration.inventory.availability_zones) {
        const std::optional<region_index> region =
            resolve_region(zone.region, "availability zone " + zone.name);
        if (region) {
            regions_by_zone[zone.name] = *region;
        }
    }
    const std::size_t first = m_result->m_endpoints.size();
    for (const config::endpoint& endpoint : service.endpoints) {
        const auto zone = regions_by_zone.find(endpoint.availability_zone);
        if (zone == regions_by_zone.end()) {
            add_finding("endpoint " + endpoint.id + ": unknown availability zone " +
                        endpoint.availability_zone);
            continue;
        }
        m_result->m_endpoints.push_back({index, zone->second, endpoint.id, endpoint.availability_zone,
                                         endpoint.host, endpoint.port, endpoint.slots, endpoint.connections,
                                         endpoint.is_draining,
                                         find_or_create_state(service.name, endpoint, zone->second)});
    }
    const auto begin = m_result->m_endpoints.begin() + static_cast<std::ptrdiff_t>(first);
    std::sort(begin, m_result->m_endpoints.end(),
              [](const compiled_endpoint& left, const compiled_endpoint& right) {
                  return std::tie(left.region, left.id) < std::tie(right.region, right.id);
              });
    std::vector<endpoint_range>& ranges = m_result->m_services[index].endpoint_ranges;
    endpoint_index position = static_cast<endpoint_index>(first);
    for (region_index region = 0; region < m_result->m_regions.size(); ++region) {
        endpoint_range range{position, position};
        while (range.end < m_result->m_endpoints.size() &&
               m_result->m_endpoints[range.end].region == region) {
            ++range.end;
        }
        ranges.push_back(range);
        position = range.end;
    }
}

std::shared_ptr<endpoint_state> snapshot_compiler::find_or_create_state(const std::string& service,
                                                                        const config::endpoint& endpoint,
                                                                        region_index region)
{
    if (m_previous == nullptr) {
        return endpoint_state::create_warm();
    }
    const auto found = m_previous_states.find({service, endpoint.id, endpoint.host, endpoint.port});
    if (found == m_previous_states.end()) {
        return endpoint_state::create_cold(m_now);
    }
    const bool is_out_of_rotation = endpoint.is_draining || m_result->m_regions[region].is_drained;
    if (found->second.was_out_of_rotation && !is_out_of_rotation) {
        found->second.state->restart_slow_start(m_now);
    }
    return found->second.state;
}

void snapshot_compiler::add_shifts()
{
    std::vector<std::vector<scheduled_shift>> shifts(m_result->m_services.size());
    for (const config::planned_shift& shift : m_configuration.policy.planned_shifts) {
        const std::optional<service_index> service = resolve_service(shift.service, "planned_shifts");
        const std::optional<region_index> from = resolve_region(shift.from_region, "planned_shifts");
        const std::optional<region_index> to = resolve_region(shift.to_region, "planned_shifts");
        if (service && from && to && *from == m_result->m_own_region) {
            shifts[*service].push_back(
                {*to, shift.begin_fraction, shift.end_fraction, shift.begin, shift.end});
        }
    }
    for (std::size_t index = 0; index < shifts.size(); ++index) {
        m_result->m_services[index].shifts = shift_schedule(std::move(shifts[index]));
    }
}

void snapshot_compiler::add_workspaces_and_keys()
{
    m_result->m_workspaces = m_configuration.inventory.workspaces;
    absl::flat_hash_map<std::string, workspace_index> indexes;
    for (std::size_t index = 0; index < m_result->m_workspaces.size(); ++index) {
        indexes[m_result->m_workspaces[index].name] = static_cast<workspace_index>(index);
    }
    for (const config::key_entry& key : m_configuration.inventory.keys) {
        const auto workspace = indexes.find(key.workspace);
        if (workspace == indexes.end()) {
            add_finding("key " + key.digest.substr(0, 8) + ": unknown workspace " + key.workspace);
            continue;
        }
        m_result->m_keys.push_back({key.digest, workspace->second, key.is_revoked});
    }
    std::sort(m_result->m_keys.begin(), m_result->m_keys.end(),
              [](const snapshot::key_record& left, const snapshot::key_record& right) {
                  // A revoked entry sorts before another one with the same digest, so that find_key finds the
                  // revoked one.
                  return std::tuple(std::string_view(left.digest), !left.is_revoked) <
                         std::tuple(std::string_view(right.digest), !right.is_revoked);
              });
}

void snapshot_compiler::add_routes()
{
    for (const config::route& route : m_configuration.policy.routes) {
        const std::optional<service_index> service =
            resolve_service(route.service, "route " + route.path_prefix);
        if (service) {
            m_result->m_routes.push_back({route.path_prefix, *service, route.is_public});
        }
    }
    std::stable_sort(m_result->m_routes.begin(), m_result->m_routes.end(),
                     [](const compiled_route& left, const compiled_route& right) {
                         return left.path_prefix.size() > right.path_prefix.size();
                     });
}

void snapshot_compiler::add_sites()
{
    absl::flat_hash_map<std::string, site_index> indexes;
    std::vector<compiled_site>& sites = m_result->m_sites;
    if (m_previous != nullptr) {
        for (const compiled_site& site : m_previous->sites()) {
            if (!site.name.empty()) {
                indexes[site.name] = static_cast<site_index>(sites.size());
            }
            sites.emplace_back();
        }
    }
    for (const config::site& site : m_configuration.inventory.sites) {
        const auto [entry, is_new] = indexes.try_emplace(site.name, static_cast<site_index>(sites.size()));
        if (is_new) {
            sites.emplace_back();
        }
        compiled_site& compiled = sites[entry->second];
        compiled.name = site.name;
        compiled.regions.clear();
        for (const std::string& name : site.regions) {
            const std::optional<region_index> region = resolve_region(name, "site " + site.name);
            if (region) {
                compiled.regions.push_back(*region);
            }
        }
    }
    if (sites.size() >= no_site) {
        add_finding("too many sites: client blocks can refer to at most 65534, counting removed sites");
    }
}

void snapshot_compiler::add_client_blocks()
{
    absl::flat_hash_map<std::string, site_index> indexes;
    for (std::size_t index = 0; index < m_result->m_sites.size(); ++index) {
        if (!m_result->m_sites[index].name.empty()) {
            indexes[m_result->m_sites[index].name] = static_cast<site_index>(index);
        }
    }
    std::vector<client_block_entry> entries;
    entries.reserve(m_configuration.inventory.client_blocks.size());
    for (const config::client_block& block : m_configuration.inventory.client_blocks) {
        const std::optional<address_prefix> prefix = address_prefix::parse(block.prefix);
        const auto site = indexes.find(block.site);
        if (!prefix) {
            add_finding("client block " + block.prefix + ": malformed address prefix");
        } else if (site == indexes.end()) {
            add_finding("client block " + block.prefix + ": unknown site " + block.site);
        } else {
            entries.push_back({*prefix, site->second});
        }
    }
    m_result->m_client_blocks = m_previous == nullptr
                                    ? client_block_table::create(std::move(entries))
                                    : m_previous->client_blocks().with_entries(std::move(entries));
}

std::optional<region_index> snapshot_compiler::resolve_region(const std::string& name,
                                                              std::string_view referrer)
{
    const std::optional<region_index> region = m_result->find_region(name);
    if (!region) {
        add_finding(std::string(referrer) + ": unknown region " + name);
    }
    return region;
}

std::optional<service_index> snapshot_compiler::resolve_service(const std::string& name,
                                                                std::string_view referrer)
{
    const std::optional<service_index> service = m_result->find_service(name);
    if (!service) {
        add_finding(std::string(referrer) + ": unknown service " + name);
    }
    return service;
}

void snapshot_compiler::add_finding(std::string message)
{
    m_findings.add_error({"configuration", 0, 0}, std::move(message));
}

} // namespace quetzalspan::steering
