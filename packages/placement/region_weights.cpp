// Implements the weights of regions.

#include "placement/region_weights.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::placement
{

namespace
{

// Divides the demand of a homed workspace over its regions by their slots.
void add_homed(const homed_demand& demand, const std::map<std::string, double>& slots_by_region,
               std::map<std::string, double>& homed_by_region)
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
            homed_by_region[region] += demand.share * found->second / slots;
        }
    }
}

} // namespace

std::map<std::string, double> target_region_weights(const std::map<std::string, double>& slots_by_region,
                                                    const std::vector<homed_demand>& homed, double least)
{
    double total = 0;
    for (const auto& [region, slots] : slots_by_region) {
        total += slots;
    }
    std::map<std::string, double> homed_by_region;
    for (const homed_demand& demand : homed) {
        add_homed(demand, slots_by_region, homed_by_region);
    }
    std::map<std::string, double> result;
    for (const auto& [region, slots] : slots_by_region) {
        const double capacity = total > 0 ? slots / total : 0;
        const std::map<std::string, double>::const_iterator taken = homed_by_region.find(region);
        const double left = capacity - (taken == homed_by_region.end() ? 0 : taken->second);
        result[region] = capacity > 0 ? std::clamp(left / capacity, least, 1.0) : 1.0;
    }
    return result;
}

void region_weights::update(const std::map<std::string, double>& slots_by_region,
                            const std::vector<homed_demand>& homed, core::instant now)
{
    const double elapsed = core::to_seconds(now - m_updated);
    const double step = 1 - std::exp(-elapsed / core::to_seconds(m_options.time_constant));
    m_updated = now;
    std::map<std::string, double> next = target_region_weights(slots_by_region, homed, m_options.least);
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
