// Computes the fleet-wide rate and permit limits of a configuration and builds their names.

#include "node/fleet_limits.h"

#include <cmath>
#include <map>

namespace quetzalspan::node
{

namespace
{

std::int64_t to_micro_tokens(double tokens)
{
    return static_cast<std::int64_t>(std::floor(tokens * static_cast<double>(micro_per_token)));
}

allowance::limit_definition make_rate_limit(std::string name, double rate_per_second, double burst)
{
    allowance::limit_definition definition;
    definition.name = std::move(name);
    definition.kind = allowance::limit_kind::rate;
    definition.rate_micro = to_micro_tokens(rate_per_second);
    definition.burst_micro = to_micro_tokens(burst);
    return definition;
}

allowance::limit_definition make_permit_limit(std::string name, std::uint32_t permits, std::string region)
{
    allowance::limit_definition definition;
    definition.name = std::move(name);
    definition.kind = allowance::limit_kind::permits;
    definition.burst_micro = static_cast<std::int64_t>(permits) * micro_per_token;
    definition.region = std::move(region);
    return definition;
}

} // namespace

std::string workspace_limit_name(std::string_view workspace)
{
    return "workspace/" + std::string(workspace);
}

std::string slot_limit_name(std::string_view service, std::string_view endpoint)
{
    return "slots/" + std::string(service) + "/" + std::string(endpoint);
}

std::string shift_limit_name(std::string_view from_region, std::string_view to_region)
{
    return "shift/" + std::string(from_region) + "/" + std::string(to_region);
}

std::string link_limit_name(std::string_view from_region, std::string_view to_region)
{
    return "link/" + std::string(from_region) + "/" + std::string(to_region);
}

allowance::limit_set compute_fleet_limits(const config::configuration& configuration)
{
    const config::registry& inventory = configuration.inventory;
    std::map<std::string, std::string> region_by_zone;
    for (const config::availability_zone& zone : inventory.availability_zones) {
        region_by_zone[zone.name] = zone.region;
    }

    allowance::limit_set result;
    result.revision = configuration.revision;
    for (const config::workspace& workspace : inventory.workspaces) {
        result.limits.push_back(make_rate_limit(workspace_limit_name(workspace.name),
                                                workspace.rate_per_second, workspace.burst));
    }
    for (const config::service& service : inventory.services) {
        for (const config::endpoint& endpoint : service.endpoints) {
            result.limits.push_back(make_permit_limit(slot_limit_name(service.name, endpoint.id),
                                                      endpoint.slots,
                                                      region_by_zone[endpoint.availability_zone]));
        }
    }
    for (const config::shift_cap& cap : configuration.policy.shift_caps) {
        result.limits.push_back(make_rate_limit(shift_limit_name(cap.from_region, cap.to_region),
                                                cap.rate_per_second, cap.burst));
    }
    for (const config::link_cap& cap : configuration.policy.link_caps) {
        result.limits.push_back(make_rate_limit(link_limit_name(cap.from_region, cap.to_region),
                                                cap.bytes_per_second, static_cast<double>(cap.burst_bytes)));
    }
    return result;
}

} // namespace quetzalspan::node
