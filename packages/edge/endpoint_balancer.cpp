// Chooses endpoints for attempts, records the results in the endpoint catalog, and detects slow endpoints.

#include "edge/endpoint_balancer.h"

#include "core/log_event.h"
#include "core/stable_hash.h"
#include "placement/incarnation_check.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace quetzalspan::edge
{

using placement::attempt_outcome;
using placement::endpoint_pointer;

namespace
{

constexpr unsigned first_server_error_status = 500;
// Under overload many requests find no endpoint.
constexpr double no_endpoint_lines_per_second = 20;

constexpr const char* endpoint_tokens_help = "Requests that needed a token of an endpoint's rate limit.";

constexpr double load_report_lines_per_second = 1;
constexpr std::size_t logged_load_report_chars = 64;

// An endpoint with at most this many free slots is reported to the other instances as busy, one with a higher
// pace as slow.
constexpr std::uint32_t busy_free_slots = 2;
constexpr std::uint32_t slow_pace_percent = 120;

// A report that comes back from other instances seems newer by the time that it spent in queues.
constexpr core::duration min_report_distance = std::chrono::milliseconds(20);

// The weight of the newest response in the average time of a service.
constexpr double service_time_weight = 0.02;

bool is_busy_or_slow(const placement::load_report& report)
{
    return report.running + report.waiting + busy_free_slots >= report.slots ||
           report.pace_percent.value_or(0) > slow_pace_percent;
}

std::string rate_text(double per_second)
{
    if (std::isinf(per_second)) {
        return "none";
    }
    std::ostringstream text;
    text << per_second;
    return text.str();
}

} // namespace

endpoint_balancer::endpoint_balancer(balancer_options options, fleet_position_hook get_fleet_position,
                                     burn::metrics_registry& metrics)
    : m_options(std::move(options)),
      m_get_fleet_position(std::move(get_fleet_position)),
      m_sends(metrics.get_counter("upstream_sends_total", "Requests sent to endpoints.")),
      m_spilled(
          metrics.get_counter("upstream_spilled_total",
                              "Requests sent to another endpoint than the first choice of their object.")),
      m_ejections(metrics.get_counter("upstream_ejections_total", "Endpoints passed over after failures.")),
      m_interruptions(metrics.get_counter("upstream_interruptions_total",
                                          "Failures after which an endpoint may have started anew.")),
      m_leaving(metrics.get_counter("upstream_leaving_total",
                                    "Endpoints that said in a response that they are leaving.")),
      m_waits(metrics.get_counter("upstream_waits_total",
                                  "Responses in which an endpoint asked for no request for a while.")),
      m_limit_changes(
          metrics.get_counter("upstream_limit_changes_total",
                              "Responses in which an endpoint named, changed or lifted its limit.")),
      m_tokens_granted(
          metrics.get_counter("endpoint_tokens_total", endpoint_tokens_help, {{"result", "granted"}})),
      m_tokens_refused(
          metrics.get_counter("endpoint_tokens_total", endpoint_tokens_help, {{"result", "refused"}})),
      m_tokens_unanswered(
          metrics.get_counter("endpoint_tokens_total", endpoint_tokens_help, {{"result", "unanswered"}})),
      m_load_reports_rejected(metrics.get_counter("load_reports_rejected_total",
                                                  "Load reports of endpoints that are malformed.")),
      m_load_report_lines(load_report_lines_per_second),
      m_no_endpoint_lines(no_endpoint_lines_per_second),
      m_catalog(m_options.catalog, {log_change,
                                    [this](std::string_view service) {
                                        const routing::service* service_config =
                                            m_table ? m_table->find_service(service) : nullptr;
                                        return service_config == nullptr ? core::duration(0)
                                                                         : service_config->cold_duration;
                                    }}),
      m_spread(m_options.spread)
{
}

void endpoint_balancer::log_change(placement::catalog_change change, const placement::endpoint& about)
{
    if (change == placement::catalog_change::updated) {
        return;
    }
    core::info_event("endpoint_changed")
        .with("endpoint", about.record.id)
        .with("change", placement::catalog_change_names.name(change))
        .with("service", about.record.service)
        .with("availability_zone", about.record.availability_zone)
        .with("incarnation", about.record.incarnation)
        .with("sequence", about.record.sequence)
        .with("recent_sends", about.recent_send_times.size());
}

void endpoint_balancer::set_idle_connection_hook(idle_connection_hook has_idle_connection)
{
    m_has_idle_connection = std::move(has_idle_connection);
}

void endpoint_balancer::record_discovery(core::instant complete_until)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (complete_until >= m_discovery_settled_at) {
        m_discovered_until = std::max(m_discovered_until, complete_until);
    }
}

