// The decisions about a request: its route, its key, whether the configuration is recent enough, the
// fleet-wide rate limit, the endpoint and retries. The server for callers calls them as its hooks.

#pragma once

#include "burn/metrics_registry.h"
#include "caller/proxy_hooks.h"
#include "core/log_throttle.h"
#include "dispatch/retry_budget.h"
#include "edge/endpoint_balancer.h"
#include "edge/instance_options.h"
#include "edge/quarantine_exchange.h"
#include "edge/traffic_state.h"
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
    // Maximum age of the last confirmation of the configuration at which a request with a key is still sent.
    core::duration max_configuration_age_for_keys{0};
    // Maximum age of that confirmation at which an unknown route or key is rejected permanently; after it,
    // the caller is told to retry later.
    core::duration max_configuration_age_for_denials{0};
    // Budget of retries to a service over the whole fleet: a fraction of its requests plus a number of
    // retries.
    double retry_budget_fraction = 0;
    double retry_budget_slack = 0;
    // Fraction of that budget that the instances use. The rest covers instances that disagree about the size
    // of the fleet.
    double retry_budget_utilization = 0.8;
    // Maximum number of attempts beyond the limit of the route, allowed for attempts that failed before
    // anything was sent.
    std::uint32_t max_unsent_attempts = 2;
    // Endpoints with a rate limit that are asked for a token for one attempt. After that, only endpoints
    // without a limit are chosen.
    std::uint32_t max_endpoint_token_requests = 2;
    // With less time than this left until the deadline, a retry would only add load.
    core::duration min_remaining_time = std::chrono::milliseconds(40);
    // Retry-after time given to callers while no configuration is known or its confirmation is too old.
    core::duration unconfirmed_retry_after = std::chrono::milliseconds(250);
    // One in this many successful requests is logged.
    std::uint64_t success_log_interval = 64;
    // Lines of one kind that are written per second. Under overload the lines would otherwise take a good
    // part of the processor time; each line says how many of its kind were skipped before it.
    double log_lines_per_second = 50;
};

// Thread-safe; the hooks are called from all request threads.
class request_rules
{
public:
    // Asks the fleet for a token of the workspace's limit.
    using token_hook = std::function<boost::asio::awaitable<quota::quota_decision>(std::string workspace)>;
    // Asks the granter of an endpoint for a token of the rate, in requests per second, that the endpoint has
    // named. Returns zero if it grants one, otherwise the time until the next one; no value without an
    // answer.
    using endpoint_token_hook = std::function<boost::asio::awaitable<std::optional<core::duration>>(
        std::string endpoint, double rate)>;

    request_rules(request_rule_options options, const traffic_state& state, endpoint_balancer& balancer,
                  quota::fleet_quota& fleet_quota, quarantine_exchange& quarantine, token_hook request_token,
                  endpoint_token_hook request_endpoint_token, std::function<std::uint32_t()> fleet_size,
                  burn::metrics_registry& metrics);

    request_rules(const request_rules&) = delete;
    request_rules& operator=(const request_rules&) = delete;

    // Returns the hooks for the server. They refer to this object, which must outlive them.
    caller::proxy_hooks hooks();

private:
    caller::admission_result begin(const caller::request_summary& request);
    // Sets the workspace that the key belongs to. Returns a rejection if the key is missing, malformed or
    // unknown, or if the configuration was confirmed too long ago.
    std::optional<caller::rejection> check_key(const caller::request_summary& request,
                                               const routing::route_table& table,
                                               core::boot_clock::duration age,
                                               const routing::workspace*& workspace) const;
    boost::asio::awaitable<std::optional<caller::rejection>> admit(const caller::admission& admitted);
    // asked_at is when the request was checked against this instance's share of the limit.
    void log_rate_limited(const caller::admission& admitted, const quota::quota_decision& decision,
                          core::duration retry_after, core::instant asked_at);
    boost::asio::awaitable<caller::lease_result> acquire(const caller::request_summary& request,
                                                         const caller::admission& admitted,
                                                         const std::vector<std::string>& tried);
    std::optional<caller::rejection> recheck(const caller::request_summary& request,
                                             const caller::admission& admitted) const;
    // Returns a rejection if endpoints have ended under the same request.
    std::optional<caller::rejection> check_quarantine(const caller::request_summary& request) const;
    void record_attempt(const caller::request_summary& request, const std::string& endpoint,
                        const caller::attempt_result& result);
    // Logs that an endpoint answered an attempt with a status that may tell the caller that it was not run.
    void log_refusal(const caller::request_summary& request, const std::string& endpoint,
                     const caller::attempt_result& result, core::instant now);
    bool may_retry(const caller::admission& admitted, const caller::request_summary& request,
                   const dispatch::attempt_state& state, dispatch::failure at, core::instant now);
    void finish(const caller::request_record& record);
    dispatch::retry_budget& get_retry_budget(const std::string& service);

    request_rule_options m_options;
    const traffic_state& m_state;
    endpoint_balancer& m_balancer;
    quota::fleet_quota& m_fleet_quota;
    quarantine_exchange& m_quarantine;
    token_hook m_request_token;
    endpoint_token_hook m_request_endpoint_token;
    std::function<std::uint32_t()> m_fleet_size;
    routing::traffic_split m_split;
    burn::counter& m_relayed;
    burn::counter& m_retries;
    burn::counter& m_retries_refused;
    burn::counter& m_malformed;
    burn::counter& m_tokens_granted;
    burn::counter& m_tokens_refused;
    burn::summary& m_latency;
    // Request counters, indexed by failure; looked up at construction to keep the lookup off the request
    // path.
    std::vector<burn::counter*> m_failures;
    std::atomic<std::uint64_t> m_successes{0};
    core::log_throttle m_request_lines;
    core::log_throttle m_rejection_lines;
    core::log_throttle m_retry_lines;
    core::log_throttle m_refusal_lines;
    std::mutex m_mutex;
    // By service. m_mutex protects the map; the budgets themselves are thread-safe.
    std::map<std::string, std::unique_ptr<dispatch::retry_budget>> m_budgets;
};

} // namespace quetzalspan::edge
