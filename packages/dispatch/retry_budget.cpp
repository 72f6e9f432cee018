// Implements the retry budget.

#include "dispatch/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::dispatch
{

namespace
{

constexpr std::int64_t one_retry = 1'000'000;

std::int64_t to_micro(double retries)
{
    return std::llround(std::max(retries, 0.0) * static_cast<double>(one_retry));
}

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : m_share(to_micro(options.share)),
      m_limit(to_micro(options.limit)),
      m_tokens(std::min(to_micro(options.initial), to_micro(options.limit)))
{
}

void retry_budget::record_request()
{
    const std::int64_t limit = m_limit.load(std::memory_order_relaxed);
    std::int64_t tokens = m_tokens.load(std::memory_order_relaxed);
    while (tokens != limit && !m_tokens.compare_exchange_weak(tokens, std::min(tokens + m_share, limit),
                                                              std::memory_order_relaxed)) {
    }
}

void retry_budget::set_limit(double limit)
{
    m_limit.store(to_micro(limit), std::memory_order_relaxed);
}

bool retry_budget::try_spend()
{
    std::int64_t tokens = m_tokens.load(std::memory_order_relaxed);
    while (tokens >= one_retry) {
        if (m_tokens.compare_exchange_weak(tokens, tokens - one_retry, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

double retry_budget::available() const
{
    return static_cast<double>(m_tokens.load(std::memory_order_relaxed)) / static_cast<double>(one_retry);
}

} // namespace quetzalspan::dispatch
