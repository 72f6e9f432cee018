// Circuit breaker for one store address, with exponential backoff and jitter.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>

namespace quetzalspan::store
{

struct circuit_breaker_options {
    // Consecutive failures after which the breaker opens.
    std::uint32_t failure_threshold = 3;
    // Backoff when the threshold is reached; it doubles with each further failure.
    core::duration initial_backoff = std::chrono::milliseconds(200);
    // A backoff longer than the authority lifetime would block calls beyond the end of a short outage, until
    // authority has expired.
    core::duration max_backoff = std::chrono::seconds(2);
};

// Not thread-safe.
class circuit_breaker
{
public:
    // random returns a fraction from 0 to 1. Its jitter keeps the instances from retrying at the same time.
    circuit_breaker(circuit_breaker_options options, std::function<double()> random);

    // Returns whether a call may be made now. After each backoff the breaker allows one trial call and starts
    // the next backoff immediately, so that no further call is allowed while the trial call is unanswered.
    bool allow_call(core::instant now);

    // Returns whether calls are allowed without restriction.
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
