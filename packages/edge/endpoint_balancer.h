// Load balancing over the endpoints of upstream services: chooses an endpoint for each attempt and updates
// its health from the result.

#pragma once

#include "burn/metrics_registry.h"
#include "caller/proxy_hooks.h"
#include "core/log_throttle.h"
#include "edge/instance_options.h"
#include "edge/load_collector.h"
#include "placement/endpoint_health.h"
#include "placement/endpoint_selection.h"
#include "placement/object_spread.h"
#include "placement/region_weights.h"
#include "routing/route_table.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace quetzalspan::edge
{

struct balancer_options {
    placement::catalog_options catalog;
    placement::endpoint_selection_options choice;
    placement::health_options health;
    placement::region_weight_options regions;
    std::string own_region;
    // A cold endpoint, one that started recently, may receive its configured rate times the factor plus the
    // slack in requests per second from the whole fleet.
    double cold_rate_factor = 1;
    double cold_rate_slack = 0;
    // Fraction of that limit that the instances use.
    double cold_limit_utilization = 0.85;
    // How old the last confirmation of the endpoints' records may be. It covers the change of the peer that
    // confirms them.
    core::duration max_discovery_age = std::chrono::milliseconds(2150);
    placement::object_spread_options spread;
    // The size of a fleet from which on the load of endpoints is shared between instances, and endpoints are
    // chosen by the expected time.
    std::uint32_t min_load_sharing_fleet = 16;
    // Retry-after time given to callers when no endpoint can take the request.
    core::duration busy_retry_after = std::chrono::milliseconds(60);
    // The time over which callers return after all endpoints of a service have asked for no request.
    core::duration wait_spread = std::chrono::milliseconds(500);
};

// The properties of a request that the choice of an endpoint depends on.
struct attempt_request {
    std::string_view request_id;
    std::string_view affinity;
    const std::string* service = nullptr;
    const routing::route* route = nullptr;
    // Null on a public route.
    const routing::workspace* workspace = nullptr;
    // Null if the configuration does not describe the service.
    const routing::service* service_config = nullptr;
    // The identities of the endpoints that earlier attempts of the request used.
    const std::vector<std::string>* tried = nullptr;
    // Whether endpoints with a rate limit are left out.
    bool skips_rate_limited = false;
};

// An endpoint that is chosen for an attempt and may receive it only with a token of its rate limit.
struct rate_limited_endpoint {
    placement::endpoint_pointer target;
    std::string id;
    // In requests per second.
    double rate = 0;
};

// Thread-safe.
class endpoint_balancer
{
public:
    using fleet_position_hook = std::function<placement::fleet_view()>;
    // Returns whether an idle connection to the endpoint was opened at the given time or before.
    using idle_connection_hook = std::function<bool(const placement::endpoint&, core::instant opened_until)>;

    endpoint_balancer(balancer_options options, fleet_position_hook get_fleet_position,
                      burn::metrics_registry& metrics);

    // Called before the first request. Without this hook there are no idle connections.
    void set_idle_connection_hook(idle_connection_hook has_idle_connection);

    endpoint_balancer(const endpoint_balancer&) = delete;
    endpoint_balancer& operator=(const endpoint_balancer&) = delete;

    using acquire_result = std::variant<caller::endpoint_lease, caller::rejection, rate_limited_endpoint>;

    // Chooses an endpoint for an attempt. Returns a lease, which reports the result of the attempt back, or a
    // rejection if no endpoint can take the request. For an endpoint with a rate limit, the caller asks its
    // granter for a token and then calls acquire_rate_limited().
    acquire_result acquire(const attempt_request& request, core::instant now);

    // Returns a lease for the chosen endpoint, or no value if there is no token for the request or the
    // endpoint may not receive it any more. token_wait is the granter's answer: zero if it has granted a
    // token, otherwise the time until the next one; no value if it did not answer.
    std::optional<caller::endpoint_lease> acquire_rate_limited(const rate_limited_endpoint& chosen,
                                                               const attempt_request& request,
                                                               std::optional<core::duration> token_wait,
                                                               core::instant now);

    // Apply changes from service discovery and from operators. After begin_removal_grace_period(), which is
    // called when an outage of the store has ended, endpoints that are removed are kept for a grace period.
    void apply(const placement::endpoint_record& record, bool is_first_listing, core::instant now);
    void remove(const std::string& id, core::instant now);
    void begin_removal_grace_period(core::instant now);
    // Records the time up to which the announced changes are complete.
    void record_discovery(core::instant complete_until);
    // Records that the machine was suspended for this time, which the steady clock does not count. What was
    // known before is older by it.
    void record_suspension(core::duration length);
    void set_evacuated_zones(const std::set<std::string>& zones, core::instant now);
    void set_table(std::shared_ptr<const routing::route_table> table);

    // Returns whether the load of endpoints is shared with other instances.
    bool is_load_shared() const;
    // Returns the reports that responses to this instance have brought since the last call. Endpoints that
    // are neither busy nor slow are left out unless the others were told that they are.
    load_collector::loads take_unshared_loads(core::instant now);
    // Uses reports that other instances received. Reports of unknown endpoints and those that are older than
    // the known ones are ignored.
    void apply_shared_loads(const load_collector::loads& loads, core::instant now);

    // Drops endpoints whose grace period is over, updates the weights of regions and detects slow endpoints.
    // Called periodically.
    void update_periodically(core::instant now);

    // Returns whether an endpoint with this id is known.
    bool knows(const std::string& id) const;
    // Returns the number of known endpoints.
    std::size_t size() const;

private:
    placement::cold_limit compute_cold_limit(const routing::service* service_config, core::instant now) const;
    placement::discovery_state find_discovery_state(core::instant now) const;
    const routing::service* find_service(const placement::endpoint& target) const;
    core::duration compute_retry_after(const attempt_request& request,
                                       const placement::endpoint_selection& chosen) const;
    void log_no_endpoint(const attempt_request& request, const placement::endpoint_selection& chosen,
                         core::instant now);
    placement::endpoint_selection_request make_criteria(const attempt_request& request) const;
    // Records that the endpoint has closed idle connections early, and returns whether a new one may be
    // opened.
    bool confirm_reconnect(const placement::endpoint_pointer& target, const std::string& request_id);
    void record_interruption(placement::endpoint& target, std::string_view request_id, std::string_view cause,
                             core::instant now);
    // Counts a send to the endpoint and returns its lease.
    caller::endpoint_lease begin_send(const placement::endpoint_pointer& target,
                                      const attempt_request& request, core::instant now);
    caller::endpoint_lease make_lease(const placement::endpoint_pointer& target,
                                      const attempt_request& request, core::instant now);
    void release(const placement::endpoint_pointer& target, const std::string& request_id,
                 const caller::attempt_result& result);
    void record_service_time(const placement::endpoint& target, core::duration time);
    // Records what the result of an attempt tells of whether the endpoint has started anew.
    void record_incarnation_evidence(placement::endpoint& target, const std::string& request_id,
                                     const caller::attempt_result& result, placement::attempt_outcome outcome,
                                     core::instant sent, core::instant now);
    // reported_at is when the endpoint's report arrived. A malformed report is counted and logged.
    void record_load_report(const placement::endpoint_pointer& target, const std::string& text,
                            core::instant reported_at, core::instant now);
    // Returns how many endpoints may serve the object of the request, and counts the request.
    std::size_t find_spread(const attempt_request& request, core::instant now);
    void update_rate_limit(placement::endpoint& target, const std::string& request_id, double rate_limit);
    void detect_slow_endpoints(const std::vector<placement::endpoint_pointer>& endpoints, core::instant now);
    void update_region_weights(const std::string& service,
                               const std::vector<placement::endpoint_pointer>& endpoints, core::instant now);
    static placement::attempt_outcome classify_attempt(const caller::attempt_result& result);
    static void log_change(placement::catalog_change change, const placement::endpoint& about);

    balancer_options m_options;
    fleet_position_hook m_get_fleet_position;
    idle_connection_hook m_has_idle_connection;
    burn::counter& m_sends;
    burn::counter& m_spilled;
    burn::counter& m_ejections;
    burn::counter& m_interruptions;
    burn::counter& m_leaving;
    burn::counter& m_waits;
    burn::counter& m_limit_changes;
    burn::counter& m_tokens_granted;
    burn::counter& m_tokens_refused;
    burn::counter& m_tokens_unanswered;
    burn::counter& m_load_reports_rejected;
    core::log_throttle m_load_report_lines;
    core::log_throttle m_no_endpoint_lines;
    mutable std::mutex m_mutex;
    // The rest is guarded by m_mutex.
    std::shared_ptr<const routing::route_table> m_table;
    placement::endpoint_catalog m_catalog;
    placement::fleet_view m_position;
    placement::object_spread m_spread;
    // The moving average of the time to the header of successful responses, in seconds, by service.
    std::map<std::string, double, std::less<>> m_service_seconds;
    // The endpoints whose newest report the other instances have not been told of.
    std::vector<placement::endpoint_pointer> m_unshared_loads;
    // The announced changes are complete up to this time. It does not advance until the end of an outage of
    // the store has settled.
    core::instant m_discovered_until;
    // Until this time, records that expired during an outage of the store may still come back.
    core::instant m_discovery_settled_at;
    // The weights of regions for requests that may run in any of them, by service.
    std::map<std::string, placement::region_weights> m_region_weights;
    std::vector<placement::home_region_demand> m_homed_demand;
};

} // namespace quetzalspan::edge
