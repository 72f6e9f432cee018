// Weights of the regions for requests that may run anywhere. Workspaces with home regions can only run there,
// so the others leave those endpoints to them: the weight of a region is the part of its slots that homed
// workspaces leave over. Every instance computes the same weights from the configuration and the endpoints.

#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspan::placement
{

// The expected demand of a workspace that may run only in some regions.
struct homed_demand {
    // Share of the expected demand of all workspaces, from 0 to 1.
    double share = 0;
    std::vector<std::string> regions;
};

struct region_weight_options {
    // The least weight, which keeps the endpoints of a region in use and known.
    double least = 0.04;
    // Weights approach their target with this time constant, so that traffic shifts gradually.
    core::duration time_constant = std::chrono::seconds(6);
};

// Returns the weight of each region, from the least weight to 1, relative to its number of slots.
std::map<std::string, double> target_region_weights(const std::map<std::string, double>& slots_by_region,
                                                    const std::vector<homed_demand>& homed, double least);

// The weights of one service as they follow their targets.
class region_weights
{
public:
    explicit region_weights(region_weight_options options) : m_options(options) {}

    // A region that is new takes its target at once.
    void update(const std::map<std::string, double>& slots_by_region, const std::vector<homed_demand>& homed,
                core::instant now);

    // Returns 1 for a region that is not known.
    double weight(const std::string& region) const;

private:
    region_weight_options m_options;
    std::map<std::string, double> m_weights;
    core::instant m_updated;
};

} // namespace quetzalspan::placement
