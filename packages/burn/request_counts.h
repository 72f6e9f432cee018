// Counts of requests by their result with respect to the service-level objective, and the burn rate.

#pragma once

#include <cstdint>

namespace quetzalspan::burn
{

// The result of a request with respect to the objective. Rejections that the client caused (over its rate
// limit, invalid key, no route, malformed request) are not recorded.
enum class request_result {
    succeeded,
    // Error of the upstream, timeout or incomplete response.
    failed,
    // Rejected although the workspace was within its rate limit.
    rejected_wrongfully,
};

struct request_counts {
    // Succeeded within the latency of the objective.
    std::uint64_t good = 0;
    // Succeeded after more than the latency of the objective.
    std::uint64_t slow = 0;
    std::uint64_t failed = 0;
    std::uint64_t rejected_wrongfully = 0;

    std::uint64_t bad() const { return slow + failed + rejected_wrongfully; }
    std::uint64_t total() const { return good + bad(); }

    request_counts& operator+=(const request_counts& other)
    {
        good += other.good;
        slow += other.slow;
        failed += other.failed;
        rejected_wrongfully += other.rejected_wrongfully;
        return *this;
    }

    request_counts operator-(const request_counts& other) const
    {
        return {good - other.good, slow - other.slow, failed - other.failed,
                rejected_wrongfully - other.rejected_wrongfully};
    }

    bool operator==(const request_counts&) const = default;
};

// Returns the fraction of bad requests divided by the fraction that the target allows. At a rate of 1 the
// error budget is used up exactly. Returns 0 if there are no requests. The target must be above 0 and
// below 1.
inline double burn_rate(const request_counts& counts, double target)
{
    if (counts.total() == 0) {
        return 0;
    }
    return static_cast<double>(counts.bad()) / static_cast<double>(counts.total()) / (1 - target);
}

} // namespace quetzalspan::burn
