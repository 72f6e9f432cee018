// The endpoints of a service in one region, classified by whether they may receive a given request.

#pragma once

#include "core/time.h"
#include "steering/selection.h"
#include "steering/snapshot.h"

#include <array>
#include <cstdint>
#include <optional>

namespace quetzalspan::steering
{

// Holds the candidates of a single decision. It lives on the stack and allocates nothing, so its size is
// fixed. If the region has more than `capacity` endpoints of the service, it covers that many from a random
// start.
class region_candidates
{
public:
    static constexpr std::uint32_t capacity = 128;

    // Has no initial values, since filling the lists would take longer than collecting the candidates.
    struct candidate {
        endpoint_index index;
        // Relative probability of being drawn: the ramp of the slow start, lowered for endpoints that are
        // presumed down.
        float weight;
    };

    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
    struct candidate_list {
        std::array<candidate, capacity> entries;
        std::uint32_t count = 0;

        // The list must not be full.
        void add(const candidate& entry);
        // Moves the last entry to the position of the removed one.
        void remove(std::uint32_t position);
    };

    // Collects the candidates of the region. The random number is the start in a region with more endpoints
    // than `capacity`.
    region_candidates(const snapshot& current, const steering_request& request, region_index region,
                      std::uint64_t random, core::instant now);

    // Returns whether no endpoint may receive this request, not even as a last resort or after a wait for a
    // slot.
    bool is_empty() const
    {
        return !m_is_any_busy && m_in_service.count == 0 && m_at_slow_start_limit.count == 0 &&
               m_excess_ejected.count == 0 && !m_half_open;
    }
    // Returns whether the region has endpoints that are not draining and all of them are ejected.
    bool is_fully_ejected() const { return m_endpoint_count > 0 && m_ejected_count == m_endpoint_count; }
    // Returns the share of requests, from 0 to 1, that the region as a whole should receive. It is below 1
    // while all endpoints in service are in their slow start.
    double ramp() const { return m_ramp; }

    // Returns whether health probes presume every endpoint in service down. Regions for which this holds are
    // tried after the others.
    bool is_presumed_down() const
    {
        return m_presumed_down_count > 0 && m_presumed_down_count + m_ejected_count == m_endpoint_count;
    }

    candidate_list& in_service() { return m_in_service; }
    // Returns the endpoints in service that have reached the concurrency limit of their slow start and still
    // have free slots. They are used before a request is rejected: an answer from cold caches is better than
    // none, and the slots bound the load.
    candidate_list& at_slow_start_limit() { return m_at_slow_start_limit; }
    // Returns the ejected endpoints beyond half of the region. Ejecting them too would remove too much
    // capacity, so they serve as the last resort. Each receives one request at a time, since requests at an
    // endpoint that hangs end late and with an unknown outcome while a rejection is immediate. The first
    // success returns the endpoint to service.
    candidate_list& excess_ejected() { return m_excess_ejected; }
    // Returns the endpoint whose back-off has ended and that may receive this request as its trial request.
    std::optional<endpoint_index> half_open() const { return m_half_open; }

private:
    struct ejected_endpoint {
        std::int64_t ejected_at_ns;
        endpoint_index index;
        // The endpoint has no outstanding request of this instance and is not excluded by the request.
        bool may_receive_request;
    };

    // Fills the list of ejected endpoints beyond half of the region. Reorders the given array.
    void collect_excess_ejected(std::array<ejected_endpoint, capacity>& ejected);

    candidate_list m_in_service;
    candidate_list m_at_slow_start_limit;
    candidate_list m_excess_ejected;
    std::optional<endpoint_index> m_half_open;
    // Endpoints that are not draining.
    std::uint32_t m_endpoint_count = 0;
    // Endpoints that are not draining and are ejected, half-open or under trial.
    std::uint32_t m_ejected_count = 0;
    // Endpoints in service that are presumed down.
    std::uint32_t m_presumed_down_count = 0;
    double m_ramp = 1;
    // An endpoint in service has all its slots taken by requests of this instance alone.
    bool m_is_any_busy = false;
};

} // namespace quetzalspan::steering
