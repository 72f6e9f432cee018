// Estimates how fast an endpoint works at present from the pace that it reports.

#pragma once

#include "placement/endpoint.h"

namespace quetzalspan::placement
{

struct speed_options {
    // The age at which a reported pace tells nothing any more. The pace of an endpoint changes about every
    // 600 ms; the probability that it is still the reported one falls linearly until then.
    core::duration pace_lifetime = std::chrono::milliseconds(600);
    // Bounds of the estimate, so that an absurd report has a bounded effect.
    double min_slowdown = 0.5;
    double max_slowdown = 10;
};

// Returns the factor by which work takes longer at the endpoint than usual; 1 if it reports no pace.
double estimate_slowdown(const endpoint& target, const speed_options& options, core::instant now);

} // namespace quetzalspan::placement
