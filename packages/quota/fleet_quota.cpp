// Implements the fleet-wide limits.

#include "quota/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::quota
{

namespace
{

// Requests per second; demand below this is not told to peers.
constexpr double least_demand = 0.05;

// Added to each demand, so that instances without any still divide the limit evenly.
constexpr double demand_floor = 0.2;

// Reports that are kept; older ones are no part of sums that are still in use.
constexpr std::size_t kept_reports = 8;

double rate_of(const demand_rates& rates, std::string_view workspace)
{
    const demand_rates::const_iterator found = rates.find(workspace);
    return found == rates.end() ? 0 : found->second;
}

} // namespace

double burst_of(const workspace_limit& limit, const quota_options& options)
{
    const double in_window = limit.rate * core::to_seconds(options.window) + limit.burst;
    return limit.burst +
           options.tolerance_use * (options.tolerated_share * in_window + options.tolerated_requests);
}

double shared_part_of(const workspace_limit& limit, std::size_t fleet_size, const quota_options& options)
{
    const double size = static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    if (size > burst_of(limit, options)) {
        return 0;
    }
    const double span = options.shared_part - options.least_shared_part;
    const double position = std::min(limit.rate / size / options.shared_rate, 1.0);
    return options.least_shared_part + span * position;
}

double share_of_limit(double own_demand, double others_demand, std::size_t reporters, std::size_t fleet_size,
                      double floor_share)
{
    const double heard = static_cast<double>(reporters);
    const double even = 1 / std::max(static_cast<double>(fleet_size), heard);
    const double total = own_demand + others_demand + heard * demand_floor;
    const double pool = even * heard * (1 - floor_share);
    return even * floor_share + pool * (own_demand + demand_floor) / total;
}

void fleet_quota::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::map<std::string, account, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        std::map<std::string, account, std::less<>>::node_type known = m_accounts.extract(limit.workspace);
        if (known.empty()) {
            next.emplace(limit.workspace, account(m_options, now));
        } else {
            next.insert(std::move(known));
        }
        next.at(limit.workspace).limit = limit;
    }
    m_accounts = std::move(next);
    rebalance_locked(now);
}

void fleet_quota::set_fleet_size(std::size_t size, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    m_fleet_size = std::max<std::size_t>(size, 1);
    rebalance_locked(now);
}

void fleet_quota::record_sums(const std::string& collector, const demand_sums& sums, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    const std::deque<demand_report>::const_iterator own =
        std::find_if(m_reports.begin(), m_reports.end(),
                     [&sums](const demand_report& report) { return report.sequence == sums.acknowledged; });
    // Without the own part, the demand of the others is not known.
    if (own != m_reports.end()) {
        m_sums[collector] = {sums, own->rates, now};
    }
}

const fleet_quota::received_sums* fleet_quota::find_newest_sums(core::instant now) const
{
    const received_sums* best = nullptr;
    for (const auto& [collector, received] : m_sums) {
        if (now - received.received > m_options.demand_lifetime) {
            continue;
        }
        // Of two collectors, the one that more instances reach; both count each instance once.
        if (best == nullptr || received.sums.reporters > best->sums.reporters) {
            best = &received;
        }
    }
    return best;
}

void fleet_quota::rebalance(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    rebalance_locked(now);
}

void fleet_quota::rebalance_locked(core::instant now)
{
    const received_sums* received = find_newest_sums(now);
    for (auto& [name, entry] : m_accounts) {
        if (received == nullptr) {
            entry.share = 1 / static_cast<double>(m_fleet_size);
        } else {
            const double others =
                std::max(rate_of(received->sums.rates, name) - rate_of(received->own_part, name), 0.0);
            entry.share = share_of_limit(entry.demand.rate(now), others, received->sums.reporters,
                                         m_fleet_size, m_options.floor_share);
        }
        apply_share(entry, now);
    }
}

void fleet_quota::apply_share(account& target, core::instant now) const
{
    const double part = target.share * shared_part_of(target.limit, m_fleet_size, m_options);
    // A burst below one token would admit nothing however long the instance waits.
    const double burst = part > 0 ? std::max(burst_of(target.limit, m_options) * part, 1.0) : 0;
    target.bucket.set(target.limit.rate * part, burst, now);
}

quota_decision fleet_quota::admit(std::string_view workspace, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    quota_decision result;
    const std::map<std::string, account, std::less<>>::iterator found = m_accounts.find(workspace);
    if (found == m_accounts.end() || found->second.limit.rate <= 0) {
        result.is_admitted = true;
        return result;
    }
    account& entry = found->second;
    entry.demand.record(now);
    result.is_admitted = entry.bucket.try_take(now);
    result.share = entry.share;
    result.tokens = entry.bucket.tokens(now);
    result.demand = entry.demand.rate(now);
    if (!result.is_admitted) {
        const core::duration wait = entry.bucket.time_to_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

demand_report fleet_quota::make_report(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    demand_report result;
    // A later start of the same instance must not look older than its predecessor.
    m_report_sequence = std::max(m_report_sequence + 1, m_options.first_report);
    result.sequence = m_report_sequence;
    for (auto& [name, entry] : m_accounts) {
        const double rate = entry.demand.rate(now);
        if (rate >= least_demand && entry.limit.rate > 0) {
            constexpr double steps_per_request = 10;
            result.rates.emplace(name, std::round(rate * steps_per_request) / steps_per_request);
        }
    }
    m_reports.push_back(result);
    if (m_reports.size() > kept_reports) {
        m_reports.pop_front();
    }
    return result;
}

} // namespace quetzalspan::quota
