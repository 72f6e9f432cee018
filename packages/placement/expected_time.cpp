// Adds the wait for a free slot to the time for processing, both lengthened by the endpoint's slowdown.

#include "placement/expected_time.h"

#include <algorithm>

namespace quetzalspan::placement
{

namespace
{

// Returns the requests that this instance has sent after the endpoint sent its last report.
double count_sends_since_report(const endpoint& target)
{
    const std::deque<core::instant>& times = target.recent_send_times;
    const std::deque<core::instant>::const_iterator first =
        std::upper_bound(times.begin(), times.end(), target.load_reported_at);
    return static_cast<double>(times.end() - first);
}

} // namespace

double estimate_requests(const endpoint& target, const expected_time_options& options, core::instant now)
{
    const double own = target.outstanding_requests;
    if (!target.reported_load) {
        return own;
    }
    const double age = core::to_seconds(now - target.load_reported_at);
    const double weight = std::clamp(1 - age / core::to_seconds(options.load_lifetime), 0.0, 1.0);
    const double reported = static_cast<double>(target.reported_load->running) +
                            static_cast<double>(target.reported_load->waiting);
    return std::max(own, reported * weight + std::min(own, count_sends_since_report(target)));
}

double estimate_time(const endpoint& target, const expected_time_options& options, core::instant now)
{
    const double slots = std::max<double>(target.record.slots, 1);
    const double requests = estimate_requests(target, options, now);
    const double ahead = std::max(0.0, requests + 1 - slots);
    const double utilization = std::min(1.0, requests / slots);
    const double slowdown =
        estimate_slowdown(target, options.speed, now) * (now < target.cold_until ? options.cold_slowdown : 1);
    return slowdown * (1 + ahead / slots + options.utilization_weight * utilization) +
           (now < target.busy_until ? options.shed_penalty : 0);
}

} // namespace quetzalspan::placement
