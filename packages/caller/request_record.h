// The record of a finished request, from which metrics, error-budget burn rates and the access log are
// computed.

#pragma once

#include "caller/admission.h"
#include "caller/request_summary.h"

namespace quetzalspan::caller
{

struct request_record {
    request_record(const request_summary& the_summary, const admission& the_admission)
        : summary(the_summary), request_admission(the_admission)
    {
    }

    const request_summary& summary;
    // Holds default values if the request was rejected before it was admitted.
    const admission& request_admission;
    // Identity of the endpoint of the last attempt; empty if there was none.
    std::string_view endpoint;
    // Why the request failed; no value if a complete response was relayed.
    std::optional<dispatch::failure> failure;
    dispatch::outcome outcome = dispatch::outcome::not_run;
    // HTTP status sent to the caller; 0 if none was sent.
    unsigned status = 0;
    std::uint32_t attempts = 0;
    // Sizes of the bodies, without headers and chunk framing.
    std::uint64_t request_bytes = 0;
    std::uint64_t response_bytes = 0;
    // Time spent in the hooks enforce_rate_limit and acquire_endpoint.
    core::duration wait_time{0};
    // Time from the receipt of the request header to the end of the response.
    core::duration total_time{0};
    bool is_lookup = false;
};

} // namespace quetzalspan::caller
