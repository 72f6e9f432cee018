// Refills the bucket by the elapsed time and takes tokens from it.

#include "quota/token_bucket.h"

#include <algorithm>

namespace quetzalspan::quota
{

void token_bucket::refill(core::instant now)
{
    if (now > m_refilled_at) {
        m_tokens = std::min(m_burst, m_tokens + m_rate * core::to_seconds(now - m_refilled_at));
        m_refilled_at = now;
    }
}

void token_bucket::set_rate_and_burst(double rate, double burst, core::instant now)
{
    refill(now);
    m_rate = std::max(rate, 0.0);
    m_burst = std::max(burst, 0.0);
    m_tokens = std::min(m_tokens, m_burst);
}

bool token_bucket::try_take(core::instant now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

core::duration token_bucket::time_until_next_token(core::instant now)
{
    refill(now);
    if (m_tokens >= 1) {
        return core::duration(0);
    }
    if (m_rate <= 0 || m_burst < 1) {
        return core::duration::max();
    }
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>((1 - m_tokens) / m_rate));
}

double token_bucket::tokens(core::instant now)
{
    refill(now);
    return m_tokens;
}

} // namespace quetzalspan::quota
