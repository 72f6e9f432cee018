// Counts requests in a table of fixed size, in which the more frequent of two objects keeps a place.

#include "placement/object_spread.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::placement
{

object_spread::object_spread(object_spread_options options)
    : m_options(options), m_counters(std::max<std::size_t>(options.table_size, 1))
{
}

double object_spread::count_request(std::uint64_t object_hash, core::instant now)
{
    counter& entry = m_counters[object_hash % m_counters.size()];
    const double elapsed = core::to_seconds(now - entry.updated_at);
    entry.count *= std::exp(-std::max(elapsed, 0.0) / core::to_seconds(m_options.time_constant));
    entry.updated_at = now;
    if (entry.object_hash == object_hash) {
        entry.count += 1;
        return entry.count;
    }
    if (entry.count >= 1) {
        entry.count -= 1;
        return 0;
    }
    entry.object_hash = object_hash;
    entry.count = 1;
    return entry.count;
}

std::size_t object_spread::record_request(const object_demand& demand, core::instant now)
{
    const double count = count_request(demand.object_hash, now);
    // Reduced by its standard deviation, so that a few requests that come together by chance do not widen
    // the object.
    const double certain_count = std::max(0.0, count - std::sqrt(count));
    const double rate = certain_count / core::to_seconds(m_options.time_constant) * demand.instances;
    const double usable_slots = std::max(1U, demand.slots_per_endpoint) * m_options.max_slot_share;
    const double needed = std::min(std::ceil(rate * demand.service_seconds / usable_slots),
                                   static_cast<double>(m_options.max_endpoints));
    return std::max(m_options.min_endpoints, static_cast<std::size_t>(needed));
}

} // namespace quetzalspan::placement
