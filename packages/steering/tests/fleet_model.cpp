// Runs the discrete-event simulation: arrivals, selection, service and queueing at endpoints, retries and
// reports.

#include "steering/tests/fleet_model.h"

#include "steering/tests/fixture.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::steering::tests
{

namespace
{

constexpr std::int64_t report_period_us = 500'000;
constexpr std::int64_t report_delay_us = 200'000;
// A request waits for a local permit for local_wait_us before it may leave its region, and is rejected after
// max_wait_us.
constexpr std::int64_t local_wait_us = 50'000;
constexpr std::int64_t max_wait_us = 200'000;
constexpr std::int64_t permit_poll_interval_us = 5'000;
constexpr std::int64_t refusal_latency_us = 1'000;
constexpr std::int64_t failure_latency_us = 5'000;
constexpr std::int64_t timeout_us = 1'000'000;
constexpr std::size_t max_queue_length = 10;
constexpr std::size_t max_retries = 2;
// The service time of a cold endpoint is four times the usual at first. The extra time falls exponentially
// with the requests served, and the endpoint is warm after about 50.
constexpr double extra_cold_factor = 3;
constexpr double warm_up_requests = 20;

} // namespace

fleet_model::fleet_model(const model_settings& settings)
    : m_settings(settings), m_configuration(make_configuration(endpoints_per_region)), m_random(settings.seed)
{
    m_configuration.policy.planned_shifts = settings.shifts;
    m_hooks = {[this](endpoint_index index) { return m_endpoints[index].permits > 0; },
               [this](endpoint_index index) {
                   if (m_endpoints[index].permits == 0) {
                       return false;
                   }
                   --m_endpoints[index].permits;
                   return true;
               },
               [this](endpoint_index index) { ++m_endpoints[index].permits; },
               [this](region_index from, region_index to) { return try_take_shift_token(from, to); },
               [this](region_index from, region_index to) { m_shift_buckets[from][to].tokens += 1; },
               [](region_index, region_index, std::uint64_t) { return true; },
               [this] { return m_random(); }};
    for (std::array<bucket, 3>& row : m_shift_buckets) {
        row.fill({settings.cap_burst_requests, 0});
    }
    reconfigure();
}

run_record fleet_model::run()
{
    for (region_index region = 0; region < 3; ++region) {
        schedule(0, event_kind::arrival, region);
    }
    schedule(0, event_kind::report, 0);
    for (const fault& item : m_settings.faults) {
        if (item.kind == fault_kind::registry_drain) {
            schedule(item.begin_ms * 1000, event_kind::reconfigure, 0);
            schedule(item.end_ms * 1000, event_kind::reconfigure, 0);
        }
    }
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now_us = next.at_us;
        handle(next);
    }
    for (const request& item : m_requests) {
        m_record.outcomes.push_back(item.outcome);
    }
    return std::move(m_record);
}

void fleet_model::schedule(std::int64_t at_us, event_kind kind, std::size_t subject)
{
    m_events.push({at_us, m_sequence, kind, subject});
    ++m_sequence;
}

void fleet_model::handle(const event& next)
{
    switch (next.kind) {
    case event_kind::arrival:
        return arrive(static_cast<region_index>(next.subject));
    case event_kind::dispatch:
        return dispatch(next.subject);
    case event_kind::finish:
        return finish(next.subject);
    case event_kind::report:
        return send_reports();
    case event_kind::delivery:
        return deliver(m_reports[next.subject]);
    case event_kind::reconfigure:
        return reconfigure();
    }
}

void fleet_model::arrive(region_index region)
{
    if (m_now_us >= m_settings.length_ms * 1000) {
        return;
    }
    request arrived;
    arrived.id = "request-" + std::to_string(m_requests.size());
    arrived.outcome.arrived_us = m_now_us;
    arrived.outcome.region = region;
    m_requests.push_back(std::move(arrived));
    dispatch(m_requests.size() - 1);
    const double rate = m_settings.load[region] * endpoints_per_region * slots / mean_service_us;
    std::exponential_distribution<double> interarrival_us(rate);
    schedule(m_now_us + 1 + static_cast<std::int64_t>(interarrival_us(m_random)), event_kind::arrival,
             region);
}

void fleet_model::dispatch(std::size_t request_index)
{
    if (m_settings.policy == balancing_policy::steering) {
        dispatch_by_steering(request_index);
    } else {
        dispatch_by_baseline(request_index);
    }
}

