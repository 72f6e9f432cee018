// Implements the reserve of the limits.

#include "quota/shared_reserve.h"

namespace quetzalspan::quota
{

namespace
{

// Part of the reserve that the collector which is asked first has; the other one has the rest.
constexpr double first_part = 0.75;

} // namespace

void shared_reserve::apply_limit(account& target, core::instant now) const
{
    const double part = 1 - shared_part_of(target.limit, m_fleet_size, m_options);
    const double rate = target.limit.rate * part;
    // Half of the burst: the order of collectors changes with the fleet, and who comes to grant starts with a
    // full bucket.
    const double burst = burst_of(target.limit, m_options) * part / 2;
    target.first.set(rate * first_part, burst * first_part, now);
    target.second.set(rate * (1 - first_part), burst * (1 - first_part), now);
}

void shared_reserve::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::map<std::string, account, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        const std::map<std::string, account, std::less<>>::const_iterator known =
            m_accounts.find(limit.workspace);
        account entry =
            known == m_accounts.end() ? account{limit, token_bucket(now), token_bucket(now)} : known->second;
        entry.limit = limit;
        apply_limit(entry, now);
        next.emplace(limit.workspace, entry);
    }
    m_accounts = std::move(next);
}

void shared_reserve::set_fleet_size(std::size_t size, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    m_fleet_size = size;
    for (auto& [name, entry] : m_accounts) {
        apply_limit(entry, now);
    }
}

quota_decision shared_reserve::grant(std::string_view workspace, granter_role role, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    quota_decision result;
    const std::map<std::string, account, std::less<>>::iterator found = m_accounts.find(workspace);
    if (found == m_accounts.end()) {
        return result;
    }
    token_bucket& bucket = role == granter_role::first ? found->second.first : found->second.second;
    result.is_admitted = bucket.try_take(now);
    result.tokens = bucket.tokens(now);
    if (!result.is_admitted) {
        const core::duration wait = bucket.time_to_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

} // namespace quetzalspan::quota
