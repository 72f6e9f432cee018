// Selects the service of each request by multiples of the golden ratio.

#include "routing/traffic_split.h"

#include "core/check.h"

#include <cmath>

namespace quetzalspan::routing
{

namespace
{

// The fractional parts of its multiples are distributed most evenly over the unit interval.
constexpr double golden_ratio_fraction = 0.6180339887498949;

} // namespace

std::uint64_t traffic_split::advance_position(const std::string& route_name)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_positions[route_name]++;
}

const std::string& traffic_split::next_service(const route& target)
{
    core::check(!target.services.empty(), "a route has at least one service");
    if (target.services.size() == 1) {
        return target.services.front().service;
    }
    double total_weight = 0;
    for (const weighted_service& candidate : target.services) {
        total_weight += candidate.weight;
    }
    const double sequence_value =
        static_cast<double>(advance_position(target.name)) * golden_ratio_fraction + m_offset;
    double weight_position = (sequence_value - std::floor(sequence_value)) * total_weight;
    for (const weighted_service& candidate : target.services) {
        if (weight_position < candidate.weight) {
            return candidate.service;
        }
        weight_position -= candidate.weight;
    }
    return target.services.back().service;
}

} // namespace quetzalspan::routing
