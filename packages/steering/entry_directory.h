// The directory of entry instances: the instances that a lookup may return, sorted by region.

#pragma once

#include "membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::steering
{

// A cluster member with its liveness and weight as seen by this instance.
struct directory_candidate {
    membership::member member;
    // Whether the member was heard from recently enough to count as live.
    bool is_alive = true;
    // Load-balancing weight relative to the other instances of the region; must be greater than 0.
    double weight = 1;
};

// An entry instance as lookup answers list it.
struct directory_entry {
    std::string id;
    std::string region;
    std::string host;
    std::uint16_t port = 0;
    double weight = 1;
    // Hash of the instance's name without its incarnation, so that callers are assigned to the same instance
    // after it restarts.
    std::uint64_t instance_hash = 0;
};

// Immutable. Holds the live members in the serving state. If there are none, it holds the live members in the
// leaving state, and if there are none of these either, the live suspect members: each of them may still
// serve requests, whereas an empty lookup answer would leave a caller without service.
class entry_directory
{
public:
    explicit entry_directory(const std::vector<directory_candidate>& candidates);

    bool is_empty() const { return m_entries.empty(); }
    // Returns whether all weights are 1, which allows a cheaper ranking.
    bool is_unweighted() const { return m_is_unweighted; }
    // Sorted by region, then by id.
    const std::vector<directory_entry>& entries() const { return m_entries; }

    // Half-open range of positions in entries().
    struct range {
        std::size_t begin = 0;
        std::size_t end = 0;
    };
    // Returns the positions of the entries of a region; the range is empty for a region without entries.
    range find_region_entries(std::string_view region) const;

private:
    // Adds the live candidates in this membership state.
    void add_live_members(const std::vector<directory_candidate>& candidates, membership::member_state state);

    std::vector<directory_entry> m_entries;
    bool m_is_unweighted = true;
};

} // namespace quetzalspan::steering