void endpoint_balancer::record_suspension(core::duration length)
{
    core::warning_event("machine_suspended").with("for_ms", core::to_milliseconds(length));
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_discovered_until -= length;
}

placement::discovery_state endpoint_balancer::find_discovery_state(core::instant now) const
{
    return {now - m_discovered_until <= m_options.max_discovery_age, m_discovered_until};
}

const routing::service* endpoint_balancer::find_service(const placement::endpoint& target) const
{
    return m_table ? m_table->find_service(target.record.service) : nullptr;
}

placement::cold_limit endpoint_balancer::compute_cold_limit(const routing::service* service_config,
                                                            core::instant now) const
{
    if (service_config == nullptr || service_config->cold_rate <= 0) {
        return {};
    }
    return {(service_config->cold_rate * m_options.cold_rate_factor + m_options.cold_rate_slack) *
                m_options.cold_limit_utilization,
            service_config->cold_duration, find_discovery_state(now)};
}

placement::endpoint_selection_request endpoint_balancer::make_criteria(const attempt_request& request) const
{
    placement::endpoint_selection_request result;
    result.service = *request.service;
    result.affinity = request.route->has_affinity ? request.affinity : std::string_view();
    result.request_id = request.request_id;
    result.own_region = m_options.own_region;
    result.tried_endpoint_ids = request.tried;
    result.is_repeatable = request.route->is_repeatable;
    result.skips_rate_limited = request.skips_rate_limited;
    result.has_idle_connection = m_has_idle_connection;
    return result;
}

endpoint_balancer::acquire_result endpoint_balancer::acquire(const attempt_request& request,
                                                             core::instant now)
{
    placement::endpoint_selection_request criteria = make_criteria(request);
    static const std::vector<std::string> no_home_regions;
    const std::vector<std::string>& workspace_homes =
        request.workspace == nullptr ? no_home_regions : request.workspace->home_regions;
    criteria.is_region_allowed = [&request, &workspace_homes](const std::string& region) {
        return routing::is_region_allowed(request.route->home_regions, workspace_homes, region);
    };

    const std::lock_guard<std::mutex> guard(m_mutex);
    criteria.cold = compute_cold_limit(request.service_config, now);
    m_catalog.remove_missing(now);
    const std::map<std::string, placement::region_weights>::const_iterator weights =
        m_region_weights.find(*request.service);
    if (weights != m_region_weights.end() && workspace_homes.empty()) {
        criteria.region_weight = [weights](const std::string& region) {
            return weights->second.weight(region);
        };
    }
    criteria.uses_expected_time = m_position.size >= m_options.min_load_sharing_fleet;
    if (criteria.uses_expected_time) {
        criteria.max_choices =
            criteria.affinity.empty() ? m_options.spread.min_endpoints : find_spread(request, now);
    }
    const placement::endpoint_selection chosen =
        placement::select_endpoint(m_catalog, criteria, m_position, m_options.choice, now);
    if (!chosen.target) {
        log_no_endpoint(request, chosen, now);
        return caller::rejection{dispatch::failure::no_permit, compute_retry_after(request, chosen)};
    }
    m_spilled.add(chosen.is_spilled ? 1 : 0);
    if (placement::is_rate_limited(*chosen.target)) {
        return rate_limited_endpoint{chosen.target, chosen.target->record.id, chosen.target->rate_limit};
    }
    return begin_send(chosen.target, request, now);
}

