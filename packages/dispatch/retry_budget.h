// A retry budget: retries are limited to a fraction of the requests, so that a failing upstream does not
// receive a multiple of the load that callers offer.

#pragma once

#include <atomic>
#include <cstdint>

namespace quetzalspan::dispatch
{

struct retry_budget_options {
    // Retries that each request adds to the budget.
    double retries_per_request = 0.1;
    // Retries available at the start, so that an instance that has received few requests can retry.
    double initial_retries = 10;
    // The maximum of the budget in retries.
    double max_retries = 100;
};

// Thread-safe and lock-free.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // Adds the fraction of a retry that one request earns, up to the maximum.
    void record_request();

    // Takes one retry from the budget. Returns false and takes nothing if less than one retry is left.
    bool try_spend();

    // Changes the maximum of the budget, in retries.
    void set_max_retries(double limit);

    // Returns the retries that are left, as a fraction.
    double available() const;

private:
    // The budget is kept in micro-retries (millionths of a retry), so that fractions add up without rounding
    // errors.
    std::int64_t m_micro_retries_per_request;
    std::atomic<std::int64_t> m_max_micro_retries;
    // At least 0. Exceeds m_max_micro_retries only after the maximum was lowered, until the next request is
    // recorded or enough retries are spent.
    std::atomic<std::int64_t> m_micro_retries;
};

} // namespace quetzalspan::dispatch
