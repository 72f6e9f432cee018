// The settings of the upstream stand-in that tests change while it runs: faults, service times and reported
// state.

#pragma once

#include "core/name_table.h"
#include "core/time.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalspan::standins
{

// A fault in the handling of a request.
enum class fault {
    none,
    // Resets the connection once the header of the request has been received, without reading the body.
    // reset_after_header does the same.
    reset_before_reading,
    reset_after_header,
    // Executes the request and resets the connection instead of sending the response.
    reset_after_running,
    // Executes the request, sends the header and half of the body of the response, then resets the
    // connection.
    reset_within_body,
    // Executes the request and responds with status 503 without a Quetzal-Outcome header, so that the
    // response does not say whether the request was executed.
    fail,
};

inline constexpr core::name_table fault_names{std::array<core::named_value<fault>, 6>{{
    {fault::none, "none"},
    {fault::reset_before_reading, "reset_before_reading"},
    {fault::reset_after_header, "reset_after_header"},
    {fault::reset_after_running, "reset_after_running"},
    {fault::reset_within_body, "reset_within_body"},
    {fault::fail, "fail"},
}}};

// The values that the control endpoint sets.
struct standin_control {
    // Sets the values that the JSON object names. Throws std::invalid_argument and changes nothing if a name
    // is unknown or a value is invalid.
    //   fault: name of the fault; fault_count: number of requests that it applies to, 0 = all
    //   delay_ms: added to each service time
    //   service_ms, service_sigma: median and log-normal spread of the service time
    //   draining: whether requests are rejected with the reason draining
    //   health, load: reported values; null = the measured ones
    //   report_lag_ms: age of the measured values when they are reported
    //   freeze_ms, refuse_ms: for how long, from now on, to suspend all handling or to refuse connections
    void merge(const Json::Value& changes);

    // Returns the fault that applies to the next request, and counts that request.
    fault take_fault();

    fault active_fault = fault::none;
    // Remaining requests that the fault applies to; std::nullopt means all.
    std::optional<std::uint64_t> fault_count;
    // Added to each service time.
    core::duration delay{0};
    // Median of the service times, which have a log-normal distribution.
    core::duration service_time = std::chrono::milliseconds(20);
    double service_sigma = 0.3;
    bool is_draining = false;
    // Reported by /health and /load in place of the measured values.
    std::optional<bool> reported_health;
    std::optional<double> reported_load;
    // Age of the measured values when they are reported.
    core::duration report_lag{0};
    // Set back to 0 when the suspension, or the refusal of connections, begins.
    core::duration freeze_time{0};
    core::duration refuse_time{0};
};

} // namespace quetzalspan::standins