std::size_t endpoint_balancer::find_spread(const attempt_request& request, core::instant now)
{
    const std::vector<endpoint_pointer>& endpoints = m_catalog.find_service(*request.service);
    const std::map<std::string, double, std::less<>>::const_iterator seconds =
        m_service_seconds.find(*request.service);
    placement::object_demand demand;
    demand.object_hash = core::stable_hash(request.affinity, core::stable_hash(*request.service));
    demand.instances = m_position.region_size;
    demand.service_seconds = seconds == m_service_seconds.end() ? 0 : seconds->second;
    demand.slots_per_endpoint = endpoints.empty() ? 1 : endpoints.front()->record.slots;
    return m_spread.record_request(demand, now);
}

std::optional<caller::endpoint_lease>
endpoint_balancer::acquire_rate_limited(const rate_limited_endpoint& chosen, const attempt_request& request,
                                        std::optional<core::duration> token_wait, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_catalog.remove_missing(now);
    placement::endpoint& target = *chosen.target;
    bool has_token = false;
    if (token_wait) {
        placement::record_granter_answer(target, *token_wait, now);
        has_token = *token_wait == core::duration(0);
    } else {
        has_token = placement::take_share_token(target, m_position, now);
    }
    (has_token ? m_tokens_granted : token_wait ? m_tokens_refused : m_tokens_unanswered).add();
    // It may have begun to leave, or another request may have used up its cold limit, since it was chosen.
    if (!has_token || !placement::may_receive(target) ||
        !placement::find_send_permission(target, compute_cold_limit(request.service_config, now), m_position,
                                         now)
             .is_granted) {
        return std::nullopt;
    }
    return begin_send(chosen.target, request, now);
}

caller::endpoint_lease endpoint_balancer::begin_send(const endpoint_pointer& target,
                                                     const attempt_request& request, core::instant now)
{
    const placement::send_permission permission = placement::find_send_permission(
        *target, compute_cold_limit(request.service_config, now), m_position, now);
    m_sends.add();
    ++target->outstanding_requests;
    ++target->sent_requests;
    placement::record_send(*target, now);
    caller::endpoint_lease lease = make_lease(target, request, now);
    if (permission.opened_until) {
        lease.restrict_to_connections(*permission.opened_until);
    }
    return lease;
}

core::duration endpoint_balancer::compute_retry_after(const attempt_request& request,
                                                      const placement::endpoint_selection& chosen) const
{
    if (!chosen.earliest_wait) {
        return m_options.busy_retry_after;
    }
    // Callers return one after the other, not all when the first endpoint takes requests again.
    constexpr std::uint64_t steps = 16;
    const std::uint64_t step = core::stable_hash(request.request_id) % steps;
    return std::max(*chosen.earliest_wait, m_options.busy_retry_after) +
           m_options.wait_spread * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(steps);
}

void endpoint_balancer::log_no_endpoint(const attempt_request& request,
                                        const placement::endpoint_selection& chosen, core::instant now)
{
    const std::optional<std::uint64_t> skipped = m_no_endpoint_lines.try_take(now);
    if (!skipped) {
        return;
    }
    core::info_event("no_endpoint")
        .with("request_id", request.request_id)
        .with("service", *request.service)
        .with("candidates", chosen.candidates)
        .with("cause",
              chosen.fault == placement::endpoint_selection_error::at_capacity ? "all-busy" : "none-known")
        .with("lines_skipped", *skipped);
}

