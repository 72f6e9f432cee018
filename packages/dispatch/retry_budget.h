// A budget that bounds retries to a share of the requests, so that a failing upstream is not loaded with
// multiples of the offered load.

#pragma once

#include <atomic>
#include <cstdint>

namespace quetzalspan::dispatch
{

struct retry_budget_options {
    // Retries earned by each request.
    double share = 0.1;
    // Retries available at the start, for an instance that has seen few requests.
    double initial = 10;
    // The most retries that can be saved up.
    double limit = 100;
};

// Threads may share a budget. It takes no lock.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // Earns the share of one request.
    void record_request();

    // Spends one retry. Returns false, spending nothing, if less than one is left.
    bool try_spend();

    // Changes the most retries that can be saved up.
    void set_limit(double limit);

    // Retries available now.
    double available() const;

private:
    // Micro-retries, so that shares add up without rounding errors.
    std::int64_t m_share;
    std::atomic<std::int64_t> m_limit;
    // At least 0; above m_limit only until the next spending or earning.
    std::atomic<std::int64_t> m_tokens;
};

} // namespace quetzalspan::dispatch
