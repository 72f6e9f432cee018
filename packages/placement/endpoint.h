// Defines an endpoint with this instance's view of its state: its record from discovery, requests in flight,
// health and load.

#pragma once

#include "placement/endpoint_record.h"
#include "placement/load_report.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <vector>

namespace quetzalspan::placement
{

// Not thread-safe; the owner of the endpoint_catalog synchronizes access.
struct endpoint {
    endpoint_record record;
    // The hash of the id for rendezvous hashing. It is stored so that a request has to hash only its object.
    std::uint64_t id_hash = 0;

    // When this instance first received a record of the current incarnation.
    core::instant known_since;
    // Whether its record is missing. The endpoint is removed from the catalog after the grace period for
    // missing records; until then it may receive requests.
    bool is_missing = false;
    // Whether it has said in a response that it is leaving. Holds until it starts anew.
    bool is_leaving = false;
    // Whether its availability zone is being evacuated.
    bool is_evacuated = false;
    // Whether it was removed from the catalog. Requests in flight keep the object alive after that.
    bool is_removed = false;

    // Requests of this instance that are in flight.
    std::uint32_t outstanding_requests = 0;
    // Requests that this instance sent to the current incarnation.
    std::uint64_t sent_requests = 0;

    core::instant cold_until;
    // Times at which this instance sent requests to the id, also to former incarnations, within the last
    // cold_window.
    std::deque<core::instant> recent_send_times;
    // Those of them that were not over a connection known to go to the confirmed or a warm incarnation.
    std::deque<core::instant> unconfirmed_send_times;
    // For each request in flight that has a connection, when that was opened.
    std::vector<core::instant> used_connections;

    // The incarnation that ran at this time is that of the record, or was warm. A connection that was opened
    // before and still works goes to it.
    core::instant confirmed_at;
    // When a connection to it last failed in a way that its end would explain; no value if none has.
    std::optional<core::instant> interrupted_at;

    // Failures since the last success or ejection.
    std::uint32_t consecutive_failures = 0;
    // The moving average of failures, from 0 to 1, and its number of samples.
    double failure_rate = 0;
    std::uint32_t failure_rate_samples = 0;
    // Until this time it receives no requests unless every other endpoint is ejected or unavailable too.
    core::instant ejected_until;
    // Ejections since the last success. Each one doubles the duration of the next, up to a limit.
    std::uint32_t consecutive_ejections = 0;
    // When the last successful response was received.
    core::instant last_success_at;
    // The moving average of the time to the header of successful responses; zero before the first response.
    core::duration average_latency{0};
    // Until this time other endpoints are preferred because it is much slower than the others of its service.
    core::instant slow_until;
    // The newest load report, from a response to this instance or from another instance, and when the
    // endpoint sent it; no value before the first.
    std::optional<load_report> reported_load;
    core::instant load_reported_at;
    // Whether the newest report is from a response to this instance that the others have not been told of.
    bool is_load_unshared = false;
    // Whether the others were last told that the endpoint is busy or slow.
    bool is_shared_as_busy = false;
    // Until this time it receives no request, because it asked for that when it turned one away.
    core::instant waits_until;
    // The requests per second that it takes from all instances together, as its last response says; infinity
    // if that names no limit.
    double rate_limit = std::numeric_limits<double>::infinity();
    // Until this time the granter of its tokens, or this instance's share of the rate, has none left.
    core::instant token_expected_at;
    // The tokens left in this instance's share of the rate, and when they were counted; no time while the
    // granter answers.
    double share_tokens = 0;
    std::optional<core::instant> share_updated_at;
    // Until this time other endpoints are preferred because it rejected a request.
    core::instant busy_until;
};

} // namespace quetzalspan::placement