caller::endpoint_lease endpoint_balancer::make_lease(const endpoint_pointer& target,
                                                     const attempt_request& request, core::instant now)
{
    caller::endpoint_lease lease = caller::endpoint_lease::create(
        target->record.id, target->record.host, target->record.port,
        [this, target, id = std::string(request.request_id)](const caller::attempt_result& result) {
            release(target, id, result);
        });
    lease.set_reconnect_check(
        [this, target, id = std::string(request.request_id)] { return confirm_reconnect(target, id); });
    lease.set_connection_handler(
        [this, target, counted_at = now](core::instant opened_at, core::instant now) {
            const std::lock_guard<std::mutex> guard(m_mutex);
            placement::record_connection(*target, compute_cold_limit(find_service(*target), now), opened_at,
                                         counted_at, now);
        });
    core::debug_event("endpoint_chosen")
        .with("request_id", request.request_id)
        .with("endpoint", target->record.id)
        .with("outstanding", target->outstanding_requests)
        .with("cold", now < target->cold_until);
    return lease;
}

bool endpoint_balancer::confirm_reconnect(const endpoint_pointer& target, const std::string& request_id)
{
    const core::instant now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> guard(m_mutex);
    record_interruption(*target, request_id, "idle-connection-closed", now);
    return placement::may_reconnect(*target, compute_cold_limit(find_service(*target), now), m_position, now);
}

void endpoint_balancer::record_interruption(placement::endpoint& target, std::string_view request_id,
                                            std::string_view cause, core::instant now)
{
    const bool is_news = !placement::may_have_ended(target, find_discovery_state(now).is_current, now);
    placement::record_interruption(target, now);
    if (!is_news) {
        return;
    }
    m_interruptions.add();
    core::info_event("endpoint_interrupted")
        .with("request_id", request_id)
        .with("endpoint", target.record.id)
        .with("cause", cause)
        .with("confirmed_ms_ago", core::to_milliseconds(now - target.confirmed_at));
}

attempt_outcome endpoint_balancer::classify_attempt(const caller::attempt_result& result)
{
    using dispatch::failure;
    if (!result.was_contacted) {
        return attempt_outcome::inconclusive;
    }
    // A refusal of the endpoint's own, like any other response, shows by its status whether the endpoint
    // works.
    if (!result.failure || result.failure == failure::refusal_unstated) {
        return result.status >= first_server_error_status ? attempt_outcome::server_error
                                                          : attempt_outcome::success;
    }
    switch (*result.failure) {
    case failure::upstream_shed:
        return attempt_outcome::shed;
    case failure::misdirected_request:
        return attempt_outcome::misdirected;
    case failure::connect_failed:
        return attempt_outcome::unreachable;
    case failure::upstream_error:
        return attempt_outcome::server_error;
    case failure::response_timeout:
        return attempt_outcome::timed_out;
    case failure::response_lost:
    case failure::malformed_response:
    case failure::body_truncated:
    case failure::response_incomplete:
    case failure::response_unverified:
        return attempt_outcome::response_lost;
    default:
        return attempt_outcome::inconclusive;
    }
}

void endpoint_balancer::release(const endpoint_pointer& target, const std::string& request_id,
                                const caller::attempt_result& result)
{
    const core::instant now = std::chrono::steady_clock::now();
    const core::instant sent = now - result.total_time;
    const attempt_outcome outcome = classify_attempt(result);
    const std::lock_guard<std::mutex> guard(m_mutex);
    --target->outstanding_requests;
    placement::remove_connection(*target, result.connection_opened_at);
    if (result.is_draining && m_catalog.mark_leaving(*target)) {
        m_leaving.add();
    }
    // The response may have been relayed slowly since the endpoint sent its header with the report.
    const core::instant reported_at = std::min(now, sent + result.time_to_header);
    record_load_report(target, result.load_report, reported_at, now);
    if (outcome == attempt_outcome::success) {
        record_service_time(*target, result.time_to_header);
    }
    if (result.rate_limit) {
        update_rate_limit(*target, request_id, *result.rate_limit);
    }
    if (result.wait) {
        target->waits_until = std::max(target->waits_until, now + *result.wait);
        m_waits.add();
        core::info_event("endpoint_waits")
            .with("request_id", request_id)
            .with("endpoint", target->record.id)
            .with("for_ms", core::to_milliseconds(*result.wait));
    }
    record_incarnation_evidence(*target, request_id, result, outcome, sent, now);
    const bool is_ejected =
        placement::record_outcome(*target, outcome, sent, result.time_to_header, m_options.health, now);
    if (is_ejected) {
        m_ejections.add();
        core::info_event("endpoint_ejected")
            .with("request_id", request_id)
            .with("endpoint", target->record.id)
            .with("outcome", placement::attempt_outcome_names.name(outcome))
            .with("failure_rate_percent", static_cast<int>(target->failure_rate * 100))
            .with("for_ms", core::to_milliseconds(target->ejected_until - now));
    }
}

