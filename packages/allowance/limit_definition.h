// Definitions of the fleet-wide limits, taken from the configuration.

#pragma once

#include "allowance/messages.h"
#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalspan::allowance
{

enum class limit_kind {
    // A token bucket: tokens accrue at a rate and are spent on requests or bytes.
    rate,
    // A concurrency limit: a permit is taken for the duration of a request and then returned. Used for slots.
    permits,
};

inline constexpr core::name_table limit_kind_names{std::array<core::named_value<limit_kind>, 2>{{
    {limit_kind::rate, "rate"},
    {limit_kind::permits, "permits"},
}}};

struct limit_definition {
    std::string name;
    limit_kind kind = limit_kind::rate;
    // Tokens accrued per second in the whole fleet, in millionths of a token; 0 for permits.
    std::int64_t rate_micro = 0;
    // Maximum number of tokens in the whole fleet, in millionths of a token; for permits, their number.
    std::int64_t burst_micro = 0;
    // Only instances of this region ask for a spare permit in advance; empty if those of every region do.
    std::string region;

    // Returns the rate and the burst of the whole limit, without tokens.
    amount full_amount() const { return {rate_micro, burst_micro, 0}; }
};

struct limit_set {
    // The configuration revision. A transfer is applied only if both instances have the same one.
    std::uint64_t revision = 0;
    std::vector<limit_definition> limits;
};

} // namespace quetzalspan::allowance
