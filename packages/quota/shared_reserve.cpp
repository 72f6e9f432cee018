// Implements the reserve of the limits.

#include "quota/shared_reserve.h"

namespace quetzalspan::quota
{

namespace
{

// While instances disagree about who grants, two may do so; their bursts together stay within the limit's.
constexpr double granters = 2;

} // namespace

void shared_reserve::apply_limit(account& target, core::instant now) const
{
    const double part = 1 - shared_part_of(target.limit, m_fleet_size, m_options);
    target.bucket.set(target.limit.rate * part, burst_of(target.limit, m_options) * part / granters, now);
}

void shared_reserve::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::map<std::string, account, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        const std::map<std::string, account, std::less<>>::const_iterator known =
            m_accounts.find(limit.workspace);
        account entry{limit, known == m_accounts.end() ? token_bucket(now) : known->second.bucket};
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

quota_decision shared_reserve::grant(std::string_view workspace, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    quota_decision result;
    const std::map<std::string, account, std::less<>>::iterator found = m_accounts.find(workspace);
    if (found == m_accounts.end()) {
        return result;
    }
    token_bucket& bucket = found->second.bucket;
    result.is_admitted = bucket.try_take(now);
    result.tokens = bucket.tokens(now);
    if (!result.is_admitted) {
        const core::duration wait = bucket.time_to_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

} // namespace quetzalspan::quota
