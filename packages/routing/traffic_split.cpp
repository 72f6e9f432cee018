// Implements the weighted split.

#include "routing/traffic_split.h"

#include "core/check.h"

#include <cmath>

namespace quetzalspan::routing
{

namespace
{

// The multiples of the golden ratio's fraction fill the unit interval most evenly.
constexpr double golden_ratio_fraction = 0.6180339887498949;

} // namespace

std::uint64_t traffic_split::advance(const std::string& route_name)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    return m_positions[route_name]++;
}

const std::string& traffic_split::next(const route& target)
{
    core::check(!target.services.empty(), "a route has at least one service");
    if (target.services.size() == 1) {
        return target.services.front().service;
    }
    double total = 0;
    for (const weighted_service& part : target.services) {
        total += part.weight;
    }
    const double turns = static_cast<double>(advance(target.name)) * golden_ratio_fraction + m_offset;
    double position = (turns - std::floor(turns)) * total;
    for (const weighted_service& part : target.services) {
        if (position < part.weight) {
            return part.service;
        }
        position -= part.weight;
    }
    return target.services.back().service;
}

} // namespace quetzalspan::routing
