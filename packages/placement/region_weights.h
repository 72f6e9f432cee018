// Computes the weights of regions for requests that may run in any region. Requests of workspaces with home
// regions can run only there, so the others leave capacity to them: the weight of a region is the fraction of
// its slots that workspaces with home regions are not expected to use. Every instance computes the same
// target weights from the configuration and the known endpoints.

#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspan::placement
{

// The expected demand of a workspace that may run only in some regions.
struct home_region_demand {
    // The workspace's fraction of the expected demand of all workspaces, from 0 to 1.
    double share = 0;
    // The home regions of the workspace.
    std::vector<std::string> regions;
};

struct region_weight_options {
    // The minimum weight, above 0 so that the endpoints of every region stay in use and their state known.
    double min_weight = 0.04;
    // The time constant with which weights approach their targets, so that traffic shifts gradually.
    core::duration time_constant = std::chrono::seconds(6);
};

// Returns the target weight of each region, from min_weight to 1, relative to its number of slots.
std::map<std::string, double>
compute_target_region_weights(const std::map<std::string, double>& slots_by_region,
                              const std::vector<home_region_demand>& homed, double min_weight);

// The weights of one service, which approach their targets over time. Not thread-safe.
class region_weights
{
public:
    explicit region_weights(region_weight_options options) : m_options(options) {}

    // Moves the weights towards the targets for the present slots and demand. A region that is new takes its
    // target weight at once.
    void update(const std::map<std::string, double>& slots_by_region,
                const std::vector<home_region_demand>& homed, core::instant now);

    // Returns the current weight of the region, or 1 if the region is unknown.
    double weight(const std::string& region) const;

private:
    region_weight_options m_options;
    // Keyed by the name of the region.
    std::map<std::string, double> m_weights;
    core::instant m_updated_at;
};

} // namespace quetzalspan::placement
