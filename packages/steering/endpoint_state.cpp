// Keeps the results, reports, ejection and slow start of an endpoint in atomic words, each updated on its own
// without a lock.

#include "steering/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::steering
{

namespace
{

// Far enough in the past that the slow start is over at any supported time.
constexpr std::int64_t warm_slow_start_begin_ms = -1'000'000;
// Added to the load score, in which a reported load of all slots busy counts as 1.
constexpr double shed_penalty = 1.0;
constexpr double unhealthy_penalty = 0.5;

// Packs a report in one word. From the lowest bit: a bit that marks presence, 16 bits of value, and the time
// of receipt in ms.
std::uint64_t pack_report(std::int64_t received_ms, std::uint16_t value)
{
    return (static_cast<std::uint64_t>(received_ms) << 17U) | (static_cast<std::uint64_t>(value) << 1U) | 1U;
}

// Returns the weight of a report by its age: 1 when new, falling linearly to 0 at the end of its lifetime; 0
// if there is no report.
double report_weight(std::uint64_t report, std::int64_t now_ms, core::duration lifetime)
{
    if (report == 0) {
        return 0;
    }
    const std::int64_t age = std::max<std::int64_t>(0, now_ms - static_cast<std::int64_t>(report >> 17U));
    return std::max(0.0,
                    1.0 - static_cast<double>(age) / static_cast<double>(core::to_milliseconds(lifetime)));
}

std::uint16_t report_value(std::uint64_t report)
{
    return static_cast<std::uint16_t>((report >> 1U) & 0xffffU);
}

// The ejection state, packed in one word so that a compare-and-exchange changes all of it at once.
struct ejection {
    // End of the back-off while ejected, else the time of the return to service.
    std::int64_t until_ms = 0;
    // Number of ejections since the back-off was last reset, without the first; at most 16.
    std::uint32_t level = 0;
    bool is_trial_running = false;
    bool is_ejected = false;

    static ejection unpack(std::uint64_t word)
    {
        return {static_cast<std::int64_t>(word >> 10U), static_cast<std::uint32_t>((word >> 2U) & 0xffU),
                (word & 2U) != 0, (word & 1U) != 0};
    }

    std::uint64_t pack() const
    {
        return (static_cast<std::uint64_t>(until_ms) << 10U) | (static_cast<std::uint64_t>(level) << 2U) |
               (is_trial_running ? 2U : 0U) | (is_ejected ? 1U : 0U);
    }

    std::int64_t back_off_ms() const
    {
        const std::int64_t base = core::to_milliseconds(endpoint_state::base_back_off);
        const std::int64_t limit = core::to_milliseconds(endpoint_state::max_back_off);
        return std::min(limit, base << std::min<std::uint32_t>(level, 16));
    }
};

std::int64_t to_ms(core::instant time)
{
    return core::to_milliseconds(time.time_since_epoch());
}

// Packs the results of a window in one word. From the lowest bit: 16 bits total, 16 bits failures, window
// number.
std::uint64_t pack_window(std::uint64_t number, std::uint32_t failures, std::uint32_t total)
{
    return (number << 32U) | (static_cast<std::uint64_t>(failures) << 16U) | total;
}

std::uint64_t window_number(std::int64_t now_ms)
{
    return static_cast<std::uint64_t>(now_ms / core::to_milliseconds(endpoint_state::result_window));
}

} // namespace

std::shared_ptr<endpoint_state> endpoint_state::create_warm()
{
    return std::shared_ptr<endpoint_state>(new endpoint_state(warm_slow_start_begin_ms));
}

std::shared_ptr<endpoint_state> endpoint_state::create_cold(core::instant now)
{
    return std::shared_ptr<endpoint_state>(new endpoint_state(to_ms(now)));
}

request_ticket endpoint_state::begin_request(core::instant now)
{
    m_outstanding.fetch_add(1, std::memory_order_relaxed);
    return {now, false};
}

bool endpoint_state::try_begin_trial(core::instant now, request_ticket& ticket)
{
    std::uint64_t word = m_ejection.load(std::memory_order_acquire);
    ejection current = ejection::unpack(word);
    if (!current.is_ejected || current.is_trial_running || to_ms(now) < current.until_ms) {
        return false;
    }
    current.is_trial_running = true;
    if (!m_ejection.compare_exchange_strong(word, current.pack(), std::memory_order_acq_rel)) {
        return false;
    }
    m_outstanding.fetch_add(1, std::memory_order_relaxed);
    ticket = {now, true};
    return true;
}

void endpoint_state::end_request(const request_ticket& ticket, request_result result, core::instant now)
{
    m_outstanding.fetch_sub(1, std::memory_order_relaxed);
    const std::int64_t now_ms = to_ms(now);
    const std::int64_t start_ms = to_ms(ticket.start_time);
    switch (result) {
    case request_result::success: {
        m_consecutive_failures.store(0, std::memory_order_relaxed);
        m_last_success_ms.store(now_ms, std::memory_order_relaxed);
        const std::uint64_t word = m_ejection.load(std::memory_order_acquire);
        const ejection current = ejection::unpack(word);
        // The response to a request that began before the ejection does not show that the endpoint has
        // recovered.
        if (current.is_ejected && (ticket.is_trial || start_ms > current.until_ms - current.back_off_ms())) {
            return_to_service(now_ms, word);
        }
        record_result(false, now_ms);
        return;
    }
    case request_result::failure:
    case request_result::timeout:
        if (ticket.is_trial) {
            eject(now_ms, true);
            return;
        }
        // Requests that began before a return to service failed because of the fault that the endpoint has
        // recovered from.
        if (start_ms < m_slow_start_begin_ms.load(std::memory_order_relaxed)) {
            return;
        }
        record_result(true, now_ms);
        if (m_consecutive_failures.fetch_add(1, std::memory_order_relaxed) + 1 >= consecutive_failure_limit) {
            eject(now_ms, false);
            return;
        }
        if (recent_results(now_ms).total >= failure_ratio_min_results &&
            failure_ratio(now) >= failure_ratio_limit) {
            eject(now_ms, false);
        }
        return;
    case request_result::shed:
        m_last_shed_ms.store(now_ms, std::memory_order_relaxed);
        if (ticket.is_trial) {
            end_undecided_trial(now_ms, base_back_off);
        }
        return;
    case request_result::cancelled:
        if (ticket.is_trial) {
            end_undecided_trial(now_ms, core::duration::zero());
        }
        return;
    }
}

void endpoint_state::record_load(double load, core::instant received)
{
    if (std::isnan(load)) {
        return;
    }
    const double clamped = std::clamp(load, 0.0, 1.0);
    m_load.store(pack_report(to_ms(received), static_cast<std::uint16_t>(clamped * 1000)),
                 std::memory_order_relaxed);
}

void endpoint_state::record_health(reported_health health, core::instant probe_start_time,
                                   core::instant received)
{
    m_health.store(pack_report(to_ms(received), health == reported_health::unhealthy ? 1 : 0),
                   std::memory_order_relaxed);
    const std::int64_t unreachable_since = m_unreachable_since_ms.exchange(-1, std::memory_order_relaxed);
    if (unreachable_since >= 0 && m_last_success_ms.load(std::memory_order_relaxed) < unreachable_since) {
        restart_slow_start(received);
    }
    std::int64_t drained = m_drain_received_ms.load(std::memory_order_relaxed);
    const bool is_drain_over = drained >= 0 && health == reported_health::healthy &&
                               to_ms(probe_start_time) >= drained + core::to_milliseconds(min_drain_duration);
    if (is_drain_over &&
        m_drain_received_ms.compare_exchange_strong(drained, -1, std::memory_order_relaxed)) {
        m_slow_start_begin_ms.store(to_ms(received), std::memory_order_relaxed);
    }
}

void endpoint_state::record_unreachable(core::instant probe_start_time, core::instant received)
{
    m_health.store(pack_report(to_ms(received), 1), std::memory_order_relaxed);
    std::int64_t none = -1;
    m_unreachable_since_ms.compare_exchange_strong(none, to_ms(probe_start_time), std::memory_order_relaxed);
}

void endpoint_state::record_drain(core::instant now)
{
    m_drain_received_ms.store(to_ms(now), std::memory_order_relaxed);
}

void endpoint_state::restart_slow_start(core::instant now)
{
    m_slow_start_begin_ms.store(to_ms(now), std::memory_order_relaxed);
}

bool endpoint_state::is_draining(core::instant now) const
{
    const std::int64_t drained = m_drain_received_ms.load(std::memory_order_relaxed);
    return drained >= 0 && to_ms(now) < drained + core::to_milliseconds(max_drain_duration);
}

bool endpoint_state::is_presumed_down(core::instant now) const
{
    const std::int64_t unreachable_since = m_unreachable_since_ms.load(std::memory_order_relaxed);
    return unreachable_since >= 0 && m_last_success_ms.load(std::memory_order_relaxed) < unreachable_since &&
           report_weight(m_health.load(std::memory_order_relaxed), to_ms(now), health_report_lifetime) > 0;
}

ejection_phase endpoint_state::phase(core::instant now) const
{
    const ejection current = ejection::unpack(m_ejection.load(std::memory_order_acquire));
    if (!current.is_ejected) {
        return ejection_phase::in_service;
    }
    if (to_ms(now) < current.until_ms) {
        return ejection_phase::ejected;
    }
    return current.is_trial_running ? ejection_phase::trial_running : ejection_phase::half_open;
}

core::instant endpoint_state::ejected_at() const
{
    const ejection current = ejection::unpack(m_ejection.load(std::memory_order_acquire));
    return core::instant(std::chrono::milliseconds(current.until_ms - current.back_off_ms()));
}

double endpoint_state::slow_start_ramp(core::instant now) const
{
    std::int64_t started = m_slow_start_begin_ms.load(std::memory_order_relaxed);
    const std::int64_t drained = m_drain_received_ms.load(std::memory_order_relaxed);
    if (drained >= 0) {
        // No health report has ended the drain, so the endpoint counts as serving, from a cold start, when
        // max_drain_duration has passed.
        started = std::max(started, drained + core::to_milliseconds(max_drain_duration));
    }
    const double progress = static_cast<double>(to_ms(now) - started) /
                            static_cast<double>(core::to_milliseconds(slow_start_duration));
    return std::clamp(progress, min_ramp, 1.0);
}

std::uint32_t endpoint_state::concurrency_limit(std::uint32_t slots, core::instant now) const
{
    const double limit = std::floor(static_cast<double>(slots) * slow_start_ramp(now));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

double endpoint_state::load_score(core::instant now) const
{
    const std::int64_t now_ms = to_ms(now);
    const std::uint64_t load = m_load.load(std::memory_order_relaxed);
    double result = report_weight(load, now_ms, load_report_lifetime) * report_value(load) / 1000.0;
    const result_counts results = recent_results(now_ms);
    if (results.total < min_results_to_ignore_health) {
        const std::uint64_t health = m_health.load(std::memory_order_relaxed);
        result +=
            report_weight(health, now_ms, health_report_lifetime) * report_value(health) * unhealthy_penalty;
    }
    if (results.total > 0) {
        result += static_cast<double>(results.failures) / results.total;
    }
    const std::int64_t shed = m_last_shed_ms.load(std::memory_order_relaxed);
    if (shed >= 0) {
        result += shed_penalty * report_weight(pack_report(shed, 0), now_ms, shed_penalty_lifetime);
    }
    return result;
}

double endpoint_state::failure_ratio(core::instant now) const
{
    const result_counts results = recent_results(to_ms(now));
    return results.total == 0 ? 0 : static_cast<double>(results.failures) / results.total;
}

void endpoint_state::record_result(bool is_failure, std::int64_t now_ms)
{
    const std::uint64_t number = window_number(now_ms);
    std::atomic<std::uint64_t>& window = m_result_windows[number % 2];
    std::uint64_t word = window.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do {
        const bool is_current = word >> 32U == number;
        const std::uint32_t failures = is_current ? (word >> 16U) & 0xffffU : 0;
        const std::uint32_t total = is_current ? word & 0xffffU : 0;
        if (total == 0xffffU) {
            return;
        }
        next = pack_window(number, failures + (is_failure ? 1 : 0), total + 1);
    } while (!window.compare_exchange_weak(word, next, std::memory_order_relaxed));
}

endpoint_state::result_counts endpoint_state::recent_results(std::int64_t now_ms) const
{
    const std::uint64_t number = window_number(now_ms);
    result_counts result;
    for (const std::atomic<std::uint64_t>& window : m_result_windows) {
        const std::uint64_t word = window.load(std::memory_order_relaxed);
        if (word >> 32U == number || (word >> 32U) + 1 == number) {
            result.failures += static_cast<std::uint32_t>((word >> 16U) & 0xffffU);
            result.total += static_cast<std::uint32_t>(word & 0xffffU);
        }
    }
    return result;
}

void endpoint_state::eject(std::int64_t now_ms, bool is_trial)
{
    std::uint64_t word = m_ejection.load(std::memory_order_acquire);
    ejection next;
    do {
        const ejection current = ejection::unpack(word);
        if (current.is_ejected && !is_trial) {
            return;
        }
        const bool is_back_off_reset =
            !current.is_ejected && now_ms - current.until_ms >= core::to_milliseconds(back_off_reset_time);
        const bool is_first = word == 0 || is_back_off_reset;
        next.level = is_first ? 0 : std::min<std::uint32_t>(current.level + 1, 16);
        next.is_ejected = true;
        next.until_ms = now_ms + next.back_off_ms();
    } while (!m_ejection.compare_exchange_weak(word, next.pack(), std::memory_order_acq_rel));
}

void endpoint_state::return_to_service(std::int64_t now_ms, std::uint64_t expected)
{
    const ejection next{now_ms, ejection::unpack(expected).level, false, false};
    if (!m_ejection.compare_exchange_strong(expected, next.pack(), std::memory_order_acq_rel)) {
        return;
    }
    m_slow_start_begin_ms.store(now_ms, std::memory_order_relaxed);
    for (std::atomic<std::uint64_t>& window : m_result_windows) {
        window.store(0, std::memory_order_relaxed);
    }
}

void endpoint_state::end_undecided_trial(std::int64_t now_ms, core::duration wait)
{
    std::uint64_t word = m_ejection.load(std::memory_order_acquire);
    ejection current = ejection::unpack(word);
    if (!current.is_ejected || !current.is_trial_running) {
        return;
    }
    current.is_trial_running = false;
    current.until_ms = now_ms + core::to_milliseconds(wait);
    m_ejection.compare_exchange_strong(word, current.pack(), std::memory_order_acq_rel);
}

} // namespace quetzalspan::steering
