// The JSON forms of the records in the store, with strict checks on reading. Each reader throws
// core::findings_error with all findings; another version than the known one is refused.

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
inline constexpr std::string_view alive_prefix = "alive/";
inline constexpr std::string_view ledger_prefix = "ledger/";
inline constexpr std::string_view round_key = "ledger/round";
inline constexpr std::string_view report_prefix = "ledger/report/";

// Distinguishes writes of the same record, so that a writer recognises its own after a lost response.
struct write_mark {
    std::string nonce;
    std::uint64_t sequence = 0;
};

enum class claim_state {
    // The request was dispatched and its outcome is not recorded yet.
    pending,
    // The upstream responded.
    finished,
    // The request may have run.
    unknown,
};

inline constexpr core::name_table claim_state_names{std::array<core::named_value<claim_state>, 3>{{
    {claim_state::pending, "pending"},
    {claim_state::finished, "finished"},
    {claim_state::unknown, "unknown"},
}}};

// The record "claims/<workspace>/<digest of Idempotency-Key>".
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

std::string claim_key(std::string_view workspace, std::string_view idempotency_key);

std::string to_record(const membership::member& value, const write_mark& mark);
std::string to_record(const allowance::ledger_round& value, const write_mark& mark);
std::string to_record(const allowance::share_report& value, const write_mark& mark);
std::string to_record(const claim& value);

// The source names the record in findings.
membership::member member_from_record(std::string_view text, const std::string& source);
allowance::ledger_round round_from_record(std::string_view text, const std::string& source);
allowance::share_report report_from_record(std::string_view text, const std::string& source);
claim claim_from_record(std::string_view text, const std::string& source);

} // namespace quetzalspan::store
