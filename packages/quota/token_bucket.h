// A token bucket whose rate and burst may change at any time.

#pragma once

#include "core/time.h"

namespace quetzalspan::quota
{

// Starts empty: an instance that restarts must not grant again what it granted before. Not for several
// threads at once.
class token_bucket
{
public:
    explicit token_bucket(core::instant now) : m_filled(now) {}

    // Sets tokens per second and the most tokens saved. Tokens above the new burst are dropped.
    void set(double rate, double burst, core::instant now);

    // Takes one token. Returns false, taking nothing, if less than one is left.
    bool try_take(core::instant now);

    // Returns the time until a token is there, or the most that a duration holds if there will be none.
    core::duration time_to_token(core::instant now);

    double tokens(core::instant now);
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }

private:
    void fill(core::instant now);

    double m_rate = 0;
    double m_burst = 0;
    // Between 0 and m_burst.
    double m_tokens = 0;
    core::instant m_filled;
};

} // namespace quetzalspan::quota
