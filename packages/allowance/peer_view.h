// Demand and holdings of the peers as known to this instance: from their last heartbeats, updated by the
// transfers since.

#pragma once

#include "allowance/messages.h"
#include "core/time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::allowance
{

// Network distance of a peer: in the same availability zone, in the same region, or in another region.
enum class proximity { availability_zone, region, elsewhere };

struct peer_state {
    proximity distance = proximity::elsewhere;
    bool is_serving = true;
    core::instant heard_at;
    std::map<std::string, demand_summary, std::less<>> limits;

    // Returns what the peer reported of the limit, or null if it reported nothing.
    const demand_summary* find(std::string_view limit) const
    {
        const auto found = limits.find(limit);
        return found == limits.end() ? nullptr : &found->second;
    }
};

// Peers by member id.
using peer_map = std::map<std::string, peer_state>;

} // namespace quetzalspan::allowance
