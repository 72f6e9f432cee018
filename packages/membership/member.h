// The record of a member of the cluster, as stored in the store and sent in heartbeats.

#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>

namespace quetzalspan::membership
{

enum class member_state {
    serving,
    // A planned shutdown is under way: lookups no longer return the member, and it finishes running requests.
    leaving,
    // A peer has begun to fence the member, and its shares are being reclaimed.
    suspect,
};

inline constexpr core::name_table member_state_names{std::array<core::named_value<member_state>, 3>{{
    {member_state::serving, "serving"},
    {member_state::leaving, "leaving"},
    {member_state::suspect, "suspect"},
}}};

// One run of an instance's process. A restarted instance joins as a new member.
struct member {
    // "<instance>.<incarnation>", new at each start of the process.
    std::string id;
    std::string instance;
    std::string availability_zone;
    std::string region;
    // IP address in numeric form, with the ports for callers, for messages between members and for
    // administration.
    std::string host;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t admin_port = 0;
    member_state state = member_state::serving;
    // The store's revision at which this member last read the list of members. A peer that joined at or
    // before that revision is eligible to fence this member, since this member needs its vouch. Other peers
    // may fence this member only if no eligible peer is live.
    std::uint64_t membership_revision_seen = 0;
    // The store's revision at which this member's record was created. The stored record does not contain it;
    // the reader sets it from the store's metadata.
    std::uint64_t joined_revision = 0;
    // The number of the ledger round that was open or last closed when the member joined, or 0 if there was
    // none.
    std::uint64_t joined_round = 0;
};

} // namespace quetzalspan::membership
