// Limits the requests that a cold endpoint receives from all instances together. An endpoint is cold after it
// starts or after the evacuation of its zone ends, until endpoint::cold_until. The instances exchange no
// messages for this: each one computes a fixed share of the requests that the endpoint tolerates. The same
// limit holds for requests that may reach an incarnation of which this instance has not heard.

#pragma once

#include "placement/endpoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quetzalspan::placement
{

// The time over which the requests to a cold endpoint are counted. Longer than the one second of the limit,
// because requests take different times to arrive.
inline constexpr core::duration cold_window = std::chrono::milliseconds(1150);

// How far the records that service discovery has announced are up to date.
struct discovery_state {
    // Whether complete_until is recent, so that the record of a new incarnation arrives soon after its start.
    bool is_current = false;
    // All records written before this time are known.
    core::instant complete_until;
};

struct cold_limit {
    // Requests per second that a cold endpoint of the service may receive from the whole fleet. 0 means no
    // limit; other values below 1 count as 1.
    double fleet_rate = 0;
    // How long an endpoint of the service stays cold after it starts.
    core::duration cold_duration{0};
    discovery_state discovery;
};

// Whether and how a request may be sent to an endpoint.
struct send_permission {
    bool is_granted = true;
    // If there is a value, only over an idle connection that was opened at this time or before.
    std::optional<core::instant> opened_until;
};

// The instances of the fleet as this instance knows them. The hash of an instance stays the same when it
// restarts.
struct fleet_view {
    // The number of instances that may send requests, including this one; at least 1.
    std::uint32_t size = 1;
    // The hashes of all instances including this one, sorted. They rank the instances by rendezvous hashing.
    std::vector<std::uint64_t> instance_hashes;
    std::uint64_t own_hash = 0;
    // The number of instances in this instance's region; at least 1.
    std::uint32_t region_size = 1;
};

// Returns how many requests this instance may send to the endpoint in one second while the endpoint is cold.
std::uint32_t compute_max_cold_requests(const endpoint& target, const cold_limit& limit,
                                        const fleet_view& fleet);

// Returns how this instance may send a request to the endpoint now. Removes outdated send times.
send_permission find_send_permission(endpoint& target, const cold_limit& limit, const fleet_view& fleet,
                                     core::instant now);

// Returns whether a connection may be opened for a request that was counted already, after the endpoint has
// closed the connections that the request was to use.
bool may_reconnect(endpoint& target, const cold_limit& limit, const fleet_view& fleet, core::instant now);

// Counts a request that is sent now against the limit. Requests to warm endpoints count as well, since an
// endpoint may have become cold shortly before this instance hears of it.
void record_send(endpoint& target, core::instant now);

// Records that the request that was counted at the time counted_at is sent now, over a connection that was
// opened at the other one.
void record_connection(endpoint& target, const cold_limit& limit, core::instant connection_opened,
                       core::instant counted_at, core::instant now);

// Records that a request over the connection is no longer in flight.
void remove_connection(endpoint& target, core::instant connection_opened);

// Removes the send times that are further back than cold_window.
void remove_old_sends(endpoint& target, core::instant now);

// Returns the rank of this instance in the fleet by rendezvous hashing of the key; 0 is the first. Instances
// that know the same fleet compute the same ranking.
std::uint32_t rendezvous_rank(std::uint64_t key_hash, const fleet_view& fleet);

} // namespace quetzalspan::placement
