// Keeps the newest report of each endpoint until it is passed on.

#include "edge/load_collector.h"

namespace quetzalspan::edge
{

void load_collector::put(entries& target, const std::string& endpoint, const entry& added)
{
    const auto [found, is_new] = target.try_emplace(endpoint, added);
    if (!is_new && added.reported_at > found->second.reported_at) {
        found->second = added;
    }
}

void load_collector::add(const loads& received, load_scope scope, core::instant now)
{
    if (scope == load_scope::fleet) {
        return;
    }
    for (const auto& [endpoint, load] : received) {
        if (load.age > max_age) {
            continue;
        }
        const entry added{load.report, now - load.age};
        put(m_fleet_entries, endpoint, added);
        if (scope == load_scope::instance) {
            put(m_zone_entries, endpoint, added);
        }
    }
}

load_collector::loads load_collector::take(entries& source, core::instant now)
{
    loads result;
    for (const auto& [endpoint, known] : source) {
        const core::duration age = now - known.reported_at;
        if (age <= max_age) {
            result[endpoint] = {known.report, age};
        }
    }
    source.clear();
    return result;
}

load_collector::loads load_collector::take_zone_loads(core::instant now)
{
    return take(m_zone_entries, now);
}

load_collector::loads load_collector::take_fleet_loads(core::instant now)
{
    return take(m_fleet_entries, now);
}

} // namespace quetzalspan::edge