void endpoint_balancer::record_service_time(const placement::endpoint& target, core::duration time)
{
    // With a queue the time would show the load of the endpoint rather than the work of the request.
    if (target.reported_load && target.reported_load->waiting > 0) {
        return;
    }
    const double seconds = core::to_seconds(time);
    double& average = m_service_seconds.try_emplace(target.record.service, seconds).first->second;
    average += (seconds - average) * service_time_weight;
}

void endpoint_balancer::record_load_report(const endpoint_pointer& target, const std::string& text,
                                           core::instant reported_at, core::instant now)
{
    if (text.empty()) {
        return;
    }
    const std::optional<placement::load_report> load = placement::parse_load_report(text);
    if (!load) {
        m_load_reports_rejected.add();
        if (const std::optional<std::uint64_t> skipped = m_load_report_lines.try_take(now)) {
            core::info_event("load_report_rejected")
                .with("endpoint", target->record.id)
                .with("text", text.substr(0, logged_load_report_chars))
                .with("lines_skipped", *skipped);
        }
        return;
    }
    if (target->reported_load && reported_at < target->load_reported_at) {
        return;
    }
    target->reported_load = load;
    target->load_reported_at = reported_at;
    const bool is_shared = m_position.size >= m_options.min_load_sharing_fleet;
    if (is_shared && !std::exchange(target->is_load_unshared, true)) {
        m_unshared_loads.push_back(target);
    }
}

bool endpoint_balancer::is_load_shared() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_position.size >= m_options.min_load_sharing_fleet;
}

load_collector::loads endpoint_balancer::take_unshared_loads(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    load_collector::loads result;
    for (const endpoint_pointer& entry : m_unshared_loads) {
        if (!std::exchange(entry->is_load_unshared, false)) {
            continue;
        }
        const bool is_busy = is_busy_or_slow(*entry->reported_load);
        if (!entry->is_removed && (is_busy || entry->is_shared_as_busy)) {
            result[entry->record.id] = {*entry->reported_load, now - entry->load_reported_at};
        }
        entry->is_shared_as_busy = is_busy;
    }
    m_unshared_loads.clear();
    return result;
}

void endpoint_balancer::apply_shared_loads(const load_collector::loads& loads, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const auto& [id, load] : loads) {
        const endpoint_pointer target = m_catalog.find(id);
        const core::instant reported_at = now - load.age;
        if (target &&
            (!target->reported_load || reported_at > target->load_reported_at + min_report_distance)) {
            target->reported_load = load.report;
            target->load_reported_at = reported_at;
            target->is_load_unshared = false;
            target->is_shared_as_busy = is_busy_or_slow(load.report);
        }
    }
}

void endpoint_balancer::record_incarnation_evidence(placement::endpoint& target,
                                                    const std::string& request_id,
                                                    const caller::attempt_result& result,
                                                    attempt_outcome outcome, core::instant sent,
                                                    core::instant now)
{
    const bool has_failed_at_write =
        result.was_contacted && result.failure == dispatch::failure::nothing_written;
    if (placement::suggests_end(outcome) || has_failed_at_write) {
        record_interruption(target, request_id, placement::attempt_outcome_names.name(outcome), now);
        return;
    }
    const routing::service* service_config = find_service(target);
    if (result.status != 0 && outcome != attempt_outcome::inconclusive && service_config != nullptr) {
        placement::record_response(target, result.connection_opened_at, sent, service_config->cold_duration);
    }
}

