// Merges the load reports of endpoints that instances exchange. The collector of a zone receives those of the
// zone's instances and of the collectors of other zones, and passes them on.

#pragma once

#include "edge/peer_message.h"

#include <map>
#include <string>

namespace quetzalspan::edge
{

// Not thread-safe.
class load_collector
{
public:
    // Reports that are older are dropped.
    static constexpr core::duration max_age = std::chrono::seconds(1);

    using loads = std::map<std::string, shared_load>;

    // Adds reports that were received, or that this instance itself got from endpoints with the scope
    // "instance". Only those that are newer than the known ones are kept. Reports for the whole fleet are
    // meant for the receiver alone and are not added.
    void add(const loads& received, load_scope scope, core::instant now);

    // Return the reports that were added since the last call: those of this zone, for other collectors, and
    // those of all zones, for the instances of this zone.
    loads take_zone_loads(core::instant now);
    loads take_fleet_loads(core::instant now);

private:
    struct entry {
        placement::load_report report;
        core::instant reported_at;
    };

    using entries = std::map<std::string, entry>;

    static void put(entries& target, const std::string& endpoint, const entry& added);
    static loads take(entries& source, core::instant now);

    entries m_zone_entries;
    entries m_fleet_entries;
};

} // namespace quetzalspan::edge
