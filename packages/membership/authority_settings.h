// Time limits of authority: how long an instance may rely on its shares and its view of keys after the last
// confirmation, and how long others wait before they treat a fenced member as stopped.

#pragma once

#include "core/time.h"

namespace quetzalspan::membership
{

struct authority_settings {
    // How long a confirmation by the store, or a unanimous vouch of the other members, counts as fresh.
    core::duration authority_lifetime = std::chrono::seconds(3);
    // How long an instance keeps authority after its last confirmation has ceased to be fresh.
    core::duration isolation_limit = std::chrono::seconds(10);
    // How long after the last confirmation by the store vouches of the other members count.
    core::duration autonomy_limit = std::chrono::hours(6);
    // The longest deadline of a request. A permit taken under authority may stay in use for this long after
    // authority has ended.
    core::duration max_request_duration = std::chrono::seconds(10);
    // The largest difference in rate between the clocks of two instances, as a fraction.
    double max_clock_drift = 0.01;

    // Returns how long after its last possible confirmation a fenced member may still act, measured on the
    // clock of any other instance.
    core::duration grace_period() const
    {
        return allow_for_clock_drift(authority_lifetime + isolation_limit + max_request_duration);
    }

    // Returns how long to wait, on any clock, until vouches no longer count for a member that is cut off from
    // the store.
    core::duration autonomy_expiry_wait() const { return allow_for_clock_drift(autonomy_limit); }

    // Returns the longest time that a faster clock may measure while this duration passes on a slower one.
    core::duration allow_for_clock_drift(core::duration value) const
    {
        const double widened = static_cast<double>(value.count()) * (1 + max_clock_drift);
        return core::duration(static_cast<core::duration::rep>(widened) + 1);
    }
};

} // namespace quetzalspan::membership
