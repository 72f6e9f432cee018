// An endpoint with what this instance believes about it.

#pragma once

#include "placement/endpoint_record.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace quetzalspan::placement
{

// Guarded by the owner of the catalog.
struct endpoint {
    endpoint_record record;
    // Rendezvous hash of the id, so that the request path hashes only the object.
    std::uint64_t hash = 0;

    // When the present incarnation became known.
    core::instant known_since;
    // When its record was found missing; it stops serving once the grace time for absences is over.
    std::optional<core::instant> missing_since;
    // Its zone is being evacuated.
    bool is_evacuated = false;
    // Whether it has left the catalog; requests that run keep the object alive.
    bool is_removed = false;

    // Own requests under way.
    std::uint32_t outstanding = 0;
    // Requests sent to the present incarnation.
    std::uint64_t sent = 0;

    core::instant cold_until;
    // Times of the requests sent while cold, at most as many as the share allows.
    std::deque<core::instant> cold_sends;

    // Failures in a row.
    std::uint32_t failures = 0;
    // Moving average of failures, from 0 to 1, and its number of samples.
    double failure_rate = 0;
    std::uint32_t samples = 0;
    // Until then no request goes to it, unless every other endpoint is worse.
    core::instant ejected_until;
    // Ejections without a success between them; lengthens the next one.
    std::uint32_t ejections = 0;
    // When the last usable response was received.
    core::instant answered;
    // Moving average of the time to the response's header; zero before the first.
    core::duration latency{0};
    // Until then it is passed over because it is much slower than the others of its service.
    core::instant slow_until;
    // Until then it is passed over because it rejected a request.
    core::instant busy_until;
};

} // namespace quetzalspan::placement
