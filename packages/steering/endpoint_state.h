// The state that this instance keeps of one endpoint: outstanding requests, recent results, ejection (outlier
// detection), slow start, and load and health reports. The snapshots share ownership of it, so that it
// outlives each of them.

#pragma once

#include "core/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

namespace quetzalspan::steering
{

enum class request_result {
    // A response arrived that is no fault of the endpoint, whatever its application-level status.
    success,
    // The connection failed or the response was a fault of the endpoint.
    failure,
    timeout,
    // The endpoint rejected the request without executing it.
    shed,
    // The request ended for a reason that says nothing about the endpoint.
    cancelled,
};

// The health that an endpoint reports in its response to a health probe: healthy if it answers 200 and does
// not report itself unhealthy, otherwise unhealthy. A missing response is recorded with record_unreachable().
enum class reported_health { healthy, unhealthy };

// The states of a circuit breaker: closed, open, and half-open before and during the trial request.
enum class ejection_phase {
    in_service,
    // The back-off is running.
    ejected,
    // The back-off has ended: a single real request may try the endpoint.
    half_open,
    // The trial request is under way.
    trial_running,
};

// Identifies one request at an endpoint from its selection to its end.
struct request_ticket {
    core::instant start_time;
    // The request is the trial request of a half-open endpoint.
    bool is_trial = false;
};

// All member functions may be called from several threads at once; except for the create functions, none
// takes a lock or allocates. Times before the epoch of core::instant are not supported.
class endpoint_state
{
public:
    // Consecutive failures and time-outs after which the endpoint is ejected.
    static constexpr std::uint32_t consecutive_failure_limit = 5;
    // The endpoint is also ejected if at least this share of its results are failures, among at least
    // failure_ratio_min_results results of the current and the previous window (5 to 10 s).
    static constexpr double failure_ratio_limit = 0.5;
    static constexpr std::uint32_t failure_ratio_min_results = 10;
    static constexpr core::duration result_window = std::chrono::seconds(5);
    // The back-off starts at base_back_off and doubles with each further ejection up to max_back_off. After
    // back_off_reset_time in service without an ejection it starts at base_back_off again.
    static constexpr core::duration base_back_off = std::chrono::seconds(1);
    static constexpr core::duration max_back_off = std::chrono::seconds(64);
    static constexpr core::duration back_off_reset_time = std::chrono::seconds(60);
    // The weight of a report falls linearly from 1 to 0 over its lifetime.
    static constexpr core::duration load_report_lifetime = std::chrono::seconds(3);
    static constexpr core::duration health_report_lifetime = std::chrono::seconds(10);
    // Number of recent results from which on the load score ignores the reported health, since results of
    // real requests are better evidence.
    static constexpr std::uint32_t min_results_to_ignore_health = 5;
    // The penalty for a shed request falls linearly to 0 over this time.
    static constexpr core::duration shed_penalty_lifetime = std::chrono::seconds(1);
    static constexpr core::duration slow_start_duration = std::chrono::seconds(10);
    // After a drain response the endpoint counts as draining until a health probe that began at least
    // min_drain_duration later reports it healthy; earlier reports are ignored because reports lag by
    // seconds. Without such a report the drain ends after max_drain_duration.
    static constexpr core::duration min_drain_duration = std::chrono::seconds(10);
    static constexpr core::duration max_drain_duration = std::chrono::minutes(5);
    // Ramp at the beginning of the slow start, as a share of the full traffic. With 0 the endpoint would
    // receive no requests and never warm up.
    static constexpr double min_ramp = 0.1;

    // Returns the state of an endpoint without a slow start. Used for the first snapshot of a process, since
    // the start of this process says nothing about the age of the endpoints.
    static std::shared_ptr<endpoint_state> create_warm();
    // Returns the state of an endpoint whose slow start begins now. Used for endpoints that were added or
    // moved to another address.
    static std::shared_ptr<endpoint_state> create_cold(core::instant now);

    // Counts a request as outstanding. end_request() must be called exactly once with the returned ticket.
    request_ticket begin_request(core::instant now);
    // Begins the single trial request of a half-open endpoint and fills in its ticket, for which
    // end_request() must be called exactly once. Returns false and counts nothing if the endpoint is not
    // half-open, or if another request has become its trial request.
    bool try_begin_trial(core::instant now, request_ticket& ticket);
    // Ends an outstanding request and applies its result: may eject the endpoint or return it to service.
    void end_request(const request_ticket& ticket, request_result result, core::instant now);

