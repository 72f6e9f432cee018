// The compiled, immutable form of a configuration, which one instance uses to route requests and answer
// lookups.

#pragma once

#include "config/model.h"
#include "core/time.h"
#include "steering/client_block_table.h"
#include "steering/snapshot_elements.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::steering
{

// The location of an instance.
struct instance_location {
    std::string availability_zone;
    std::string region;
};

// Immutable. The find functions take no lock and allocate nothing; they return nothing or null if there is no
// such element.
class snapshot
{
public:
    // Compiles a configuration. If there is a previous snapshot, endpoints with the same service, id, host
    // and port share their state with it, and the client-block tables share their unchanged parts. All other
    // endpoints start cold. Without a previous snapshot (null) all endpoints start warm. Throws
    // core::findings_error that lists every reference to an element missing from the registry and every
    // malformed address prefix.
    static std::unique_ptr<const snapshot> create(const config::configuration& configuration,
                                                  const instance_location& location, const snapshot* previous,
                                                  core::instant now);

    // Returns a copy of this snapshot with a higher revision and with the changes applied to its client
    // blocks. It shares the endpoint states and the unchanged parts of the client-block table with this
    // snapshot. A million blocks as text would exceed the memory of a node, so they can be sent in parts.
    std::unique_ptr<const snapshot>
    with_client_block_changes(std::uint64_t revision, std::span<const client_block_change> changes) const;

    std::uint64_t revision() const { return m_revision; }
    const instance_location& location() const { return m_location; }
    region_index own_region() const { return m_own_region; }

    // Sorted by name.
    const std::vector<compiled_region>& regions() const { return m_regions; }
    const std::vector<compiled_service>& services() const { return m_services; }
    // Sorted by service, region and id.
    const std::vector<compiled_endpoint>& endpoints() const { return m_endpoints; }
    const std::vector<config::workspace>& workspaces() const { return m_workspaces; }
    // A site keeps its index in later snapshots. A removed site leaves an entry without name and regions.
    const std::vector<compiled_site>& sites() const { return m_sites; }
    const client_block_table& client_blocks() const { return m_client_blocks; }
    const std::vector<config::shift_cap>& shift_caps() const { return m_shift_caps; }
    const std::vector<config::link_cap>& link_caps() const { return m_link_caps; }

    // Returns the route with the longest path prefix that matches the path, or null. The pointer is valid as
    // long as the snapshot exists.
    const compiled_route* find_route(std::string_view path) const;
    // Returns the status and the workspace of a key. The digest is the key's SHA-256 hash as 64 lower-case
    // hexadecimal digits.
    key_lookup_result find_key(std::string_view digest) const;
    std::optional<region_index> find_region(std::string_view name) const;
    std::optional<service_index> find_service(std::string_view name) const;
    std::optional<endpoint_index> find_endpoint(service_index service, std::string_view id) const;
    std::optional<site_index> find_site(std::string_view name) const;
    const config::shift_cap* find_shift_cap(region_index from, region_index to) const;
    const config::link_cap* find_link_cap(region_index from, region_index to) const;

private:
    friend class snapshot_compiler;

    struct key_record {
        std::string digest;
        workspace_index workspace = 0;
        bool is_revoked = false;
    };

    snapshot() = default;

    std::uint64_t m_revision = 0;
    instance_location m_location;
    region_index m_own_region = 0;
    std::vector<compiled_region> m_regions;
    std::vector<compiled_service> m_services;
    std::vector<compiled_endpoint> m_endpoints;
    std::vector<config::workspace> m_workspaces;
    std::vector<compiled_site> m_sites;
    client_block_table m_client_blocks;
    std::vector<config::shift_cap> m_shift_caps;
    std::vector<config::link_cap> m_link_caps;
    // Sorted by the length of the path prefix, longest first, so that the first match is the longest.
    std::vector<compiled_route> m_routes;
    // Sorted by digest; of entries with the same digest, a revoked one comes first.
    std::vector<key_record> m_keys;
};

} // namespace quetzalspan::steering
