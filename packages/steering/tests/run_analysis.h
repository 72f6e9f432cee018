// Computes figures from the record of a run of the fleet model.

#pragma once

#include "steering/tests/fleet_model.h"

#include <cstdint>

namespace quetzalspan::steering::tests
{

struct run_figures {
    // Share of requests that were rejected, from 0 to 1.
    double rejected = 0;
    // Share of requests that were not rejected and whose last attempt did not succeed, from 0 to 1.
    double failed = 0;
    // Latency of the successful requests from arrival to answer.
    double mean_ms = 0;
    double p99_ms = 0;
};

// Returns the figures of the requests that arrived in the region from begin_ms until before end_ms.
run_figures compute_figures(const run_record& record, region_index region, std::int64_t begin_ms,
                            std::int64_t end_ms);

// Returns the largest number of concurrent attempts at any endpoint.
std::size_t find_max_concurrent(const run_record& record);

// Returns the largest number of requests by which the attempts from one region at another exceeded
// burst_requests + requests_per_second x length, over all windows of any length and all pairs of regions; 0
// or less if the cap held.
double compute_cap_excess(const run_record& record, double requests_per_second, double burst_requests);

// Returns the number of attempts at the endpoints `first` up to, but not including, `last` that began from
// begin_ms until before end_ms.
std::size_t count_attempts(const run_record& record, endpoint_index first, endpoint_index last,
                           std::int64_t begin_ms, std::int64_t end_ms);

// Returns the mean change in the number of attempts at an endpoint from one half-second to the next, relative
// to the mean number of attempts in a half-second, over the endpoints of region 0.
double compute_oscillation(const run_record& record, std::int64_t length_ms);

} // namespace quetzalspan::steering::tests