    // Stores a load report from 0 (idle) to 1 (all slots busy). Clamps values outside that range; ignores a
    // NaN.
    void record_load(double load, core::instant received);
    // Stores a health report. Ends a drain if the report is healthy and its probe began late enough (see
    // min_drain_duration). Restarts the slow start if the endpoint was unreachable and no request has
    // succeeded since then.
    void record_health(reported_health health, core::instant probe_start_time, core::instant received);
    // Records that a health probe found no process at the endpoint. The endpoint counts as unhealthy, and as
    // restarted with cold caches when its health is reported again. Requests that succeed after the beginning
    // of the probe take precedence over it.
    void record_unreachable(core::instant probe_start_time, core::instant received);
    // Records that the endpoint answered that it is draining. It receives no new request until the
    // drain ends.
    void record_drain(core::instant now);

    // Begins the slow start again, for an endpoint that the registry had withdrawn and lists as serving
    // again.
    void restart_slow_start(core::instant now);

    std::uint32_t outstanding() const { return m_outstanding.load(std::memory_order_relaxed); }
    // Returns whether a drain response is in force.
    bool is_draining(core::instant now) const;
    // Returns whether the last health probes found no process, no request has succeeded since the first of
    // them began, and the last report is younger than its lifetime.
    bool is_presumed_down(core::instant now) const;
    ejection_phase phase(core::instant now) const;
    // Returns the beginning of the current ejection. Meaningless while the phase is in_service.
    core::instant ejected_at() const;
    // Returns the progress of the slow start, from min_ramp to 1 (warm).
    double slow_start_ramp(core::instant now) const;
    // Returns how many requests may be outstanding at the endpoint: the number of slots when warm, the share
    // of them given by the ramp during the slow start, and at least 1.
    std::uint32_t concurrency_limit(std::uint32_t slots, core::instant now) const;
    // Returns a score that ranks endpoints; lower is better and 0 is best. Adds up the reported load and ill
    // health, each weighted by the age of the report, a penalty for a recently shed request, and the recent
    // failure ratio.
    double load_score(core::instant now) const;
    // Returns the share of failures, from 0 to 1, among the recent results; 0 if there are none.
    double failure_ratio(core::instant now) const;

private:
    struct result_counts {
        std::uint32_t total = 0;
        std::uint32_t failures = 0;
    };

    explicit endpoint_state(std::int64_t slow_start_begin_ms) : m_slow_start_begin_ms(slow_start_begin_ms) {}

    void record_result(bool is_failure, std::int64_t now_ms);
    // Returns the sums over the current and the previous window.
    result_counts recent_results(std::int64_t now_ms) const;
    // Ejects the endpoint, or after a failed trial request (is_trial) ejects it again with a longer back-off.
    void eject(std::int64_t now_ms, bool is_trial);
    // Returns the endpoint to service with a slow start, unless m_ejection no longer holds the expected word.
    void return_to_service(std::int64_t now_ms, std::uint64_t expected);
    // Ends a trial request that says nothing about the endpoint, which is half-open again after the wait.
    void end_undecided_trial(std::int64_t now_ms, core::duration wait);

    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_consecutive_failures{0};
    // Results of the current and the previous window, at the parity of the window number. Window number,
    // failures and total are packed in one word, so that a reader never combines the parts of different
    // windows.
    std::array<std::atomic<std::uint64_t>, 2> m_result_windows{};
    // End of the back-off, back-off level and flags, packed in one word as by `ejection` in the .cpp file.
    std::atomic<std::uint64_t> m_ejection{0};
    // The last report of load and of health: time of receipt and value packed in one word; 0 if there was
    // none.
    std::atomic<std::uint64_t> m_load{0};
    std::atomic<std::uint64_t> m_health{0};
    // Times since the epoch of core::instant; -1 if there was no such event.
    std::atomic<std::int64_t> m_last_shed_ms{-1};
    std::atomic<std::int64_t> m_last_success_ms{-1};
    // Beginning of the first of the consecutive health probes that found no process; -1 after any other
    // health report.
    std::atomic<std::int64_t> m_unreachable_since_ms{-1};
    std::atomic<std::int64_t> m_drain_received_ms{-1};
    // Beginning of the slow start, also after it has ended.
    std::atomic<std::int64_t> m_slow_start_begin_ms;
};

} // namespace quetzalspan::steering
