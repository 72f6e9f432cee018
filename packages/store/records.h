// Keys of the records in the store, and their conversion to and from JSON. Each parsing function checks the
// record strictly and throws core::findings_error with all findings. A record of another version is rejected.

#pragma once

#include "allowance/messages.h"
#include "core/name_table.h"
#include "core/time.h"
#include "membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalspan::store
{

inline constexpr std::uint32_t record_version = 1;

inline constexpr std::string_view configuration_key = "config/current";
inline constexpr std::string_view member_prefix = "members/";
inline constexpr std::string_view liveness_prefix = "alive/";
inline constexpr std::string_view ledger_prefix = "ledger/";
inline constexpr std::string_view round_key = "ledger/round";
inline constexpr std::string_view report_prefix = "ledger/report/";

// Stored in each record to identify the write, so that a writer recognises its own write after a lost
// response.
struct write_id {
    // Random, chosen once by each writer.
    std::string nonce;
    // Distinguishes the writes with the same nonce to one key.
    std::uint64_t sequence = 0;
};

enum class claim_state {
    // The request was dispatched; its outcome is not yet recorded.
    pending,
    // The upstream responded.
    finished,
    // The upstream may have executed the request.
    unknown,
};

inline constexpr core::name_table claim_state_names{std::array<core::named_value<claim_state>, 3>{{
    {claim_state::pending, "pending"},
    {claim_state::finished, "finished"},
    {claim_state::unknown, "unknown"},
}}};

// A claim on an idempotency key, which keeps a request from being executed twice. Its record is stored under
// "claims/<workspace>/<digest of Idempotency-Key>".
struct claim {
    // Member id of the instance that created the claim.
    std::string owner;
    std::string nonce;
    std::string request_id;
    claim_state state = claim_state::pending;
    // Status of the upstream's response; 0 until the claim is finished.
    std::uint32_t status = 0;
    core::wall_time created;
};

// Returns the key of the claim's record. The idempotency key enters as its SHA-256 digest in hexadecimal.
std::string claim_key(std::string_view workspace, std::string_view idempotency_key);

std::string to_record(const membership::member& value, const write_id& id);
std::string to_record(const allowance::ledger_round& value, const write_id& id);
std::string to_record(const allowance::share_report& value, const write_id& id);
std::string to_record(const claim& value);

// source is the name by which findings refer to the record.
membership::member member_from_record(std::string_view text, const std::string& source);
allowance::ledger_round round_from_record(std::string_view text, const std::string& source);
allowance::share_report report_from_record(std::string_view text, const std::string& source);
claim claim_from_record(std::string_view text, const std::string& source);

} // namespace quetzalspan::store
