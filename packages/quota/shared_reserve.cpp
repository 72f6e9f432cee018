// Grants tokens from the part of each limit that is not partitioned into shares.

#include "quota/shared_reserve.h"

namespace quetzalspan::quota
{

namespace
{

// The fraction of the reserve that the granter asked first may grant. The second granter has the rest.
constexpr double primary_fraction = 0.85;

// All instances know of a changed granter within this time: one watch of the store with its pause, or one
// report of silent instances.
constexpr core::duration takeover_delay = std::chrono::milliseconds(1000);

double role_fraction(granter_role role)
{
    switch (role) {
    case granter_role::none:
        return 0;
    case granter_role::primary:
        return primary_fraction;
    case granter_role::secondary:
        return 1 - primary_fraction;
    }
    return 0;
}

} // namespace

void grantable_reserve::apply_limit(workspace_reserve& target, core::instant now) const
{
    const double fraction = role_fraction(target.role) *
                            (1 - compute_partitioned_fraction(target.limit, m_fleet_size, m_options));
    // Only half of the burst is used: the granters change with the members of the fleet, and the previous and
    // the new one may both have granted their burst within one window.
    const double burst = compute_fleet_burst(target.limit, m_options) * fraction / 2;
    target.bucket.set_rate_and_burst(target.limit.rate * fraction, burst, now);
}

void grantable_reserve::set_limits(const std::vector<workspace_limit>& limits, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::map<std::string, workspace_reserve, std::less<>> next;
    for (const workspace_limit& limit : limits) {
        const std::map<std::string, workspace_reserve, std::less<>>::const_iterator existing =
            m_workspaces.find(limit.workspace);
        workspace_reserve entry = existing == m_workspaces.end()
                                      ? workspace_reserve{limit, granter_role::none, token_bucket(now)}
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

void grantable_reserve::set_role(std::string_view workspace, granter_role role, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<std::string, workspace_reserve, std::less<>>::iterator found =
        m_workspaces.find(workspace);
    if (found == m_workspaces.end() || found->second.role == role) {
        return;
    }
    found->second.role = role;
    found->second.bucket = token_bucket(now + takeover_delay);
    apply_limit(found->second, now);
}

quota_decision grantable_reserve::grant(std::string_view workspace, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    quota_decision result;
    const std::map<std::string, workspace_reserve, std::less<>>::iterator found =
        m_workspaces.find(workspace);
    if (found == m_workspaces.end()) {
        return result;
    }
    token_bucket& bucket = found->second.bucket;
    result.is_admitted = bucket.try_take(now);
    result.tokens = bucket.tokens(now);
    if (!result.is_admitted) {
        const core::duration wait = bucket.time_until_next_token(now);
        result.retry_after = wait == core::duration::max() ? core::duration(0) : wait;
    }
    return result;
}

void grantable_reserve::discard_tokens(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (auto& [name, entry] : m_workspaces) {
        entry.bucket = token_bucket(now + takeover_delay);
        apply_limit(entry, now);
    }
}

std::vector<std::string> grantable_reserve::workspaces() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<std::string> result;
    for (const auto& [name, entry] : m_workspaces) {
        result.push_back(name);
    }
    return result;
}

} // namespace quetzalspan::quota
