// Computes the wait from the rejections for each admitted request.

#include "quota/retry_after.h"

#include <algorithm>

namespace quetzalspan::quota
{

namespace
{

// Added for each request that is rejected while one is admitted.
constexpr core::duration wait_per_rejection = std::chrono::milliseconds(150);
// Callers that wait longer than this have seldom time left.
constexpr core::duration max_added_wait = std::chrono::milliseconds(900);
// The shortest wait. With none, callers would come back before anything has changed.
constexpr core::duration min_wait = std::chrono::milliseconds(40);
// The part of the wait that the position within the spread takes away at most.
constexpr double spread = 0.5;

} // namespace

core::duration compute_retry_after(core::duration next_token, double admitted_fraction, double position)
{
    // The fraction is not used below one in a hundred, where the added wait has long reached its maximum.
    const double admitted = std::clamp(admitted_fraction, 0.01, 1.0);
    const double rejections_per_admission = 1 / admitted - 1;
    const core::duration added =
        std::min(std::chrono::duration_cast<core::duration>(wait_per_rejection * rejections_per_admission),
                 max_added_wait);
    const core::duration wait = std::max(next_token + added, 2 * min_wait);
    return std::chrono::duration_cast<core::duration>(wait * (1 - spread * std::clamp(position, 0.0, 1.0)));
}

} // namespace quetzalspan::quota
