// The decisions about a request: route, key, freshness, fleet-wide limit, endpoint and retry. They are the
// hooks of the server that faces the callers.

#pragma once

#include "burn/metrics_registry.h"
#include "caller/proxy_hooks.h"
#include "dispatch/retry_budget.h"
#include "edge/instance_options.h"
#include "edge/traffic_state.h"
#include "edge/upstreams.h"
#include "quota/fleet_quota.h"
#include "routing/traffic_split.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

struct request_rule_options {
    core::duration key_lifetime{0};
    core::duration max_configuration_age_for_denials{0};
    // Second sends to a service: a share of its requests and a number for the whole fleet.
    double retry_share = 0;
    double retry_slack = 0;
    // Part of both that is used; the rest covers instances that know different sizes of the fleet.
    double retry_budget_utilization = 0.8;
    // Attempts beyond the limit of the route that failed before anything was sent.
    std::uint32_t max_unsent_attempts = 2;
    // A retry with less time left than this would only add load.
    core::duration min_remaining_time = std::chrono::milliseconds(40);
    // Callers are told to come back after this time while no configuration is known or confirmed.
    core::duration unconfirmed_retry_after = std::chrono::milliseconds(250);
    // One of so many successful requests is logged.
    std::uint64_t success_log_interval = 64;
};

// Called from all request threads.
class request_rules
{
public:
    // Asks the fleet for a token of the workspace's limit.
    using token_hook = std::function<boost::asio::awaitable<quota::quota_decision>(std::string workspace)>;

    request_rules(request_rule_options options, const traffic_state& state, endpoint_balancer& balancer,
                  quota::fleet_quota& fleet_quota, token_hook request_token,
                  std::function<std::uint32_t()> fleet_size, burn::metrics_registry& metrics);

    request_rules(const request_rules&) = delete;
    request_rules& operator=(const request_rules&) = delete;

    // The rules must outlive the hooks.
    caller::proxy_hooks hooks();

private:
    caller::begin_result begin(const caller::request_summary& request);
    std::optional<caller::rejection> check_key(const caller::request_summary& request,
                                               const routing::route_table& table,
                                               core::boot_clock::duration age,
                                               const routing::workspace*& found) const;
    boost::asio::awaitable<std::optional<caller::rejection>> admit(const caller::admission& admitted);
    caller::acquire_result acquire(const caller::request_summary& request, const caller::admission& admitted,
                                   const std::vector<std::string>& tried, core::instant now);
    std::optional<caller::rejection> recheck(const caller::request_summary& request,
                                             const caller::admission& admitted) const;
    bool may_retry(const caller::admission& admitted, const caller::request_summary& request,
                   const dispatch::attempt_state& state, dispatch::failure at, core::instant now);
    void finish(const caller::request_record& record);
    dispatch::retry_budget& get_retry_budget(const std::string& service);

    request_rule_options m_options;
    const traffic_state& m_state;
    endpoint_balancer& m_balancer;
    quota::fleet_quota& m_fleet_quota;
    token_hook m_request_token;
    std::function<std::uint32_t()> m_fleet_size;
    routing::traffic_split m_split;
    burn::counter& m_relayed;
    burn::counter& m_retries;
    burn::counter& m_retries_refused;
    burn::counter& m_malformed;
    burn::counter& m_tokens_granted;
    burn::counter& m_tokens_refused;
    burn::summary& m_latency;
    // By failure; resolved at construction so that the request path does not look them up.
    std::vector<burn::counter*> m_failures;
    std::atomic<std::uint64_t> m_successes{0};
    std::mutex m_guard;
    // By service; guarded by m_guard. The budgets themselves are shared by threads.
    std::map<std::string, std::unique_ptr<dispatch::retry_budget>> m_budgets;
};

} // namespace quetzalspan::edge
