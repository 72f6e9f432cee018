// Derives the health of an endpoint from the outcomes of requests. Health check endpoints can report success
// while requests fail, so only real requests are evaluated.

#pragma once

#include "core/name_table.h"
#include "placement/endpoint.h"

namespace quetzalspan::placement
{

enum class attempt_outcome {
    // A response from this endpoint that is not a server error.
    success,
    server_error,
    // The endpoint rejected the request without processing it.
    shed,
    // The connection could not be established.
    unreachable,
    // The response was lost, incomplete or malformed.
    response_lost,
    // No response within the time limit. If the endpoint answers other requests, it is only busy.
    timed_out,
    // Another endpoint answered at the address.
    misdirected,
    // The caller disconnected or the endpoint was not contacted, so the attempt says nothing about it.
    inconclusive,
};

inline constexpr core::name_table attempt_outcome_names{std::array<core::named_value<attempt_outcome>, 8>{{
    {attempt_outcome::success, "success"},
    {attempt_outcome::server_error, "server-error"},
    {attempt_outcome::shed, "shed"},
    {attempt_outcome::unreachable, "unreachable"},
    {attempt_outcome::response_lost, "lost"},
    {attempt_outcome::timed_out, "silent"},
    {attempt_outcome::misdirected, "misdirected"},
    {attempt_outcome::inconclusive, "nothing-learned"},
}}};

// Returns whether the outcome suggests that the endpoint has ended.
bool suggests_end(attempt_outcome outcome);

// The defaults balance two errors: a healthy endpoint that is passed over no longer serves the objects that
// it has recently handled, and a failing endpoint costs each request that is sent to it an attempt.
struct health_options {
    // The number of consecutive failures at which an endpoint is ejected.
    std::uint32_t consecutive_failure_threshold = 2;
    // An endpoint is ejected if its average failure rate, from 0 to 1, is above this, once it has the minimum
    // number of samples.
    double failure_rate_threshold = 0.4;
    std::uint32_t min_samples = 6;
    // The weight of the newest sample in the moving averages of failures and latency.
    double newest_sample_weight = 0.2;
    // The duration of the first ejection. Each further one without a success in between lasts twice as long,
    // up to the maximum.
    core::duration base_ejection_time = std::chrono::milliseconds(500);
    core::duration max_ejection_time = std::chrono::seconds(4);
    // How long other endpoints are preferred after an endpoint shed a request.
    core::duration shed_avoidance_time = std::chrono::milliseconds(100);
    // Other endpoints are preferred for slow_avoidance_time if an endpoint's average latency is at least this
    // many times the median of its service.
    double slow_latency_ratio = 4;
    core::duration slow_avoidance_time = std::chrono::milliseconds(1500);
    // An endpoint with a lower average latency is never marked as slow.
    core::duration min_slow_latency = std::chrono::milliseconds(500);
};

// Records the outcome of a request that was sent at the given time; latency is the time to the header of the
// response. Returns whether the endpoint was ejected because of it.
bool record_outcome(endpoint& target, attempt_outcome outcome, core::instant sent, core::duration latency,
                    const health_options& options, core::instant now);

// Marks the endpoint as slow if its average latency is far above the median of its service. Returns whether
// it was marked and had not been slow before.
bool mark_slow_if_outlier(endpoint& target, core::duration median, const health_options& options,
                          core::instant now);

} // namespace quetzalspan::placement
