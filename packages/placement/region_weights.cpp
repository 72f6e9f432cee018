// Computes target weights from slots and expected demand, and smooths the weights over time.

#include "placement/region_weights.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::placement
{

namespace
{

// Distributes the demand of a workspace over its home regions in proportion to their slots.
void add_home_region_demand(const home_region_demand& demand,
                            const std::map<std::string, double>& slots_by_region,
                            std::map<std::string, double>& demand_by_region)
{
    double slots = 0;
    for (const std::string& region : demand.regions) {
        const std::map<std::string, double>::const_iterator found = slots_by_region.find(region);
        slots += found == slots_by_region.end() ? 0 : found->second;
    }
    if (slots <= 0) {
        return;
    }
    for (const std::string& region : demand.regions) {
        const std::map<std::string, double>::const_iterator found = slots_by_region.find(region);
        if (found != slots_by_region.end()) {
            demand_by_region[region] += demand.share * found->second / slots;
        }
    }
}

} // namespace

std::map<std::string, double>
compute_target_region_weights(const std::map<std::string, double>& slots_by_region,
                              const std::vector<home_region_demand>& homed, double min_weight)
{
    double total = 0;
    for (const auto& [region, slots] : slots_by_region) {
        total += slots;
    }
    std::map<std::string, double> demand_by_region;
    for (const home_region_demand& demand : homed) {
        add_home_region_demand(demand, slots_by_region, demand_by_region);
    }
    std::map<std::string, double> result;
    for (const auto& [region, slots] : slots_by_region) {
        const double capacity = total > 0 ? slots / total : 0;
        const std::map<std::string, double>::const_iterator home_demand = demand_by_region.find(region);
        const double available = capacity - (home_demand == demand_by_region.end() ? 0 : home_demand->second);
        result[region] = capacity > 0 ? std::clamp(available / capacity, min_weight, 1.0) : 1.0;
    }
    return result;
}

void region_weights::update(const std::map<std::string, double>& slots_by_region,
                            const std::vector<home_region_demand>& homed, core::instant now)
{
    const double elapsed = core::to_seconds(now - m_updated_at);
    const double step = 1 - std::exp(-elapsed / core::to_seconds(m_options.time_constant));
    m_updated_at = now;
    std::map<std::string, double> next =
        compute_target_region_weights(slots_by_region, homed, m_options.min_weight);
    for (auto& [region, weight] : next) {
        const std::map<std::string, double>::const_iterator present = m_weights.find(region);
        if (present != m_weights.end()) {
            weight = present->second + (weight - present->second) * step;
        }
    }
    m_weights = std::move(next);
}

double region_weights::weight(const std::string& region) const
{
    const std::map<std::string, double>::const_iterator found = m_weights.find(region);
    return found == m_weights.end() ? 1.0 : found->second;
}

} // namespace quetzalspan::placement
