// The endpoints that discovery has named, and which of them may receive new requests.

#pragma once

#include "core/name_table.h"
#include "placement/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::placement
{

struct catalog_options {
    // How long endpoints without a record are kept after the store was away: records that lapsed meanwhile
    // are written again within about two seconds of its return.
    core::duration absence_grace = std::chrono::milliseconds(2200);
    // An update that removes more than this share of a service's endpoints at once is taken for an outage of
    // discovery and gets the same grace.
    double mass_removal_share = 0.5;
};

enum class catalog_change {
    added,
    restarted,
    updated,
    draining,
    missing,
    removed,
    outdated_record_ignored,
    evacuated,
    returned,
};

inline constexpr core::name_table catalog_change_names{std::array<core::named_value<catalog_change>, 9>{{
    {catalog_change::added, "added"},
    {catalog_change::restarted, "restarted"},
    {catalog_change::updated, "updated"},
    {catalog_change::draining, "draining"},
    {catalog_change::missing, "missing"},
    {catalog_change::removed, "removed"},
    {catalog_change::outdated_record_ignored, "outdated-record-ignored"},
    {catalog_change::evacuated, "evacuated"},
    {catalog_change::returned, "returned"},
}}};

using endpoint_pointer = std::shared_ptr<endpoint>;

// Not for several threads at once.
class endpoint_catalog
{
public:
    struct hooks {
        // Called for each change of what is believed.
        std::function<void(catalog_change, const endpoint&)> on_change;
        // Returns how long an endpoint of the service stays cold after its start.
        std::function<core::duration(std::string_view service)> cold_time;
    };

    endpoint_catalog(catalog_options options, hooks callbacks);

    // Takes over a record unless a newer one of the same endpoint is known. During the first listing the
    // endpoints count as started long ago.
    void apply(const endpoint_record& record, core::instant now, bool is_first_listing);

    // The record of an endpoint is gone or names no endpoint any more.
    void remove(const std::string& id, core::instant now);

    // The store was away until now: absences count only after the grace time.
    void begin_absence_grace(core::instant now) { m_grace_until = now + m_options.absence_grace; }

    // Removes the endpoints whose records are still missing after the grace time.
    void expire(core::instant now);

    // Sets the zones to whose endpoints nothing may be sent. Endpoints of a zone that is taken back count as
    // cold.
    void set_evacuated_zones(const std::set<std::string>& zones, core::instant now);

    // The endpoints of a service, in a stable order.
    const std::vector<endpoint_pointer>& find_service(std::string_view service) const;

    endpoint_pointer find(const std::string& id) const;
    std::size_t size() const { return m_endpoints.size(); }

private:
    void add(const endpoint_record& record, core::instant now, bool is_first_listing);
    void replace(endpoint& known, const endpoint_record& record, core::instant now);
    void erase(std::map<std::string, endpoint_pointer>::iterator entry);
    void link(const endpoint_pointer& added);
    void unlink(const endpoint& removed);
    bool is_mass_removal(const endpoint& candidate) const;
    void report(catalog_change change, const endpoint& about) const;

    catalog_options m_options;
    hooks m_hooks;
    std::map<std::string, endpoint_pointer> m_endpoints;
    std::map<std::string, std::vector<endpoint_pointer>, std::less<>> m_services;
    std::set<std::string> m_evacuated_zones;
    // Absences do not count before this time.
    core::instant m_grace_until;
};

// Returns whether new requests may be sent to the endpoint at all.
bool may_receive(const endpoint& candidate);

} // namespace quetzalspan::placement
