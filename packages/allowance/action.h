// Actions that the share manager returns and that its host executes: messages to peers, reads and writes of
// the store, and the end of an incarnation.

#pragma once

#include "allowance/messages.h"
#include "allowance/store_records.h"
#include "core/name_table.h"

#include <string>
#include <variant>
#include <vector>

namespace quetzalspan::allowance
{

struct send_request {
    std::string to;
    share_request request;
};

// Sent to the peer as a hand-over message. An offer whose transfer id names another member as requester
// resends a grant that the receiver has not acknowledged.
struct send_offer {
    std::string to;
    share_offer offer;
};

// Reads the record "ledger/round" from the store.
struct read_round {
};
// Reads all records under "ledger/report/" from the store.
struct read_reports {
};
// Reads the member list and the liveness keys from the store in one consistent read.
struct read_members {
};

enum class drop_reason {
    // A peer marked this member suspect, or a ledger round lists it as fenced.
    fenced,
    // The store no longer contains this member's record.
    record_missing,
    // A ledger round was closed without this member's report, so its shares may have been granted again.
    missed_round,
};

inline constexpr core::name_table drop_reason_names{std::array<core::named_value<drop_reason>, 3>{{
    {drop_reason::fenced, "fenced"},
    {drop_reason::record_missing, "record-missing"},
    {drop_reason::missed_round, "missed-round"},
}}};

// All shares were dropped. The host must join again under a new incarnation with a new share manager.
struct drop_notification {
    drop_reason reason = drop_reason::fenced;
};

using action = std::variant<send_request, send_offer, store_write, read_round, read_reports, read_members,
                            drop_notification>;

} // namespace quetzalspan::allowance
