// Adds to and takes from the retry budget by atomic compare-and-swap.

#include "dispatch/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::dispatch
{

namespace
{

constexpr std::int64_t micro_per_retry = 1'000'000;

// Returns the number in millionths, rounded; 0 for a negative number.
std::int64_t to_micro_retries(double retries)
{
    return std::llround(std::max(retries, 0.0) * static_cast<double>(micro_per_retry));
}

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : m_micro_retries_per_request(to_micro_retries(options.retries_per_request)),
      m_max_micro_retries(to_micro_retries(options.max_retries)),
      m_micro_retries(
          std::min(to_micro_retries(options.initial_retries), to_micro_retries(options.max_retries)))
{
}

void retry_budget::record_request()
{
    const std::int64_t maximum = m_max_micro_retries.load(std::memory_order_relaxed);
    std::int64_t micro_retries = m_micro_retries.load(std::memory_order_relaxed);
    while (micro_retries != maximum &&
           !m_micro_retries.compare_exchange_weak(
               micro_retries, std::min(micro_retries + m_micro_retries_per_request, maximum),
               std::memory_order_relaxed)) {
    }
}

void retry_budget::set_max_retries(double limit)
{
    m_max_micro_retries.store(to_micro_retries(limit), std::memory_order_relaxed);
}

bool retry_budget::try_spend()
{
    std::int64_t micro_retries = m_micro_retries.load(std::memory_order_relaxed);
    while (micro_retries >= micro_per_retry) {
        if (m_micro_retries.compare_exchange_weak(micro_retries, micro_retries - micro_per_retry,
                                                  std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

double retry_budget::available() const
{
    return static_cast<double>(m_micro_retries.load(std::memory_order_relaxed)) /
           static_cast<double>(micro_per_retry);
}

} // namespace quetzalspan::dispatch
