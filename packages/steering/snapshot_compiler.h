// The compiler that builds a snapshot from a configuration.

#pragma once

#include "core/findings.h"
#include "steering/snapshot.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace quetzalspan::steering
{

// Compiles one configuration; used by snapshot::create. compile() can be called once.
class snapshot_compiler
{
public:
    snapshot_compiler(const config::configuration& configuration, const instance_location& location,
                      const snapshot* previous, core::instant now);

    // Returns the snapshot. Throws core::findings_error that lists all faults of the configuration.
    std::unique_ptr<const snapshot> compile();

private:
    // Service name, endpoint id, host and port.
    using endpoint_identity = std::tuple<std::string, std::string, std::string, std::uint16_t>;

    struct previous_state {
        std::shared_ptr<endpoint_state> state;
        // Whether the endpoint was draining or its region was drained, so that it received no new requests.
        bool was_out_of_rotation = false;
    };

    void add_regions();
    void add_services();
    void add_endpoints(const config::service& service, service_index index);
    void add_shifts();
    void add_workspaces_and_keys();
    void add_routes();
    void add_sites();
    void add_client_blocks();

    // Returns the state that the endpoint had in the previous snapshot, or a new state. Restarts the slow
    // start of an endpoint that is back in rotation.
    std::shared_ptr<endpoint_state>
    find_or_create_state(const std::string& service, const config::endpoint& endpoint, region_index region);
    // Returns the index of the region or service. Adds an error that names the referrer and returns nothing
    // if the configuration has no such element.
    std::optional<region_index> resolve_region(const std::string& name, std::string_view referrer);
    std::optional<service_index> resolve_service(const std::string& name, std::string_view referrer);
    void add_finding(std::string message);

    const config::configuration& m_configuration;
    const snapshot* m_previous;
    core::instant m_now;
    std::unique_ptr<snapshot> m_result;
    std::map<endpoint_identity, previous_state> m_previous_states;
    core::findings m_findings;
};

} // namespace quetzalspan::steering
