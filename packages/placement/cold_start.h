// Limits what cold endpoints receive from all instances together, without messages: each instance has a fixed
// part of what the endpoint tolerates.

#pragma once

#include "placement/endpoint.h"

#include <cstdint>
#include <vector>

namespace quetzalspan::placement
{

struct cold_limit {
    // Requests per second that a cold endpoint of the service may receive from the whole fleet; 0 for no
    // limit.
    double fleet_rate = 0;
};

// The place of this instance in the fleet. The hash is the same for an instance over its restarts.
struct fleet_position {
    // Instances that may send requests, this one included; at least 1.
    std::uint32_t size = 1;
    // Hashes of all of them, sorted; used only when the fleet is larger than the rate.
    std::vector<std::uint64_t> hashes;
    std::uint64_t own_hash = 0;
};

// Returns how many requests this instance may send to the endpoint within a second while it is cold.
std::uint32_t cold_share(const endpoint& target, const cold_limit& limit, const fleet_position& fleet);

// Returns whether the endpoint is warm or its share allows one more request now.
bool allows_cold_send(endpoint& target, const cold_limit& limit, const fleet_position& fleet,
                      core::instant now);

// Charges a request that is sent now.
void record_cold_send(endpoint& target, core::instant now);

// Returns the rank of this instance among the fleet for a duty named by the hash, 0 for the first. Every
// instance with the same view of the fleet computes the same order.
std::uint32_t duty_rank(std::uint64_t duty, const fleet_position& fleet);

} // namespace quetzalspan::placement
