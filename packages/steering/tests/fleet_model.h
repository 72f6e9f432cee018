// A discrete-event simulation of endpoints in three regions, with one instance per region. Requests are
// placed in virtual time by the real selection code or by a baseline policy. The simulation records every
// attempt, so that tests judge the record and not counters of the code under test.

#pragma once

#include "steering/region_selector.h"
#include "steering/snapshot.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace quetzalspan::steering::tests
{

// The selection code under test, and the baselines that it is compared with.
enum class balancing_policy { steering, round_robin, least_reported_load };

enum class fault_kind {
    // No load and health reports arrive.
    no_reports,
    // Every request fails after 5 ms while health reports say healthy.
    requests_fail,
    // Health reports say unhealthy while requests succeed.
    reports_unhealthy,
    // Reports arrive after fault::delay_ms.
    late_reports,
    // Load reports say 0, whatever the load.
    reports_idle,
    // Load reports say 1, whatever the load.
    reports_busy,
    // Requests are not answered and time out after a second.
    does_not_answer,
    // Connections are refused. After the fault the endpoint serves again with cold caches.
    down,
    // The registry marks the endpoint as draining.
    registry_drain,
    // The endpoint answers requests with the response that it is draining.
    drain_response,
};

// A fault of the endpoints `first` up to, but not including, `last` of a region, counted within the region,
// from begin_ms until before end_ms.
struct fault {
    fault_kind kind = fault_kind::no_reports;
    region_index region = 0;
    endpoint_index first = 0;
    endpoint_index last = 0;
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
    // Delay of reports, for fault_kind::late_reports only.
    std::int64_t delay_ms = 0;
};

struct model_settings {
    balancing_policy policy = balancing_policy::steering;
    // The baselines choose among the endpoints of all regions instead of their own.
    bool is_baseline_global = false;
    std::int64_t length_ms = 30'000;
    // Offered load by region, relative to the capacity of its slots.
    std::array<double, 3> load{0.7, 0.4, 0.4};
    // The shift cap of each ordered pair of regions, a token bucket.
    double cap_requests_per_second = 120;
    double cap_burst_requests = 30;
    std::vector<fault> faults;
    std::vector<config::planned_shift> shifts;
    std::uint64_t seed = 1;
};

// One attempt of a request at an endpoint. `from` is the region where the request arrived.
struct attempt_record {
    std::int64_t begin_us = 0;
    std::int64_t end_us = 0;
    endpoint_index endpoint = 0;
    region_index from = 0;
    region_index to = 0;
    selection_kind kind = selection_kind::local;
    request_result result = request_result::success;
    // The caches of the endpoint were cold when the attempt began.
    bool is_cold = false;
};

// One request from its arrival to its answer, in the region where it arrived.
struct request_outcome {
    std::int64_t arrived_us = 0;
    std::int64_t answered_us = 0;
    region_index region = 0;
    request_result result = request_result::success;
    bool is_rejected = false;
    rejection_reason reason = rejection_reason::none;
};

struct run_record {
    std::vector<attempt_record> attempts;
    std::vector<request_outcome> outcomes;
    // Number of attempts that found all slots of their endpoint busy.
    std::size_t overloads = 0;
};

// Arrivals are a Poisson process, service times are exponentially distributed and longer at cold endpoints.
// The same settings give the same record.
class fleet_model
{
public:
    static constexpr endpoint_index endpoints_per_region = 6;
    static constexpr endpoint_index endpoint_count = 3 * endpoints_per_region;
    static constexpr std::uint32_t slots = 3;
    static constexpr std::int64_t mean_service_us = 50'000;

    explicit fleet_model(const model_settings& settings);

    // Runs the simulation to its end and returns its record. May be called once.
    run_record run();

private:
    enum class event_kind { arrival, dispatch, finish, report, delivery, reconfigure };

    struct event {
        std::int64_t at_us = 0;
        // Keeps events of the same time in the order in which they were scheduled.
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::arrival;
        // The region, request, attempt or report that the event is about, depending on its kind.
        std::size_t subject = 0;

        friend bool operator>(const event& left, const event& right)
        {
            return std::pair(left.at_us, left.sequence) > std::pair(right.at_us, right.sequence);
        }
    };

    struct request {
        std::string id;
        request_outcome outcome;
        std::vector<const endpoint_state*> tried_states;
        std::vector<endpoint_index> tried;
    };

    // What the instance and the endpoint know of an attempt; record_index refers to the attempts of the run
    // record.
    struct attempt {
        std::size_t request_index = 0;
        std::size_t record_index = 0;
        std::shared_ptr<endpoint_state> state;
        request_ticket ticket;
        // The attempt occupies a slot of its endpoint.
        bool is_running = false;
    };

    struct endpoint {
        // Occupied slots.
        std::uint32_t busy = 0;
        // Requests begun since the endpoint was last cold. The initial value makes it warm.
        std::uint32_t served = 1'000;
        bool was_down = false;
        std::uint32_t permits = slots;
        // Attempts that wait at the endpoint for a slot.
        std::deque<std::size_t> queue;
    };

    struct report {
        endpoint_index from = 0;
        double load = 0;
        reported_health health = reported_health::healthy;
        bool is_unreachable = false;
        std::int64_t measured_us = 0;
    };

    struct bucket {
        double tokens = 0;
        std::int64_t updated_us = 0;
    };

    void schedule(std::int64_t at_us, event_kind kind, std::size_t subject);
    void handle(const event& next);
    // Adds a request in the region and schedules the next arrival there.
    void arrive(region_index region);
    void dispatch(std::size_t request_index);
    void dispatch_by_steering(std::size_t request_index);
    void dispatch_by_baseline(std::size_t request_index);
    void send(std::size_t request_index, endpoint_index to, attempt_record record,
              std::shared_ptr<endpoint_state> state, const request_ticket& ticket);
    // Occupies a slot of the endpoint and schedules the end of the attempt.
    void serve(std::size_t attempt_index);
    // Ends the attempt, begins the next one in the queue of the endpoint, and retries or answers the request.
    void finish(std::size_t attempt_index);
    void answer(std::size_t request_index, request_result result);
    void send_reports();
    void deliver(const report& received);
    // Creates new snapshots with the endpoints that the registry drains at this time.
    void reconfigure();
    bool try_take_shift_token(region_index from, region_index to);
    // Returns the fault of this kind that the endpoint has at this time, or a null pointer.
    const fault* find_fault(fault_kind kind, endpoint_index index) const;
    core::instant now() const { return core::instant(std::chrono::microseconds(m_now_us)); }
    core::wall_time wall_now() const { return core::wall_time(std::chrono::milliseconds(m_now_us / 1000)); }

    model_settings m_settings;
    config::configuration m_configuration;
    std::mt19937_64 m_random;
    // The snapshot of the instance in each region.
    std::array<std::unique_ptr<const snapshot>, 3> m_snapshots;
    selection_hooks m_hooks;
    std::array<endpoint, endpoint_count> m_endpoints;
    // Shift caps by source and target region.
    std::array<std::array<bucket, 3>, 3> m_shift_buckets;
    // The last load report of each endpoint by receiving region, for the baselines.
    std::array<std::array<double, endpoint_count>, 3> m_reported_loads{};
    // Position by region from which the baselines search for the next endpoint.
    std::array<endpoint_index, 3> m_next_candidates{};
    std::vector<request> m_requests;
    std::vector<attempt> m_attempts;
    std::vector<report> m_reports;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    std::int64_t m_now_us = 0;
    run_record m_record;
};

} // namespace quetzalspan::steering::tests
