// Finds the route of a request, checks its key, applies the rate limit, and decides about retries; counts and
// logs how requests end.

#include "edge/request_rules.h"

#include "core/log_event.h"
#include "quota/retry_after.h"

#include <boost/asio/awaitable.hpp>

#include <random>

namespace quetzalspan::edge
{

namespace asio = boost::asio;
using caller::admission;
using caller::rejection;
using caller::request_summary;
using dispatch::failure;

namespace
{

// Under overload most refusals are alike, and the lines of retries and requests tell their number.
constexpr double refusal_lines_per_second = 10;

constexpr std::size_t failure_count = static_cast<std::size_t>(failure::internal_error) + 1;

// State of an admitted request that later hooks use. The table owns what the pointers to the route, workspace
// and service refer to and is held to keep them valid.
struct request_context {
    std::string request_id;
    route_table_pointer table;
    const routing::route* route = nullptr;
    const routing::workspace* workspace = nullptr;
    const routing::service* service_config = nullptr;
    // Owned by request_rules.
    dispatch::retry_budget* budget = nullptr;
};

const request_context& get_context(const admission& admitted)
{
    return *static_cast<const request_context*>(admitted.hook_data.get());
}

std::string_view extract_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

double random_fraction()
{
    thread_local std::mt19937_64 generator{std::random_device()()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

} // namespace

request_rules::request_rules(request_rule_options options, const traffic_state& state,
                             endpoint_balancer& balancer, quota::fleet_quota& fleet_quota,
                             quarantine_exchange& quarantine, token_hook request_token,
                             endpoint_token_hook request_endpoint_token,
                             std::function<std::uint32_t()> fleet_size, burn::metrics_registry& metrics)
    : m_options(options),
      m_state(state),
      m_balancer(balancer),
      m_fleet_quota(fleet_quota),
      m_quarantine(quarantine),
      m_request_token(std::move(request_token)),
      m_request_endpoint_token(std::move(request_endpoint_token)),
      m_fleet_size(std::move(fleet_size)),
      m_split(random_fraction()),
      m_relayed(
          metrics.get_counter("requests_total", "Requests by how they ended.", {{"reason", "relayed"}})),
      m_retries(metrics.get_counter("retries_total", "Requests sent to a further endpoint.")),
      m_retries_refused(metrics.get_counter("retries_refused_total", "Retries that the budget refused.")),
      m_malformed(metrics.get_counter("malformed_messages_total", "Messages that are no acceptable HTTP.")),
      m_tokens_granted(metrics.get_counter("tokens_total", "Requests that asked a collector for a token.",
                                           {{"result", "granted"}})),
      m_tokens_refused(metrics.get_counter("tokens_total", "Requests that asked a collector for a token.",
                                           {{"result", "refused"}})),
      m_latency(metrics.get_summary("request_seconds", "Time from the header of a request to its end.")),
      m_request_lines(options.log_lines_per_second),
      m_rejection_lines(options.log_lines_per_second),
      m_retry_lines(options.log_lines_per_second),
      m_refusal_lines(refusal_lines_per_second)
{
    for (std::size_t index = 0; index < failure_count; ++index) {
        const std::string reason(dispatch::outcome_rule_for(static_cast<failure>(index)).reason);
        m_failures.push_back(
            &metrics.get_counter("requests_total", "Requests by how they ended.", {{"reason", reason}}));
    }
}

caller::proxy_hooks request_rules::hooks()
{
    caller::proxy_hooks result;
    result.route_request = [this](const request_summary& request, core::instant) { return begin(request); };
    result.enforce_rate_limit = [this](const admission& admitted,
                                       caller::wait_context&) -> asio::awaitable<std::optional<rejection>> {
        co_return co_await admit(admitted);
    };
    result.acquire_endpoint = [this](const request_summary& request, const admission& admitted,
                                     const std::vector<std::string>& tried,
                                     caller::wait_context&) -> asio::awaitable<caller::lease_result> {
        co_return co_await acquire(request, admitted, tried);
    };
    result.recheck_authorization = [this](const request_summary& request, const admission& admitted,
                                          core::instant) { return recheck(request, admitted); };
    result.grant_retry = [this](const request_summary& request, const admission& admitted,
                                const dispatch::attempt_state& state, failure at,
                                core::instant now) { return may_retry(admitted, request, state, at, now); };
    result.on_attempt_finished = [this](const request_summary& request, const std::string& endpoint,
                                        const caller::attempt_result& attempt) {
        record_attempt(request, endpoint, attempt);
    };
    result.on_finished = [this](const caller::request_record& record) { finish(record); };
    result.on_message_rejected = [this](failure at, std::string_view peer) {
        m_malformed.add();
        core::info_event("malformed_message")
            .with("reason", dispatch::outcome_rule_for(at).reason)
            .with("peer", peer);
    };
    return result;
}

caller::admission_result request_rules::begin(const request_summary& request)
{
    if (m_state.is_rejecting_requests.load(std::memory_order_relaxed)) {
        return rejection{failure::stopping, std::chrono::milliseconds(1)};
    }
    const route_table_pointer table = m_state.table();
    if (!table) {
        return rejection{failure::no_configuration, m_options.unconfirmed_retry_after};
    }
    const core::boot_clock::duration age = m_state.age(core::boot_clock::now());
    const routing::route* route = table->find_route(request.host, extract_path(request.target));
    if (route == nullptr) {
        // A newer configuration that has not reached this instance may contain the route.
        return age > m_options.max_configuration_age_for_denials
                   ? rejection{failure::no_authority, m_options.unconfirmed_retry_after}
                   : rejection{failure::no_route};
    }
    const core::instant deadline = route->time_limit > core::duration(0)
                                       ? std::min(request.deadline, request.received_at + route->time_limit)
                                       : request.deadline;
    if (!m_state.can_finish_by(deadline)) {
        return rejection{failure::stopping, std::chrono::milliseconds(1)};
    }
    const routing::workspace* workspace = nullptr;
    if (!route->is_public) {
        const std::optional<rejection> denial = check_key(request, *table, age, workspace);
        if (denial) {
            return *denial;
        }
    }
    admission result;
    result.service = m_split.next_service(*route);
    result.configuration_revision = table->version();
    result.is_public = route->is_public;
    result.is_repeatable = route->is_repeatable;
    result.time_limit = route->time_limit;
    result.max_attempts = route->attempt_limit;
    if (workspace != nullptr) {
        result.workspace = workspace->name;
    }
    const std::shared_ptr<request_context> context = std::make_shared<request_context>();
    context->request_id = request.request_id;
    context->route = route;
    context->workspace = workspace;
    context->service_config = table->find_service(result.service);
    context->table = table;
    context->budget = &get_retry_budget(result.service);
    context->budget->record_request();
    result.hook_data = context;
    return result;
}

std::optional<rejection> request_rules::check_key(const request_summary& request,
                                                  const routing::route_table& table,
                                                  core::boot_clock::duration age,
                                                  const routing::workspace*& workspace) const
{
    if (request.key_fault) {
        return rejection{*request.key_fault};
    }
    workspace = table.find_workspace_by_key_digest(request.key_digest);
    if (workspace == nullptr) {
        return age > m_options.max_configuration_age_for_denials
                   ? rejection{failure::no_authority, m_options.unconfirmed_retry_after}
                   : rejection{failure::key_unknown};
    }
    if (age > m_options.max_configuration_age_for_keys) {
        return rejection{failure::no_authority, m_options.unconfirmed_retry_after};
    }
    return std::nullopt;
}

asio::awaitable<std::optional<rejection>> request_rules::admit(const admission& admitted)
{
    if (admitted.is_public) {
        co_return std::nullopt;
    }
    const core::instant now = current_time();
    quota::quota_decision decision;
    // Without a lease the others may have divided this instance's share among themselves.
    if (m_state.is_member(core::boot_clock::now())) {
        decision = m_fleet_quota.admit(admitted.workspace, now);
    }
    if (decision.is_admitted) {
        co_return std::nullopt;
    }
    const quota::quota_decision asked = co_await m_request_token(admitted.workspace);
    (asked.is_admitted ? m_tokens_granted : m_tokens_refused).add();
    if (asked.is_admitted) {
        m_fleet_quota.record_reserve_token(admitted.workspace, current_time());
        co_return std::nullopt;
    }
    // A limit that is not divided into shares has no token bucket on this instance, so only the granter's
    // answer can tell when the next token is expected.
    const core::duration next_token =
        decision.retry_after > core::duration(0) ? decision.retry_after : asked.retry_after;
    const core::duration retry_after =
        quota::compute_retry_after(next_token, decision.admitted_fraction, random_fraction());
    log_rate_limited(admitted, decision, retry_after, now);
    co_return rejection{failure::rate_limited, retry_after};
}

void request_rules::log_rate_limited(const admission& admitted, const quota::quota_decision& decision,
                                     core::duration retry_after, core::instant asked_at)
{
    const core::instant now = current_time();
    const std::optional<std::uint64_t> skipped = m_rejection_lines.try_take(now);
    if (!skipped) {
        return;
    }
    core::info_event("rate_limited")
        .with("request_id", get_context(admitted).request_id)
        .with("workspace", admitted.workspace)
        .with("configuration", admitted.configuration_revision)
        .with("share_permille", static_cast<int>(decision.share * 1000))
        .with("demand_per_s", static_cast<int>(decision.demand))
        .with("asked_ms", core::to_milliseconds(now - asked_at))
        .with("retry_after_ms", core::to_milliseconds(retry_after))
        .with("lines_skipped", *skipped);
}

asio::awaitable<caller::lease_result> request_rules::acquire(const request_summary& request,
                                                             const admission& admitted,
                                                             const std::vector<std::string>& tried)
{
    if (const std::optional<rejection> quarantined = check_quarantine(request)) {
        co_return *quarantined;
    }
    const request_context& context = get_context(admitted);
    attempt_request attempt;
    attempt.request_id = request.request_id;
    attempt.affinity = request.affinity_key;
    attempt.service = &admitted.service;
    attempt.route = context.route;
    attempt.workspace = context.workspace;
    attempt.service_config = context.service_config;
    attempt.tried = &tried;
    for (std::uint32_t token_requests = 0;; ++token_requests) {
        attempt.skips_rate_limited = token_requests == m_options.max_endpoint_token_requests;
        endpoint_balancer::acquire_result chosen = m_balancer.acquire(attempt, current_time());
        if (caller::endpoint_lease* lease = std::get_if<caller::endpoint_lease>(&chosen)) {
            co_return std::move(*lease);
        }
        if (const rejection* rejected = std::get_if<rejection>(&chosen)) {
            co_return *rejected;
        }
        const rate_limited_endpoint limited = std::get<rate_limited_endpoint>(chosen);
        const std::optional<core::duration> token_wait =
            co_await m_request_endpoint_token(limited.id, limited.rate);
        std::optional<caller::endpoint_lease> lease =
            m_balancer.acquire_rate_limited(limited, attempt, token_wait, current_time());
        if (lease) {
            co_return std::move(*lease);
        }
    }
}

std::optional<rejection> request_rules::check_quarantine(const request_summary& request) const
{
    const std::optional<core::duration> remaining =
        m_quarantine.find_remaining(request.fingerprint, current_time());
    return remaining ? std::optional<rejection>({failure::request_quarantined, *remaining}) : std::nullopt;
}

void request_rules::record_attempt(const request_summary& request, const std::string& endpoint,
                                   const caller::attempt_result& result)
{
    const core::instant now = current_time();
    log_refusal(request, endpoint, result, now);
    if (result.has_endpoint_ended) {
        m_quarantine.record_end(request.fingerprint, endpoint, request.request_id, request.target, now);
    } else if (!result.failure) {
        m_quarantine.record_success(request.fingerprint, now);
    }
}

void request_rules::log_refusal(const request_summary& request, const std::string& endpoint,
                                const caller::attempt_result& result, core::instant now)
{
    if (!dispatch::is_not_run_status(result.status) && result.failure != failure::upstream_shed) {
        return;
    }
    const std::optional<std::uint64_t> skipped = m_refusal_lines.try_take(now);
    if (!skipped) {
        return;
    }
    core::info_event("attempt_refused")
        .with("request_id", request.request_id)
        .with("endpoint", endpoint)
        .with("status", result.status)
        .with("reason", result.failure ? dispatch::outcome_rule_for(*result.failure).reason : "relayed")
        .with("repeatable", request.is_idempotent)
        .with("connection", result.connection_number)
        .with("reused", result.is_connection_reused)
        .with("attempt_ms", core::to_milliseconds(result.total_time))
        .with("lines_skipped", *skipped);
}

std::optional<rejection> request_rules::recheck(const request_summary& request,
                                                const admission& admitted) const
{
    if (admitted.is_public) {
        return std::nullopt;
    }
    if (m_state.age(core::boot_clock::now()) > m_options.max_configuration_age_for_keys) {
        return rejection{failure::no_authority, m_options.unconfirmed_retry_after};
    }
    const route_table_pointer newest = m_state.table();
    const routing::workspace* workspace = newest->find_workspace_by_key_digest(request.key_digest);
    if (workspace == nullptr || workspace->name != admitted.workspace) {
        return rejection{failure::key_revoked};
    }
    return std::nullopt;
}

dispatch::retry_budget& request_rules::get_retry_budget(const std::string& service)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::unique_ptr<dispatch::retry_budget>& budget = m_budgets[service];
    const double slack =
        m_options.retry_budget_utilization * m_options.retry_budget_slack / std::max(m_fleet_size(), 1U);
    if (!budget) {
        dispatch::retry_budget_options options;
        options.retries_per_request = m_options.retry_budget_utilization * m_options.retry_budget_fraction;
        options.initial_retries = slack;
        options.max_retries = slack;
        budget = std::make_unique<dispatch::retry_budget>(options);
    }
    budget->set_max_retries(slack);
    return *budget;
}

bool request_rules::may_retry(const admission& admitted, const request_summary& request,
                              const dispatch::attempt_state& state, failure at, core::instant now)
{
    if (!dispatch::allows_retry(at, state.is_idempotent) || !state.is_body_replayable) {
        return false;
    }
    if (state.sent_attempts >= admitted.max_attempts ||
        state.attempts >= admitted.max_attempts + m_options.max_unsent_attempts ||
        state.deadline - now < m_options.min_remaining_time) {
        return false;
    }
    // No earlier attempt was sent to an endpoint, so this one is not a retry and costs no budget.
    if (state.sent_attempts == 0) {
        return true;
    }
    const bool is_granted = get_context(admitted).budget->try_spend();
    (is_granted ? m_retries : m_retries_refused).add();
    if (const std::optional<std::uint64_t> skipped = m_retry_lines.try_take(now)) {
        core::info_event("retry")
            .with("request_id", request.request_id)
            .with("reason", dispatch::outcome_rule_for(at).reason)
            .with("sends", state.sent_attempts)
            .with("granted", is_granted)
            .with("lines_skipped", *skipped);
    }
    return is_granted;
}

void request_rules::finish(const caller::request_record& record)
{
    (record.failure ? *m_failures[static_cast<std::size_t>(*record.failure)] : m_relayed).add();
    m_latency.record(record.total_time);
    const bool is_logged = record.failure.has_value() || record.status >= 500 ||
                           m_successes.fetch_add(1) % m_options.success_log_interval == 0;
    const std::optional<std::uint64_t> skipped =
        is_logged ? m_request_lines.try_take(current_time()) : std::nullopt;
    if (!skipped) {
        return;
    }
    core::info_event event("request");
    event.with("request_id", record.summary.request_id)
        .with("host", record.summary.host)
        .with("workspace", record.request_admission.workspace)
        .with("service", record.request_admission.service)
        .with("configuration", record.request_admission.configuration_revision)
        .with("affinity", record.summary.affinity_key)
        .with("endpoint", record.endpoint)
        .with("status", record.status)
        .with("outcome", dispatch::outcome_names.name(record.outcome))
        .with("attempts", record.attempts)
        .with("total_ms", core::to_milliseconds(record.total_time))
        .with("lines_skipped", *skipped);
    if (record.failure) {
        event.with("reason", dispatch::outcome_rule_for(*record.failure).reason);
        const core::boot_clock::duration age = m_state.age(core::boot_clock::now());
        event.with("configuration_age_ms", core::to_milliseconds(age));
    }
}

} // namespace quetzalspan::edge
