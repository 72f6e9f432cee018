// Computes when this instance's authority ends from store confirmations and vouches, and when the fencing of
// another member may complete.

#include "membership/authority.h"

#include <algorithm>

namespace quetzalspan::membership
{

void authority::record_store_confirmation(core::instant sent_at)
{
    m_last_store_confirmation = std::max(m_last_store_confirmation, sent_at);
    extend_authority();
}

void authority::record_vouch(const std::string& member, core::instant sent_at)
{
    const auto found = m_vouch_times.find(member);
    if (found == m_vouch_times.end()) {
        return;
    }
    found->second = std::max(found->second, sent_at);
    extend_authority();
}

void authority::record_connection_refused(const std::string& member, core::instant at)
{
    record_vouch(member, at);
}

void authority::set_members(const std::vector<std::string>& others)
{
    std::map<std::string, core::instant> vouch_times;
    for (const std::string& other : others) {
        const auto known = m_vouch_times.find(other);
        vouch_times.emplace(other, known == m_vouch_times.end() ? core::instant::min() : known->second);
    }
    m_vouch_times = std::move(vouch_times);
    m_has_member_list = true;
    extend_authority();
}

void authority::revoke()
{
    m_is_revoked = true;
    m_valid_until.store(core::instant::min().time_since_epoch().count(), std::memory_order_release);
}

void authority::refuse_to_vouch(const std::string& member, core::instant now)
{
    m_refusal_starts.emplace(member, now);
}

void authority::end_refusal(const std::string& member)
{
    m_refusal_starts.erase(member);
}

bool authority::may_vouch(const std::string& member) const
{
    return !m_is_revoked && m_vouch_times.contains(member) && !m_refusal_starts.contains(member);
}

bool authority::may_fence(const std::string& member, bool is_known_to_suspect, core::instant now) const
{
    const auto refusal = m_refusal_starts.find(member);
    if (refusal == m_refusal_starts.end()) {
        return false;
    }
    const core::duration expiry_wait =
        is_known_to_suspect ? core::duration::zero() : m_settings.autonomy_expiry_wait();
    return now - refusal->second >= expiry_wait + m_settings.grace_period();
}

void authority::extend_if_alone(core::instant now)
{
    if (m_has_member_list && m_vouch_times.empty()) {
        extend_authority(now);
    }
}

core::instant authority::last_unanimous_vouch() const
{
    // With an empty list the result is min(), not max(): a member may join at any moment, so the absence of
    // others allows no authority in advance.
    core::instant oldest = m_vouch_times.empty() ? core::instant::min() : core::instant::max();
    for (const auto& [member, vouched_at] : m_vouch_times) {
        oldest = std::min(oldest, vouched_at);
    }
    return oldest;
}

void authority::extend_authority(core::instant unanimous_vouch)
{
    // Before the store has confirmed this instance, it is in no membership whose vouches could count.
    if (m_is_revoked || m_last_store_confirmation == core::instant::min()) {
        return;
    }
    const core::instant counted_vouch =
        std::min(unanimous_vouch, m_last_store_confirmation + m_settings.autonomy_limit);
    const core::instant last_confirmation = std::max(m_last_store_confirmation, counted_vouch);
    const core::instant end = last_confirmation + m_settings.authority_lifetime + m_settings.isolation_limit;
    // A change of the member list does not shorten authority that was already granted; it only expires.
    if (end > valid_until()) {
        m_valid_until.store(end.time_since_epoch().count(), std::memory_order_release);
    }
}

} // namespace quetzalspan::membership
