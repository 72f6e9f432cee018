// Estimates how long a request would take at an endpoint, from its reported load and pace and from the
// requests that this instance has sent there since.

#pragma once

#include "placement/endpoint_speed.h"

namespace quetzalspan::placement
{

struct expected_time_options {
    speed_options speed;
    // The age at which a reported load tells nothing any more; its weight falls linearly until then.
    core::duration load_lifetime = std::chrono::seconds(1);
    // The factor by which work takes longer at a cold endpoint.
    double cold_slowdown = 2;
    // The part of the time to process a request by which an endpoint whose slots are all in use is put off
    // against an idle one, in proportion to the slots in use. Other requests arrive there before the report
    // of this one.
    double utilization_weight = 0.3;
    // Added for an endpoint that has just rejected a request because its queue was full.
    double shed_penalty = 2;
};

// Returns how many requests run or wait at the endpoint, from all instances as far as this one knows; without
// a recent report, only those of this instance.
double estimate_requests(const endpoint& target, const expected_time_options& options, core::instant now);

// Returns the expected time from sending a request to the endpoint until its response, in multiples of the
// usual time to process a request; at least 0.5.
double estimate_time(const endpoint& target, const expected_time_options& options, core::instant now);

} // namespace quetzalspan::placement
