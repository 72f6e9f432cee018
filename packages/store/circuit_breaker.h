// Decides when a store address that failed may be called again.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>

namespace quetzalspan::store
{

struct circuit_breaker_options {
    // Consecutive failures after which calls are held back.
    std::uint32_t failure_threshold = 3;
    // Pause after the threshold is reached; it doubles with each further failure.
    core::duration initial_backoff = std::chrono::milliseconds(200);
    // A pause longer than the authority lifetime would outlast a short outage.
    core::duration max_backoff = std::chrono::seconds(2);
};

// Not safe for use by several threads at once.
class circuit_breaker
{
public:
    // The random hook returns a fraction from 0 to 1; it spreads the retries of the instances.
    circuit_breaker(circuit_breaker_options options, std::function<double()> random);

    // Returns whether a call may be made now. Once a pause has passed, one call is let through and the next
    // pause begins at once, so an unanswered trial call does not open the way for others.
    bool allow_call(core::instant now);

    // Returns whether no pause is in force and no trial call is due.
    bool is_closed() const { return m_consecutive_failures < m_options.failure_threshold; }

    void record_success();
    void record_failure(core::instant now);

private:
    core::duration backoff_with_jitter() const;

    circuit_breaker_options m_options;
    std::function<double()> m_random;
    std::uint32_t m_consecutive_failures = 0;
    core::instant m_blocked_until;
};

} // namespace quetzalspan::store
