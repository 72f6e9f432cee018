// Tells whether the next request to an endpoint could reach an incarnation of which this instance has not
// heard.
//
// The record of a new incarnation arrives some time after it has started, and not at all while service
// discovery is out of reach. Connections tell earlier: those to the former incarnation end with it or are
// reset when they are next used, so a request reaches a new incarnation only over a connection that was
// opened after its start.

#pragma once

#include "placement/endpoint.h"

namespace quetzalspan::placement
{

// How long an interruption counts while service discovery is current. The record of an endpoint that has
// ended is replaced or expires sooner, after three missed heartbeats and the delay of discovery.
inline constexpr core::duration interruption_lifetime = std::chrono::seconds(8);

// Records that a connection to the endpoint could not be opened or ended without a response. The endpoint may
// have ended.
void record_interruption(endpoint& target, core::instant now);

// Records a response to a request that was sent at the given time, over a connection opened at the other one.
// cold_duration is how long the endpoint is cold after a start.
void record_response(endpoint& target, core::instant connection_opened, core::instant sent,
                     core::duration cold_duration);

// Returns whether the endpoint may have ended, and perhaps started anew, without this instance having heard
// of it. is_discovery_current says whether the records that service discovery has announced are up to date.
bool may_have_ended(const endpoint& target, bool is_discovery_current, core::instant now);

} // namespace quetzalspan::placement