void fleet_model::dispatch_by_steering(std::size_t request_index)
{
    request& item = m_requests[request_index];
    const region_index region = item.outcome.region;
    const std::int64_t waited = m_now_us - item.outcome.arrived_us;
    steering_request steering_input;
    steering_input.request_id = item.id;
    steering_input.excluded_endpoints = item.tried_states;
    steering_input.may_leave_busy_region = waited >= local_wait_us;
    const region_selector selector(m_hooks);
    const selection chosen = selector.select(*m_snapshots[region], steering_input, now(), wall_now());
    if (chosen.endpoint) {
        send(request_index, *chosen.endpoint,
             {m_now_us, 0, *chosen.endpoint, region, chosen.to_region, chosen.kind, request_result::success,
              false},
             chosen.state, chosen.ticket);
        return;
    }
    if (waited < max_wait_us) {
        schedule(m_now_us + permit_poll_interval_us, event_kind::dispatch, request_index);
        return;
    }
    item.outcome.is_rejected = true;
    item.outcome.reason = chosen.reason;
    answer(request_index, request_result::shed);
}

void fleet_model::dispatch_by_baseline(std::size_t request_index)
{
    request& item = m_requests[request_index];
    const region_index region = item.outcome.region;
    const endpoint_index first = m_settings.is_baseline_global ? 0 : region * endpoints_per_region;
    const endpoint_index count = m_settings.is_baseline_global ? endpoint_count : endpoints_per_region;
    std::optional<endpoint_index> best;
    for (endpoint_index step = 0; step < count; ++step) {
        const endpoint_index candidate = first + (m_next_candidates[region] + step) % count;
        const bool is_tried = std::find(item.tried.begin(), item.tried.end(), candidate) != item.tried.end();
        if (is_tried || m_snapshots[region]->endpoints()[candidate].is_draining) {
            continue;
        }
        const bool is_least_load_policy = m_settings.policy == balancing_policy::least_reported_load;
        if (!best ||
            (is_least_load_policy && m_reported_loads[region][candidate] < m_reported_loads[region][*best])) {
            best = candidate;
        }
    }
    m_next_candidates[region] = (*best - first + 1) % count;
    const region_index to = *best / endpoints_per_region;
    const selection_kind kind = to == region ? selection_kind::local : selection_kind::emergency_shift;
    send(request_index, *best, {m_now_us, 0, *best, region, to, kind, request_result::success, false},
         nullptr, {});
}

void fleet_model::send(std::size_t request_index, endpoint_index to, attempt_record record,
                       std::shared_ptr<endpoint_state> state, const request_ticket& ticket)
{
    request& item = m_requests[request_index];
    item.tried.push_back(to);
    if (state) {
        item.tried_states.push_back(state.get());
    }
    endpoint& target = m_endpoints[to];
    record.is_cold = target.served < warm_up_requests;
    m_record.attempts.push_back(record);
    m_attempts.push_back({request_index, m_record.attempts.size() - 1, std::move(state), ticket, false});
    const std::size_t attempt_index = m_attempts.size() - 1;
    attempt_record& stored_record = m_record.attempts.back();
    if (find_fault(fault_kind::down, to) != nullptr) {
        stored_record.result = request_result::failure;
        target.was_down = true;
        schedule(m_now_us + refusal_latency_us, event_kind::finish, attempt_index);
        return;
    }
    if (find_fault(fault_kind::drain_response, to) != nullptr) {
        stored_record.result = request_result::shed;
        schedule(m_now_us + refusal_latency_us, event_kind::finish, attempt_index);
        return;
    }
    if (target.was_down) {
        target.was_down = false;
        target.served = 0;
        stored_record.is_cold = true;
    }
    if (target.busy < slots) {
        serve(attempt_index);
        return;
    }
    ++m_record.overloads;
    if (target.queue.size() < max_queue_length) {
        target.queue.push_back(attempt_index);
        return;
    }
    stored_record.result = request_result::shed;
    schedule(m_now_us + refusal_latency_us, event_kind::finish, attempt_index);
}

void fleet_model::serve(std::size_t attempt_index)
{
    attempt_record& record = m_record.attempts[m_attempts[attempt_index].record_index];
    endpoint& target = m_endpoints[record.endpoint];
    m_attempts[attempt_index].is_running = true;
    ++target.busy;
    ++target.served;
    std::int64_t service_us = failure_latency_us;
    if (find_fault(fault_kind::requests_fail, record.endpoint) != nullptr) {
        record.result = request_result::failure;
    } else if (find_fault(fault_kind::does_not_answer, record.endpoint) != nullptr) {
        record.result = request_result::timeout;
        service_us = timeout_us;
    } else {
        std::exponential_distribution<double> service_distribution(1.0 / mean_service_us);
        const double slowdown =
            1 + extra_cold_factor * std::exp(-static_cast<double>(target.served) / warm_up_requests);
        service_us = 1 + static_cast<std::int64_t>(service_distribution(m_random) * slowdown);
    }
    schedule(m_now_us + service_us, event_kind::finish, attempt_index);
}

