// Implements the roster.

#include "edge/roster.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace quetzalspan::edge
{

void roster::put(const instance_record& record, core::instant)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    member& entry = m_members[record.instance];
    entry.record = record;
    entry.missing_since.reset();
}

void roster::remove(const std::string& instance, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    const std::map<std::string, member>::iterator known = m_members.find(instance);
    if (known == m_members.end()) {
        return;
    }
    if (now < m_grace_until) {
        known->second.missing_since = now;
        return;
    }
    m_members.erase(known);
}

void roster::begin_absence_grace(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    m_grace_until = now + m_options.absence_grace;
}

bool roster::expire(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    if (now < m_grace_until) {
        return false;
    }
    return std::erase_if(m_members, [](const std::pair<const std::string, member>& entry) {
               return entry.second.missing_since.has_value();
           }) > 0;
}

void roster::record_heard(const std::string& instance, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    const std::map<std::string, member>::iterator known = m_members.find(instance);
    if (known != m_members.end()) {
        known->second.heard = now;
    }
}

std::vector<instance_record> roster::peers() const
{
    const std::lock_guard<std::mutex> guard(m_guard);
    std::vector<instance_record> result;
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance) {
            result.push_back(entry.record);
        }
    }
    return result;
}

std::uint32_t roster::size() const
{
    const std::lock_guard<std::mutex> guard(m_guard);
    const bool is_own_listed = m_members.contains(m_options.own_instance);
    return static_cast<std::uint32_t>(m_members.size() + (is_own_listed ? 0 : 1));
}

placement::fleet_position roster::position() const
{
    const std::lock_guard<std::mutex> guard(m_guard);
    placement::fleet_position result;
    result.own_hash = core::stable_hash(m_options.own_instance);
    result.hashes.push_back(result.own_hash);
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance) {
            result.hashes.push_back(core::stable_hash(name));
        }
    }
    std::sort(result.hashes.begin(), result.hashes.end());
    result.size = static_cast<std::uint32_t>(result.hashes.size());
    return result;
}

bool roster::is_usable(const member& candidate, core::instant now) const
{
    if (candidate.record.phase != instance_phase::serving) {
        return false;
    }
    return !candidate.heard || now - *candidate.heard <= m_options.peer_lifetime;
}

std::vector<instance_record> roster::look_up(const std::string& client_region, const instance_record& own,
                                             core::instant now) const
{
    std::vector<instance_record> usable;
    if (own.phase == instance_phase::serving) {
        usable.push_back(own);
    }
    {
        const std::lock_guard<std::mutex> guard(m_guard);
        for (const auto& [name, entry] : m_members) {
            if (name != m_options.own_instance && is_usable(entry, now)) {
                usable.push_back(entry.record);
            }
        }
    }
    std::vector<instance_record> near;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(near),
                 [&client_region](const instance_record& entry) { return entry.region == client_region; });
    return near.empty() ? usable : near;
}

} // namespace quetzalspan::edge
