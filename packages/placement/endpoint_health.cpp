// Implements the judgement of endpoints by results.

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
    case attempt_outcome::lost:
    case attempt_outcome::silent:
    case attempt_outcome::misdirected:
        return true;
    case attempt_outcome::success:
    case attempt_outcome::shed:
    case attempt_outcome::nothing_learned:
        return false;
    }
    return false;
}

void eject(endpoint& target, const health_options& options, core::instant now)
{
    constexpr std::uint32_t most_doublings = 6;
    const std::uint32_t doublings = std::min(target.ejections, most_doublings);
    const core::duration length =
        std::min<core::duration>(options.ejection_time * (1U << doublings), options.ejection_limit);
    target.ejected_until = now + length;
    ++target.ejections;
    target.failures = 0;
}

void record_latency(endpoint& target, core::duration latency, double weight)
{
    if (target.latency == core::duration(0)) {
        target.latency = latency;
        return;
    }
    const double average = static_cast<double>(target.latency.count()) * (1 - weight) +
                           static_cast<double>(latency.count()) * weight;
    target.latency = core::duration(static_cast<std::int64_t>(average));
}

} // namespace

bool record_outcome(endpoint& target, attempt_outcome outcome, core::instant sent, core::duration latency,
                    const health_options& options, core::instant now)
{
    const bool is_only_busy = outcome == attempt_outcome::silent && target.answered >= sent;
    if (outcome == attempt_outcome::nothing_learned || is_only_busy) {
        return false;
    }
    if (outcome == attempt_outcome::shed) {
        target.busy_until = now + options.busy_time;
        return false;
    }
    const bool has_failed = is_failure(outcome);
    ++target.samples;
    target.failure_rate = target.failure_rate * (1 - options.weight) + (has_failed ? options.weight : 0);
    if (!has_failed) {
        target.failures = 0;
        target.ejections = 0;
        target.answered = now;
        record_latency(target, latency, options.weight);
        return false;
    }
    ++target.failures;
    const bool is_gone = outcome == attempt_outcome::unreachable || outcome == attempt_outcome::misdirected;
    const bool is_failing_often =
        target.samples >= options.least_samples && target.failure_rate > options.failure_rate_limit;
    if (!is_gone && !is_failing_often && target.failures < options.failure_limit) {
        return false;
    }
    eject(target, options, now);
    return true;
}

bool judge_latency(endpoint& target, core::duration median, const health_options& options, core::instant now)
{
    if (median == core::duration(0) || target.latency < options.slow_least ||
        static_cast<double>(target.latency.count()) <
            static_cast<double>(median.count()) * options.slow_ratio) {
        return false;
    }
    const bool was_slow = now < target.slow_until;
    target.slow_until = now + options.slow_time;
    return !was_slow;
}

} // namespace quetzalspan::placement
