// Messages between instances and records in the store that make up the allowance protocol. Their JSON
// encoding is defined elsewhere: by the peer_rpc package for messages and by the store package for records.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalspan::allowance
{

// A transferable part of a limit, in millionths of a token. Permits have rate 0; their tokens are the free
// permits.
struct amount {
    // Tokens accrued per second.
    std::int64_t rate_micro = 0;
    // Maximum number of tokens that this part may hold.
    std::int64_t burst_micro = 0;
    // Tokens held now; never more than burst_micro.
    std::int64_t tokens_micro = 0;

    friend bool operator==(const amount&, const amount&) = default;
};

// An amount of the limit with the given name, such as "workspace/milliner-07" or
// "slots/order-desk/perth-1-3".
struct limit_amount {
    std::string limit_name;
    amount value;
};

// Demand and holding of one instance for one limit, sent to its peers as the input of rebalancing.
struct demand_summary {
    std::string limit_name;
    // Smoothed offered load, in millionths of a token per second; for permits the smoothed number in use, in
    // millionths.
    std::int64_t demand_micro = 0;
    amount holding;
};

// Identifies a transfer; all retries of its messages carry the same id.
struct transfer_id {
    // Id of the member that asked for the transfer, or that offers it in a share_offer.
    std::string requester;
    std::uint64_t sequence = 0;

    friend bool operator==(const transfer_id&, const transfer_id&) = default;
};

// Asks a peer for parts of limits. The peer grants at most the wanted amounts.
struct share_request {
    transfer_id id;
    std::uint64_t round = 0;
    std::uint64_t limit_revision = 0;
    // Whether a caller's request is waiting for tokens. The peer may then grant more than its own demand
    // suggests.
    bool is_urgent = false;
    std::vector<limit_amount> wanted;
};

enum class grant_status { granted, wrong_round, wrong_revision, not_authorized };

// The answer to a share_request. The amounts are empty unless the status is granted; round and limit_revision
// are those of the granting instance.
struct share_grant {
    transfer_id id;
    grant_status status = grant_status::granted;
    std::uint64_t round = 0;
    std::uint64_t limit_revision = 0;
    std::vector<limit_amount> granted;
};

// Tells the sender of a grant or an offer whether it was applied. The sender then forgets an applied transfer
// and credits a rejected one back to itself.
struct grant_acknowledgement {
    transfer_id id;
    bool is_applied = false;
};

// Gives shares to a peer without a request from it, at a planned stop. The id names the offering member as
// the requester. An unacknowledged grant is resent in the same form, under the id of the original request.
struct share_offer {
    transfer_id id;
    std::uint64_t round = 0;
    std::uint64_t limit_revision = 0;
    std::vector<limit_amount> offered;
};

// The record "ledger/round" in the store: the current ledger round, in which all members report their
// holdings and the unclaimed remainder of each limit is granted again.
struct ledger_round {
    std::uint64_t number = 0;
    // Ids of the members whose shares this round reclaims.
    std::vector<std::string> fenced;
    bool is_closed = false;
    // The fields below are set when the round is closed. The grantee is the id of the member that closed the
    // round and receives the remainder; by the close nonce it recognizes its own write after a lost response.
    std::string grantee;
    std::string close_nonce;
    std::uint64_t limit_revision = 0;
    std::vector<limit_amount> remainder;
};

// The record "ledger/report/<member id>" in the store: what the member held when it entered the round.
struct share_report {
    std::string member;
    std::uint64_t round = 0;
    std::uint64_t limit_revision = 0;
    std::vector<limit_amount> holdings;
};

} // namespace quetzalspan::allowance
