// Defines a token bucket whose rate and burst can change at any time.

#pragma once

#include "core/time.h"

namespace quetzalspan::quota
{

// Starts empty, so that an instance that restarts does not grant the same burst a second time. Not
// thread-safe.
class token_bucket
{
public:
    explicit token_bucket(core::instant now) : m_refilled_at(now) {}

    // Sets the refill rate in tokens per second and the capacity in tokens. Tokens above the new capacity are
    // discarded. Negative values count as 0.
    void set_rate_and_burst(double rate, double burst, core::instant now);

    // Takes one token. Returns false and takes nothing if less than one token is available.
    bool try_take(core::instant now);

    // Returns the time until one token is available: zero if one is available now, and
    // core::duration::max() if the rate is 0 or the burst is below one token.
    core::duration time_until_next_token(core::instant now);

    double tokens(core::instant now);
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }

private:
    void refill(core::instant now);

    // Tokens per second.
    double m_rate = 0;
    // The capacity in tokens.
    double m_burst = 0;
    // Between 0 and m_burst.
    double m_tokens = 0;
    core::instant m_refilled_at;
};

} // namespace quetzalspan::quota
