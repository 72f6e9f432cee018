// The elements of a configuration snapshot: services, endpoints, regions, routes and sites that refer to each
// other by index instead of by name.

#pragma once

#include "config/model.h"
#include "steering/endpoint_state.h"
#include "steering/shift_schedule.h"
#include "steering/snapshot_indexes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::steering
{

struct compiled_endpoint {
    service_index service = 0;
    region_index region = 0;
    std::string id;
    std::string availability_zone;
    std::string host;
    std::uint16_t port = 0;
    // Maximum number of requests that the endpoint runs at once.
    std::uint32_t slots = 0;
    // Maximum number of connections that the endpoint accepts.
    std::uint32_t connections = 0;
    // Whether the registry marks the endpoint as draining. A drain that the endpoint announces itself is kept
    // in its state.
    bool is_draining = false;
    // Never null; shared with earlier and later snapshots.
    std::shared_ptr<endpoint_state> state;
};

// Half-open range of endpoint indexes: the endpoints of one service in one region. `last` is the index after
// the final endpoint.
struct endpoint_range {
    endpoint_index begin = 0;
    endpoint_index end = 0;

    std::uint32_t size() const { return end - begin; }
};

struct compiled_service {
    std::string name;
    // Endpoints of the service in each region, indexed by region.
    std::vector<endpoint_range> endpoint_ranges;
    // Planned shifts of this service out of the region of this instance.
    shift_schedule shifts;
    std::optional<config::objective> objective;
};

struct compiled_region {
    std::string name;
    bool is_drained = false;
};

struct compiled_route {
    std::string path_prefix;
    service_index service = 0;
    // Whether requests need no key.
    bool is_public = false;
};

struct compiled_site {
    std::string name;
    // Regions that serve the site, in order of preference.
    std::vector<region_index> regions;
};

enum class key_status { valid, revoked, unknown };

// Result of a search for a key digest. The workspace is set unless the key is unknown.
struct key_lookup_result {
    key_status status = key_status::unknown;
    std::optional<workspace_index> workspace;
};

} // namespace quetzalspan::steering
