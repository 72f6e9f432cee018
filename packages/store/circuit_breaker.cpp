// State changes and backoff of the circuit breaker.

#include "store/circuit_breaker.h"

#include <algorithm>

namespace quetzalspan::store
{

namespace
{

// Bounds the shift below. With this exponent every backoff has reached its maximum.
constexpr std::uint32_t max_backoff_exponent = 20;

} // namespace

circuit_breaker::circuit_breaker(circuit_breaker_options options, std::function<double()> random)
    : m_options(options), m_random(std::move(random))
{
}

bool circuit_breaker::allow_call(core::instant now)
{
    if (is_closed()) {
        return true;
    }
    if (now < m_blocked_until) {
        return false;
    }
    m_blocked_until = now + backoff_with_jitter();
    return true;
}

void circuit_breaker::record_success()
{
    m_consecutive_failures = 0;
}

void circuit_breaker::record_failure(core::instant now)
{
    ++m_consecutive_failures;
    if (!is_closed()) {
        m_blocked_until = now + backoff_with_jitter();
    }
}

core::duration circuit_breaker::backoff_with_jitter() const
{
    const std::uint32_t exponent =
        std::min(m_consecutive_failures - m_options.failure_threshold, max_backoff_exponent);
    const core::duration unjittered =
        std::min(m_options.initial_backoff * (std::int64_t(1) << exponent), m_options.max_backoff);
    // Jitter applies to one half of the backoff only, so that it cannot reduce the backoff to zero.
    const double fraction = 0.5 + 0.5 * m_random();
    return core::duration(static_cast<std::int64_t>(static_cast<double>(unjittered.count()) * fraction));
}

} // namespace quetzalspan::store
