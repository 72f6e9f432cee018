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

} // namespace

double share_of_limit(double own_demand, const std::vector<double>& heard_demands, std::size_t unheard_peers,
                      double floor_share)
{
    const double heard = static_cast<double>(heard_demands.size() + 1);
    const double size = heard + static_cast<double>(unheard_peers);
    double total = own_demand + demand_floor;
    for (const double demand : heard_demands) {
        total += demand + demand_floor;
    }
    const double even = 1 / size;
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

void fleet_quota::set_peers(const std::vector<std::string>& peers, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::map<std::string, std::optional<peer_demand>, std::less<>> next;
    for (const std::string& peer : peers) {
        const std::map<std::string, std::optional<peer_demand>, std::less<>>::iterator known =
            m_peers.find(peer);
        next[peer] = known == m_peers.end() ? std::nullopt : std::move(known->second);
    }
    m_peers = std::move(next);
    rebalance_locked(now);
}

void fleet_quota::record_demand(const std::string& peer, peer_demand demand)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    const std::map<std::string, std::optional<peer_demand>, std::less<>>::iterator known = m_peers.find(peer);
    if (known != m_peers.end()) {
        known->second = std::move(demand);
    }
}

void fleet_quota::rebalance(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    rebalance_locked(now);
}

void fleet_quota::rebalance_locked(core::instant now)
{
    for (auto& [name, entry] : m_accounts) {
        std::vector<double> heard;
        std::size_t unheard = 0;
        for (const auto& [peer, demand] : m_peers) {
            if (!demand || now - demand->heard > m_options.demand_lifetime) {
                ++unheard;
                continue;
            }
            const std::map<std::string, double, std::less<>>::const_iterator rate = demand->rates.find(name);
            heard.push_back(rate == demand->rates.end() ? 0 : rate->second);
        }
        entry.share = share_of_limit(entry.demand.rate(now), heard, unheard, m_options.floor_share);
        apply_share(entry, now);
    }
}

void fleet_quota::apply_share(account& target, core::instant now) const
{
    const double in_window = target.limit.rate * core::to_seconds(m_options.window) + target.limit.burst;
    const double tolerated =
        m_options.tolerance_use * (m_options.tolerated_share * in_window + m_options.tolerated_requests);
    // A burst below one token would admit nothing however long the instance waits.
    const double burst = std::max((target.limit.burst + tolerated) * target.share, 1.0);
    target.bucket.set(target.limit.rate * target.share, burst, now);
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

std::map<std::string, double, std::less<>> fleet_quota::demands(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::map<std::string, double, std::less<>> result;
    for (auto& [name, entry] : m_accounts) {
        const double rate = entry.demand.rate(now);
        if (rate >= least_demand && entry.limit.rate > 0) {
            constexpr double steps_per_request = 10;
            result.emplace(name, std::round(rate * steps_per_request) / steps_per_request);
        }
    }
    return result;
}

} // namespace quetzalspan::quota
