// Grants tokens from the part of each limit that is not partitioned into shares.

#include "quota/shared_reserve.h"

namespace quetzalspan::quota
{

namespace
{

// The fraction of the reserve that the collector asked first may grant. The second collector has the rest.
constexpr double first_collector_fraction = 0.75;

} // namespace

void grantable_reserve::apply_limit(workspace_reserve& target, core::instant now) const
{
    const double reserve_fraction = 1 - compute_partitioned_fraction(target.limit, m_fleet_size, m_options);
    const double rate = target.limit.rate * reserve_fraction;
    // Only half of the burst is used: the order of the collectors changes with the members of the fleet, and
    // a collector that newly starts to grant has a full bucket.
    const double burst = compute_fleet_burst(target.limit, m_options) * reserve_fraction / 2;
    target.first.set_rate_and_burst(rate * first_collector_fraction, burst * first_collector_fraction, now);
    target.second.set_rate_and_burst(rate * (1 - first_collector_fraction),
                                     burst * (1 - first_collector_fraction), now);
}

void grantable_reserve::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::map<std::string, workspace_reserve, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        const std::map<std::string, workspace_reserve, std::less<>>::const_iterator existing =
            m_workspaces.find(limit.workspace);
        workspace_reserve entry = existing == m_workspaces.end()
                                      ? workspace_reserve{limit, token_bucket(now), token_bucket(now)}
                                      : existing->second;
        entry.limit = limit;
        apply_limit(entry, now);
        next.emplace(limit.workspace, entry);
    }
    m_workspaces = std::move(next);
}

void grantable_reserve::set_fleet_size(std::size_t size, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_fleet_size = size;
    for (auto& [name, entry] : m_workspaces) {
        apply_limit(entry, now);
    }
}

quota_decision grantable_reserve::grant(std::string_view workspace, granter_role role, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    quota_decision result;
    const std::map<std::string, workspace_reserve, std::less<>>::iterator found =
        m_workspaces.find(workspace);
    if (found == m_workspaces.end()) {
        return result;
    }
    token_bucket& bucket = role == granter_role::primary ? found->second.first : found->second.second;
    result.is_admitted = bucket.try_take(now);
    result.tokens = bucket.tokens(now);
    if (!result.is_admitted) {
        const core::duration wait = bucket.time_until_next_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

} // namespace quetzalspan::quota
