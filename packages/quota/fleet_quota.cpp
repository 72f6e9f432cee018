// Computes the shares of the limits from reported demand and admits requests against them.

#include "quota/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::quota
{

namespace
{

// Requests per second. Demand below this is left out of reports.
constexpr double min_reported_demand = 0.05;

// Requests per second, added to the demand of each reporter, so that instances divide the limit evenly if
// there is no demand.
constexpr double demand_offset = 0.2;

// Older reports are not included in any sums that are still in use.
constexpr std::size_t max_recent_reports = 8;

double get_rate(const demand_rates& rates, std::string_view workspace)
{
    const demand_rates::const_iterator found = rates.find(workspace);
    return found == rates.end() ? 0 : found->second;
}

} // namespace

double compute_fleet_burst(const workspace_limit& limit, const quota_options& options)
{
    const double max_requests_in_window = limit.rate * core::to_seconds(options.window) + limit.burst;
    return limit.burst +
           options.used_tolerance_fraction * (options.tolerated_excess_fraction * max_requests_in_window +
                                              options.tolerated_excess_requests);
}

double compute_partitioned_fraction(const workspace_limit& limit, std::size_t fleet_size,
                                    const quota_options& options)
{
    const double instances = static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    if (instances > compute_fleet_burst(limit, options)) {
        return 0;
    }
    return limit.rate / instances < options.min_partitioned_rate_per_instance ? 0
                                                                              : options.partitioned_fraction;
}

double compute_instance_share(double own_demand, double other_demand, std::size_t reporter_count,
                              std::size_t fleet_size, double guaranteed_share_fraction)
{
    const double reporters = static_cast<double>(reporter_count);
    const double even_share = 1 / std::max(static_cast<double>(fleet_size), reporters);
    const double total_demand = own_demand + other_demand + reporters * demand_offset;
    const double demand_driven_share = even_share * reporters * (1 - guaranteed_share_fraction);
    return even_share * guaranteed_share_fraction +
           demand_driven_share * (own_demand + demand_offset) / total_demand;
}

void fleet_quota::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::map<std::string, workspace_state, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        std::map<std::string, workspace_state, std::less<>>::node_type existing =
            m_workspaces.extract(limit.workspace);
        if (existing.empty()) {
            next.emplace(limit.workspace, workspace_state(m_options, now));
        } else {
            next.insert(std::move(existing));
        }
        next.at(limit.workspace).limit = limit;
    }
    m_workspaces = std::move(next);
    rebalance_locked(now);
}

void fleet_quota::set_fleet_size(std::size_t size, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_fleet_size = std::max<std::size_t>(size, 1);
    rebalance_locked(now);
}

void fleet_quota::record_sums(const std::string& collector, const demand_sums& sums, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::deque<demand_report>::const_iterator acknowledged_report =
        std::find_if(m_recent_reports.begin(), m_recent_reports.end(), [&sums](const demand_report& report) {
            return report.sequence == sums.acknowledged_sequence;
        });
    // The demand of the other instances is the sum minus the own rates in it, so those must be known.
    if (acknowledged_report != m_recent_reports.end()) {
        m_sums[collector] = {sums, acknowledged_report->rates, now};
    }
}

const fleet_quota::received_sums* fleet_quota::find_sums_with_most_reporters(core::instant now) const
{
    const received_sums* selected = nullptr;
    for (const auto& [collector, received] : m_sums) {
        if (now - received.received_at > m_options.sums_lifetime) {
            continue;
        }
        // Prefers the collector that more instances report to. Each collector counts each instance once.
        if (selected == nullptr || received.sums.reporter_count > selected->sums.reporter_count) {
            selected = &received;
        }
    }
    return selected;
}

void fleet_quota::rebalance(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    rebalance_locked(now);
}

void fleet_quota::rebalance_locked(core::instant now)
{
    const received_sums* received = find_sums_with_most_reporters(now);
    for (auto& [name, state] : m_workspaces) {
        if (received == nullptr) {
            state.share = 1 / static_cast<double>(m_fleet_size);
        } else {
            const double other_demand =
                std::max(get_rate(received->sums.rates, name) - get_rate(received->own_rates, name), 0.0);
            state.share =
                compute_instance_share(state.demand.rate(now), other_demand, received->sums.reporter_count,
                                       m_fleet_size, m_options.guaranteed_share_fraction);
        }
        apply_share(state, now);
    }
}

void fleet_quota::apply_share(workspace_state& target, core::instant now) const
{
    const double limit_fraction =
        target.share * compute_partitioned_fraction(target.limit, m_fleet_size, m_options);
    // With a burst below one token, the bucket would never admit a request.
    const double burst =
        limit_fraction > 0 ? std::max(compute_fleet_burst(target.limit, m_options) * limit_fraction, 1.0) : 0;
    target.bucket.set_rate_and_burst(target.limit.rate * limit_fraction, burst, now);
}

quota_decision fleet_quota::admit(std::string_view workspace, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    quota_decision result;
    const std::map<std::string, workspace_state, std::less<>>::iterator found = m_workspaces.find(workspace);
    if (found == m_workspaces.end() || found->second.limit.rate <= 0) {
        result.is_admitted = true;
        return result;
    }
    workspace_state& state = found->second;
    state.demand.record(now);
    result.is_admitted = state.bucket.try_take(now);
    if (result.is_admitted) {
        state.admitted.record(now);
    }
    result.share = state.share;
    result.tokens = state.bucket.tokens(now);
    result.demand = state.demand.rate(now);
    result.admitted_fraction =
        std::min(state.admitted.rate(now) / std::max(result.demand, min_reported_demand), 1.0);
    if (!result.is_admitted) {
        const core::duration wait = state.bucket.time_until_next_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

void fleet_quota::discard_tokens(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (auto& [name, state] : m_workspaces) {
        state.bucket = token_bucket(now);
    }
    rebalance_locked(now);
}

void fleet_quota::record_reserve_token(std::string_view workspace, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<std::string, workspace_state, std::less<>>::iterator found = m_workspaces.find(workspace);
    if (found != m_workspaces.end()) {
        found->second.admitted.record(now);
    }
}

std::size_t fleet_quota::reporter_count(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const received_sums* received = find_sums_with_most_reporters(now);
    return received == nullptr ? 0 : received->sums.reporter_count;
}

demand_report fleet_quota::make_report(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    demand_report result;
    // After a restart, the sequence must stay above that of the previous run, or collectors would ignore the
    // reports as outdated.
    m_report_sequence = std::max(m_report_sequence + 1, m_options.first_report_sequence);
    result.sequence = m_report_sequence;
    for (auto& [name, state] : m_workspaces) {
        const double rate = state.demand.rate(now);
        if (rate >= min_reported_demand &&
            compute_partitioned_fraction(state.limit, m_fleet_size, m_options) > 0) {
            // Rounds to a tenth of a request per second.
            constexpr double rounding_steps_per_unit = 10;
            result.rates.emplace(name, std::round(rate * rounding_steps_per_unit) / rounding_steps_per_unit);
        }
    }
    m_recent_reports.push_back(result);
    if (m_recent_reports.size() > max_recent_reports) {
        m_recent_reports.pop_front();
    }
    return result;
}

} // namespace quetzalspan::quota