void fleet_model::finish(std::size_t attempt_index)
{
    const attempt ended = m_attempts[attempt_index];
    attempt_record& record = m_record.attempts[ended.record_index];
    record.end_us = m_now_us;
    endpoint& target = m_endpoints[record.endpoint];
    if (ended.is_running) {
        --target.busy;
        if (find_fault(fault_kind::down, record.endpoint) != nullptr) {
            record.result = request_result::failure;
        }
        if (!target.queue.empty()) {
            const std::size_t next = target.queue.front();
            target.queue.pop_front();
            serve(next);
        }
    }
    if (ended.state) {
        ended.state->end_request(ended.ticket, record.result, now());
        m_hooks.release_permit(record.endpoint);
        if (record.result == request_result::shed) {
            ended.state->record_drain(now());
        }
    }
    if (record.result != request_result::success &&
        m_requests[ended.request_index].tried.size() <= max_retries) {
        dispatch(ended.request_index);
        return;
    }
    answer(ended.request_index, record.result);
}

void fleet_model::answer(std::size_t request_index, request_result result)
{
    m_requests[request_index].outcome.result = result;
    m_requests[request_index].outcome.answered_us = m_now_us;
}

void fleet_model::send_reports()
{
    for (endpoint_index from = 0; from < endpoint_count; ++from) {
        if (find_fault(fault_kind::down, from) != nullptr) {
            m_endpoints[from].was_down = true;
            m_reports.push_back({from, 1, reported_health::unhealthy, true, m_now_us});
            schedule(m_now_us + report_delay_us, event_kind::delivery, m_reports.size() - 1);
            continue;
        }
        if (find_fault(fault_kind::no_reports, from) != nullptr) {
            continue;
        }
        report sent{from, static_cast<double>(m_endpoints[from].busy) / slots, reported_health::healthy,
                    false, m_now_us};
        if (find_fault(fault_kind::reports_unhealthy, from) != nullptr) {
            sent.health = reported_health::unhealthy;
        }
        if (find_fault(fault_kind::reports_idle, from) != nullptr) {
            sent.load = 0;
        }
        if (find_fault(fault_kind::reports_busy, from) != nullptr) {
            sent.load = 1;
        }
        const fault* const late_reports = find_fault(fault_kind::late_reports, from);
        const std::int64_t delay = late_reports != nullptr ? late_reports->delay_ms * 1000 : report_delay_us;
        m_reports.push_back(sent);
        schedule(m_now_us + delay, event_kind::delivery, m_reports.size() - 1);
    }
    if (m_now_us < m_settings.length_ms * 1000) {
        schedule(m_now_us + report_period_us, event_kind::report, 0);
    }
}

void fleet_model::deliver(const report& received)
{
    for (region_index region = 0; region < 3; ++region) {
        m_reported_loads[region][received.from] = received.load;
        endpoint_state& state = *m_snapshots[region]->endpoints()[received.from].state;
        const core::instant measured{std::chrono::microseconds(received.measured_us)};
        if (received.is_unreachable) {
            state.record_unreachable(measured, now());
            continue;
        }
        state.record_load(received.load, now());
        state.record_health(received.health, measured, now());
    }
}

void fleet_model::reconfigure()
{
    ++m_configuration.revision;
    for (config::endpoint& item : m_configuration.inventory.services[0].endpoints) {
        item.is_draining = false;
        for (endpoint_index index = 0; m_snapshots[0] && index < endpoint_count; ++index) {
            if (m_snapshots[0]->endpoints()[index].id == item.id) {
                item.is_draining = find_fault(fault_kind::registry_drain, index) != nullptr;
            }
        }
    }
    const std::array<std::string, 3> names{"pohjanmaa", "savo", "uusimaa"};
    for (region_index region = 0; region < 3; ++region) {
        m_snapshots[region] =
            snapshot::create(m_configuration, {"", names[region]}, m_snapshots[region].get(), now());
    }
}

bool fleet_model::try_take_shift_token(region_index from, region_index to)
{
    bucket& cap = m_shift_buckets[from][to];
    const double elapsed = static_cast<double>(m_now_us - cap.updated_us) / 1e6;
    cap.tokens =
        std::min(m_settings.cap_burst_requests, cap.tokens + elapsed * m_settings.cap_requests_per_second);
    cap.updated_us = m_now_us;
    if (cap.tokens < 1) {
        return false;
    }
    cap.tokens -= 1;
    return true;
}

const fault* fleet_model::find_fault(fault_kind kind, endpoint_index index) const
{
    for (const fault& item : m_settings.faults) {
        const endpoint_index base = item.region * endpoints_per_region;
        if (item.kind == kind && index >= base + item.first && index < base + item.last &&
            m_now_us >= item.begin_ms * 1000 && m_now_us < item.end_ms * 1000) {
            return &item;
        }
    }
    return nullptr;
}

} // namespace quetzalspan::steering::tests
