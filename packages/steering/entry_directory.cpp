// Selects the live members that the directory of entry instances lists, and finds those of a region.

#include "steering/entry_directory.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <tuple>

namespace quetzalspan::steering
{

entry_directory::entry_directory(const std::vector<directory_candidate>& candidates)
{
    for (const membership::member_state state :
         {membership::member_state::serving, membership::member_state::leaving,
          membership::member_state::suspect}) {
        if (m_entries.empty()) {
            add_live_members(candidates, state);
        }
    }
    std::sort(m_entries.begin(), m_entries.end(),
              [](const directory_entry& left, const directory_entry& right) {
                  return std::tie(left.region, left.id) < std::tie(right.region, right.id);
              });
}

entry_directory::range entry_directory::find_region_entries(std::string_view region) const
{
    const auto first =
        std::partition_point(m_entries.begin(), m_entries.end(),
                             [&](const directory_entry& entry) { return entry.region < region; });
    const auto last = std::partition_point(
        first, m_entries.end(), [&](const directory_entry& entry) { return entry.region == region; });
    return {static_cast<std::size_t>(first - m_entries.begin()),
            static_cast<std::size_t>(last - m_entries.begin())};
}

void entry_directory::add_live_members(const std::vector<directory_candidate>& candidates,
                                       membership::member_state state)
{
    for (const directory_candidate& candidate : candidates) {
        const membership::member& record = candidate.member;
        if (!candidate.is_alive || record.state != state) {
            continue;
        }
        m_is_unweighted = m_is_unweighted && candidate.weight == 1;
        m_entries.push_back({record.id, record.region, record.host, record.caller_port, candidate.weight,
                             core::stable_hash(record.instance)});
    }
}

} // namespace quetzalspan::steering
