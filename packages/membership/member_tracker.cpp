// Keeps the member list and the heartbeat times, and selects the live and the serving peers from them.

#include "membership/member_tracker.h"

namespace quetzalspan::membership
{

bool member_tracker::set_list(const member_list& list)
{
    if (list.revision < m_revision) {
        return false;
    }
    m_revision = list.revision;
    m_entries.clear();
    for (const stored_member& entry : list.entries) {
        m_entries.emplace(entry.record.id, entry);
    }
    std::erase_if(m_last_heartbeats,
                  [this](const auto& heartbeat) { return !m_entries.contains(heartbeat.first); });
    return true;
}

void member_tracker::note_heartbeat(const std::string& member, core::instant now)
{
    if (m_entries.contains(member)) {
        m_last_heartbeats[member] = now;
    }
}

const stored_member* member_tracker::find_member(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool member_tracker::has_recent_heartbeat(const std::string& id, core::instant now) const
{
    const auto found = m_last_heartbeats.find(id);
    return found != m_last_heartbeats.end() && now - found->second <= heartbeat_timeout;
}

std::vector<std::string> member_tracker::live_peers(core::instant now) const
{
    std::vector<std::string> live;
    for (const auto& [id, entry] : m_entries) {
        if (id != m_self && entry.record.state != member_state::suspect && has_recent_heartbeat(id, now)) {
            live.push_back(id);
        }
    }
    return live;
}

std::vector<std::string> member_tracker::serving_peers(core::instant now) const
{
    std::vector<std::string> serving = live_peers(now);
    std::erase_if(serving, [this](const std::string& id) {
        return find_member(id)->record.state != member_state::serving;
    });
    return serving;
}

} // namespace quetzalspan::membership
