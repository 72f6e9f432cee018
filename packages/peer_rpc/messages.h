// The heartbeat and configuration messages between instances. The messages of the allowance protocol are
// defined in the allowance package.

#pragma once

#include "allowance/messages.h"
#include "membership/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalspan::peer_rpc
{

// The version of every message between instances. A message with another version is rejected.
inline constexpr std::uint32_t protocol_version = 1;

// Sent to every peer at a regular interval. It shows that the sender is alive, and reports its state and
// demands.
struct heartbeat {
    membership::member sender;
    // Revision of the configuration that the sender uses.
    std::uint64_t configuration_revision = 0;
    // Number of the ledger round of the sender's shares.
    std::uint64_t round = 0;
    // Whether the sender reaches the store (the platform): the store has confirmed the sender's record within
    // the authority lifetime.
    bool is_confirmed_by_store = false;
    // Whether the demands cover every limit. Otherwise they cover the limits whose demand or holding has
    // changed, and the receiver keeps the last reported values of the others.
    bool is_complete = false;
    std::vector<allowance::demand_summary> demands;
};

// The reply to a heartbeat. It carries no demands, since the receiver reports them in its own heartbeats.
struct heartbeat_reply {
    // State of the member that replies.
    heartbeat receiver;
    // Whether the receiver vouches for the sender, which extends the sender's authority. A receiver does not
    // vouch for a sender that it knows to be suspect.
    bool is_vouching = false;
};

// Asks a peer for its configuration.
struct configuration_request {
    // Revision that the sender has; 0 if it has none.
    std::uint64_t known_revision = 0;
};

// The reply to a configuration_request.
struct configuration_reply {
    // Revision of the replying member's configuration.
    std::uint64_t revision = 0;
    // The configuration as JSON; empty unless the revision is newer than the one that the requester has.
    std::string document;
};

} // namespace quetzalspan::peer_rpc