void endpoint_balancer::update_rate_limit(placement::endpoint& target, const std::string& request_id,
                                          double rate_limit)
{
    if (rate_limit == target.rate_limit) {
        return;
    }
    m_limit_changes.add();
    core::info_event("endpoint_limit")
        .with("request_id", request_id)
        .with("endpoint", target.record.id)
        .with("per_second", rate_text(rate_limit))
        .with("before", rate_text(target.rate_limit))
        .with("instances", m_position.size);
    target.rate_limit = rate_limit;
}

void endpoint_balancer::apply(const placement::endpoint_record& record, bool is_first_listing,
                              core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_catalog.apply(record, now, is_first_listing);
}

void endpoint_balancer::remove(const std::string& id, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_catalog.remove(id, now);
}

void endpoint_balancer::begin_removal_grace_period(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_catalog.begin_removal_grace_period(now);
    m_discovery_settled_at = now + m_options.catalog.removal_grace_period;
}

void endpoint_balancer::set_evacuated_zones(const std::set<std::string>& zones, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_catalog.set_evacuated_zones(zones, now);
}

void endpoint_balancer::set_table(std::shared_ptr<const routing::route_table> table)
{
    std::vector<placement::home_region_demand> homed;
    double total = 0;
    for (const routing::workspace& workspace : table->source().workspaces) {
        total += workspace.rate;
    }
    for (const routing::workspace& workspace : table->source().workspaces) {
        if (!workspace.home_regions.empty() && total > 0) {
            homed.push_back({workspace.rate / total, workspace.home_regions});
        }
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_table = std::move(table);
    m_homed_demand = std::move(homed);
}

void endpoint_balancer::update_region_weights(const std::string& service,
                                              const std::vector<endpoint_pointer>& endpoints,
                                              core::instant now)
{
    std::map<std::string, double> slots;
    for (const endpoint_pointer& entry : endpoints) {
        if (placement::may_receive(*entry)) {
            slots[entry->record.region] += entry->record.slots;
        }
    }
    m_region_weights.try_emplace(service, m_options.regions).first->second.update(slots, m_homed_demand, now);
}

void endpoint_balancer::detect_slow_endpoints(const std::vector<endpoint_pointer>& endpoints,
                                              core::instant now)
{
    std::vector<core::duration> latencies;
    for (const endpoint_pointer& entry : endpoints) {
        if (entry->average_latency > core::duration(0)) {
            latencies.push_back(entry->average_latency);
        }
    }
    // With fewer endpoints the slow endpoint itself would shift the median.
    constexpr std::size_t min_endpoints = 3;
    if (latencies.size() < min_endpoints) {
        return;
    }
    const std::vector<core::duration>::iterator middle =
        latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    for (const endpoint_pointer& entry : endpoints) {
        // Only endpoints with requests under way are checked, since the average latency of an idle endpoint
        // does not change and may be outdated.
        if (entry->outstanding_requests > 0 &&
            placement::mark_slow_if_outlier(*entry, *middle, m_options.health, now)) {
            core::info_event("endpoint_slow")
                .with("endpoint", entry->record.id)
                .with("latency_ms", core::to_milliseconds(entry->average_latency))
                .with("median_ms", core::to_milliseconds(*middle));
        }
    }
}

void endpoint_balancer::update_periodically(core::instant now)
{
    placement::fleet_view position = m_get_fleet_position();
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_position = std::move(position);
    m_catalog.remove_missing(now);
    if (!m_table) {
        return;
    }
    for (const routing::service& service : m_table->source().services) {
        const std::vector<endpoint_pointer>& endpoints = m_catalog.find_service(service.name);
        if (!endpoints.empty()) {
            update_region_weights(service.name, endpoints, now);
            detect_slow_endpoints(endpoints, now);
        }
    }
}

bool endpoint_balancer::knows(const std::string& id) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_catalog.find(id) != nullptr;
}

std::size_t endpoint_balancer::size() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_catalog.size();
}

} // namespace quetzalspan::edge
