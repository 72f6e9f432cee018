// Keeps the endpoints that service discovery has announced and decides which of them may receive new
// requests.

#pragma once

#include "core/name_table.h"
#include "placement/endpoint.h"

#include <deque>
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
    // How long endpoints without a record are kept after an outage of the record store. Records that expired
    // during the outage are written again within about 2 s after the store is available.
    core::duration removal_grace_period = std::chrono::milliseconds(2200);
};

enum class catalog_change {
    added,
    restarted,
    updated,
    draining,
    // It said in a response that it is leaving.
    leaving,
    missing,
    removed,
    outdated_record_ignored,
    evacuated,
    evacuation_ended,
};

inline constexpr core::name_table catalog_change_names{std::array<core::named_value<catalog_change>, 10>{{
    {catalog_change::added, "added"},
    {catalog_change::restarted, "restarted"},
    {catalog_change::updated, "updated"},
    {catalog_change::draining, "draining"},
    {catalog_change::leaving, "leaving"},
    {catalog_change::missing, "missing"},
    {catalog_change::removed, "removed"},
    {catalog_change::outdated_record_ignored, "outdated-record-ignored"},
    {catalog_change::evacuated, "evacuated"},
    {catalog_change::evacuation_ended, "returned"},
}}};

using endpoint_pointer = std::shared_ptr<endpoint>;

// Not thread-safe.
class endpoint_catalog
{
public:
    struct hooks {
        // Called for each change of an endpoint, and for each outdated record that is ignored.
        std::function<void(catalog_change, const endpoint&)> on_change;
        // Returns how long an endpoint of the service stays cold after it starts or its zone's evacuation
        // ends.
        std::function<core::duration(std::string_view service)> get_cold_duration;
    };

    endpoint_catalog(catalog_options options, hooks callbacks);

    // Adds or updates an endpoint from its record. Ignores the record if a newer one of the same endpoint is
    // known. New endpoints in the first listing are assumed to have started long ago, so they are cold only
    // as far as their record says.
    void apply(const endpoint_record& record, core::instant now, bool is_first_listing);

    // Handles that the record of an endpoint was deleted or no longer describes an endpoint. Removes the
    // endpoint at once, or marks it as missing during a grace period.
    void remove(const std::string& id, core::instant now);

    // Starts the grace period for missing records after an outage of the record store.
    void begin_removal_grace_period(core::instant now)
    {
        m_grace_until = now + m_options.removal_grace_period;
    }

    // Removes the endpoints whose records are still missing after the grace period. Called before each choice
    // of an endpoint, so that none is used beyond that period.
    void remove_missing(core::instant now);

    // Sets the availability zones whose endpoints receive no new requests. Endpoints of a zone that is no
    // longer evacuated become cold.
    void set_evacuated_zones(const std::set<std::string>& zones, core::instant now);

    // Handles that an endpoint has said in a response that it is leaving. Returns whether this was not known.
    bool mark_leaving(endpoint& subject);

    // Returns the endpoints of a service in ascending order of their ids; empty if there are none.
    const std::vector<endpoint_pointer>& find_service(std::string_view service) const;

    // Returns null if no endpoint has the id.
    endpoint_pointer find(const std::string& id) const;
    std::size_t size() const { return m_endpoints.size(); }

private:
    void add(const endpoint_record& record, core::instant now, bool is_first_listing);
    void update(endpoint& existing, const endpoint_record& record, core::instant now);
    void remember_if_leaving(const endpoint& removed);
    // Keeps the sends that may have reached the next incarnation of an endpoint until it is added.
    void keep_send_times(endpoint& former, core::instant now);
    void restore_send_times(endpoint& added, core::instant now);
    void erase(std::map<std::string, endpoint_pointer>::iterator entry, core::instant now);
    void add_to_service(const endpoint_pointer& added);
    void remove_from_service(const endpoint& removed);
    void notify_change(catalog_change change, const endpoint& subject) const;

    catalog_options m_options;
    hooks m_hooks;
    // Keyed by the id of the endpoint.
    std::map<std::string, endpoint_pointer> m_endpoints;
    // The incarnations that were leaving when they were removed, by id. A record of one of them may come
    // back, for example after an outage of the record store.
    std::map<std::string, std::uint64_t> m_left_incarnations;
    // The recent sends to endpoints that were removed, by id. An endpoint that starts anew may be removed
    // before its new record arrives.
    std::map<std::string, std::deque<core::instant>> m_former_send_times;
    // Keyed by the name of the service; each list is sorted by id.
    std::map<std::string, std::vector<endpoint_pointer>, std::less<>> m_services;
    std::set<std::string> m_evacuated_zones;
    // Endpoints with a missing record are kept until this time.
    core::instant m_grace_until;
    // Whether an endpoint with a missing record is kept.
    bool m_keeps_missing = false;
};

// Returns whether new requests may be sent to the endpoint: it is serving, not leaving, not evacuated and not
// removed.
bool may_receive(const endpoint& candidate);

} // namespace quetzalspan::placement
