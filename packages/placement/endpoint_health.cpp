// Updates failure counts and latency averages from outcomes and ejects failing endpoints.

#include "placement/endpoint_health.h"

#include <algorithm>

namespace quetzalspan::placement
{

namespace
{

bool is_failure(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::server_error:
    case attempt_outcome::unreachable:
    case attempt_outcome::response_lost:
    case attempt_outcome::timed_out:
    case attempt_outcome::misdirected:
        return true;
    case attempt_outcome::success:
    case attempt_outcome::shed:
    case attempt_outcome::inconclusive:
        return false;
    }
    return false;
}

void eject(endpoint& target, const health_options& options, core::instant now)
{
    constexpr std::uint32_t max_doublings = 6;
    const std::uint32_t doublings = std::min(target.consecutive_ejections, max_doublings);
    const core::duration length =
        std::min<core::duration>(options.base_ejection_time * (1U << doublings), options.max_ejection_time);
    target.ejected_until = now + length;
    ++target.consecutive_ejections;
    target.consecutive_failures = 0;
}

void record_latency(endpoint& target, core::duration latency, double weight)
{
    if (target.average_latency == core::duration(0)) {
        target.average_latency = latency;
        return;
    }
    const double average = static_cast<double>(target.average_latency.count()) * (1 - weight) +
                           static_cast<double>(latency.count()) * weight;
    target.average_latency = core::duration(static_cast<std::int64_t>(average));
}

} // namespace

bool suggests_end(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::unreachable:
    case attempt_outcome::response_lost:
    case attempt_outcome::misdirected:
        return true;
    // A busy endpoint looks the same. If it has ended, connections to it fail when they are next used.
    case attempt_outcome::timed_out:
    case attempt_outcome::success:
    case attempt_outcome::server_error:
    case attempt_outcome::shed:
    case attempt_outcome::inconclusive:
        return false;
    }
    return false;
}

bool record_outcome(endpoint& target, attempt_outcome outcome, core::instant sent, core::duration latency,
                    const health_options& options, core::instant now)
{
    const bool is_only_busy = outcome == attempt_outcome::timed_out && target.last_success_at >= sent;
    if (outcome == attempt_outcome::inconclusive || is_only_busy) {
        return false;
    }
    if (outcome == attempt_outcome::shed) {
        target.busy_until = now + options.shed_avoidance_time;
        return false;
    }
    const bool has_failed = is_failure(outcome);
    ++target.failure_rate_samples;
    target.failure_rate = target.failure_rate * (1 - options.newest_sample_weight) +
                          (has_failed ? options.newest_sample_weight : 0);
    if (!has_failed) {
        target.consecutive_failures = 0;
        target.consecutive_ejections = 0;
        target.last_success_at = now;
        record_latency(target, latency, options.newest_sample_weight);
        return false;
    }
    ++target.consecutive_failures;
    const bool is_not_at_address =
        outcome == attempt_outcome::unreachable || outcome == attempt_outcome::misdirected;
    const bool is_failing_often = target.failure_rate_samples >= options.min_samples &&
                                  target.failure_rate > options.failure_rate_threshold;
    if (!is_not_at_address && !is_failing_often &&
        target.consecutive_failures < options.consecutive_failure_threshold) {
        return false;
    }
    eject(target, options, now);
    return true;
}

bool mark_slow_if_outlier(endpoint& target, core::duration median, const health_options& options,
                          core::instant now)
{
    if (median == core::duration(0) || target.average_latency < options.min_slow_latency ||
        static_cast<double>(target.average_latency.count()) <
            static_cast<double>(median.count()) * options.slow_latency_ratio) {
        return false;
    }
    const bool was_slow = now < target.slow_until;
    target.slow_until = now + options.slow_avoidance_time;
    return !was_slow;
}

} // namespace quetzalspan::placement
