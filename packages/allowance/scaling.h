// Integer arithmetic for shares of limits. All results are rounded down, so that the shares of a limit never
// sum to more than the limit.

#pragma once

#include "allowance/messages.h"

#include <cstdint>

namespace quetzalspan::allowance
{

// One token or one permit, in millionths.
inline constexpr std::int64_t micro_per_token = 1'000'000;

__extension__ using int128 = __int128;

// Returns value x numerator / denominator, rounded down. None of the arguments may be negative. Returns 0 if
// the denominator is 0.
constexpr std::int64_t scale_rounding_down(std::int64_t value, std::int64_t numerator,
                                           std::int64_t denominator)
{
    if (denominator <= 0) {
        return 0;
    }
    return static_cast<std::int64_t>(static_cast<int128>(value) * numerator / denominator);
}

// Returns the part of a limit after the limit has changed from old_limit to new_limit. Rate and burst change
// in proportion. Tokens are never increased: a bucket that has grown fills at its rate. For permits the
// caller sets the number of free permits.
constexpr amount scale_amount(const amount& part, const amount& old_limit, const amount& new_limit)
{
    amount scaled;
    scaled.rate_micro = scale_rounding_down(part.rate_micro, new_limit.rate_micro, old_limit.rate_micro);
    scaled.burst_micro = scale_rounding_down(part.burst_micro, new_limit.burst_micro, old_limit.burst_micro);
    scaled.tokens_micro = part.tokens_micro < scaled.burst_micro ? part.tokens_micro : scaled.burst_micro;
    return scaled;
}

} // namespace quetzalspan::allowance
