// What the results of requests say about an endpoint. Health endpoints can mislead, so only real requests
// count.

#pragma once

#include "core/name_table.h"
#include "placement/endpoint.h"

namespace quetzalspan::placement
{

enum class attempt_outcome {
    // A response that is the endpoint's own and no server error.
    success,
    server_error,
    // The endpoint said that it did not run the request.
    shed,
    // No connection could be opened.
    unreachable,
    // No usable response.
    lost,
    // No response in the time allowed. Of an endpoint that answers other requests it says only that it is
    // busy.
    silent,
    // Another endpoint has the address.
    misdirected,
    // The caller left or the endpoint was not contacted.
    nothing_learned,
};

inline constexpr core::name_table attempt_outcome_names{std::array<core::named_value<attempt_outcome>, 8>{{
    {attempt_outcome::success, "success"},
    {attempt_outcome::server_error, "server-error"},
    {attempt_outcome::shed, "shed"},
    {attempt_outcome::unreachable, "unreachable"},
    {attempt_outcome::lost, "lost"},
    {attempt_outcome::silent, "silent"},
    {attempt_outcome::misdirected, "misdirected"},
    {attempt_outcome::nothing_learned, "nothing-learned"},
}}};

// The limits weigh two errors: an endpoint that is passed over for nothing loses the objects that it knows,
// and one that fails costs each request sent to it an attempt.
struct health_options {
    // Failures in a row after which an endpoint is ejected.
    std::uint32_t failure_limit = 2;
    // Average share of failures above which an endpoint is ejected, and the results needed to judge it.
    double failure_rate_limit = 0.4;
    std::uint32_t least_samples = 6;
    // Weight of the newest result in the averages.
    double weight = 0.2;
    // Length of the first ejection; each further one is twice as long, up to the limit.
    core::duration ejection_time = std::chrono::milliseconds(500);
    core::duration ejection_limit = std::chrono::seconds(4);
    // How long an endpoint that shed a request is passed over.
    core::duration busy_time = std::chrono::milliseconds(100);
    // An endpoint whose average latency is this many times the median of its service is passed over.
    double slow_ratio = 4;
    core::duration slow_time = std::chrono::milliseconds(1500);
    // Differences below this do not make an endpoint slow.
    core::duration slow_least = std::chrono::milliseconds(500);
};

// Records the result of a request that was sent at the given time. Returns whether the endpoint was ejected
// by it.
bool record_outcome(endpoint& target, attempt_outcome outcome, core::instant sent, core::duration latency,
                    const health_options& options, core::instant now);

// Marks the endpoint slow if its latency is far above the median of its service. Returns whether it is now
// slow and was not before.
bool judge_latency(endpoint& target, core::duration median, const health_options& options, core::instant now);

} // namespace quetzalspan::placement
