// The input, the hooks and the result of the selection of a region and an endpoint.

#pragma once

#include "core/name_table.h"
#include "steering/endpoint_state.h"
#include "steering/snapshot_indexes.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace quetzalspan::steering
{

// Whether the request stays in the region of the instance, and if not, why it leaves it.
enum class selection_kind { local, planned_shift, emergency_shift };

inline constexpr core::name_table selection_kind_names{std::array<core::named_value<selection_kind>, 3>{{
    {selection_kind::local, "local"},
    {selection_kind::planned_shift, "planned-shift"},
    {selection_kind::emergency_shift, "emergency-shift"},
}}};

// Why no endpoint was selected. The request has not been executed. The values are in the order of how far an
// attempt came; if several apply, the highest is reported.
enum class rejection_reason {
    none,
    // No endpoint of the service in any region may receive this request: each is draining, ejected, or
    // already tried by it.
    no_endpoint,
    // No endpoint that may receive the request has a free permit.
    no_permit,
    // A region has endpoints that may receive the request, but its slow start does not admit it yet.
    region_in_slow_start,
    // Another region has a free permit, but the cap on requests shifted between the two regions is used up.
    shift_cap,
    // The same for the cap on bytes over the link between the two regions.
    link_cap,
};

inline constexpr core::name_table rejection_reason_names{std::array<core::named_value<rejection_reason>, 6>{{
    {rejection_reason::none, "none"},
    {rejection_reason::no_endpoint, "no-endpoint"},
    {rejection_reason::no_permit, "no-permit"},
    {rejection_reason::region_in_slow_start, "region-warming"},
    {rejection_reason::shift_cap, "shift-cap"},
    {rejection_reason::link_cap, "link-cap"},
}}};

struct steering_request {
    service_index service = 0;
    std::string_view request_id;
    // Regions of the caller's site in order of preference; empty if the site is unknown.
    std::span<const region_index> preferred_regions;
    // Endpoints that this request has already been sent to. They are identified by their states rather than
    // by indexes, since a retry can use a later snapshot with other indexes.
    std::span<const endpoint_state* const> excluded_endpoints;
    // Whether the request may be the trial request of a half-open endpoint; false for requests that must not
    // be repeated.
    bool may_be_trial = true;
    // Whether the request may go to another region although the local one is only busy: false while its
    // deadline leaves time to wait for a local permit. The request may leave the local region in any case if
    // all endpoints there are ejected, the region is drained or in its slow start, or it lacks the service.
    bool may_leave_busy_region = true;
    // Expected bytes of the request and its response on a link between regions.
    std::uint64_t expected_bytes = 0;
};

// Permits, caps and random numbers that a selection uses. Each function must be set; none is called under a
// lock.
struct selection_hooks {
    // Returns whether try_take_permit would probably succeed.
    std::function<bool(endpoint_index)> is_permit_free;
    // Takes a permit to send one request to the endpoint; returns false if none is free.
    std::function<bool(endpoint_index)> try_take_permit;
    std::function<void(endpoint_index)> release_permit;
    // Takes one request from the cap on requests shifted between two regions; returns false if it is used up.
    std::function<bool(region_index from, region_index to)> try_take_shift_token;
    // Gives back what try_take_shift_token took, for a request that is refused later in the same selection.
    std::function<void(region_index from, region_index to)> return_shift_token;
    // Takes bytes from the cap of the link between two regions; returns false if it is used up.
    std::function<bool(region_index from, region_index to, std::uint64_t bytes)> try_take_link_bytes;
    // Returns 64 uniformly distributed random bits.
    std::function<std::uint64_t()> random;
};

// The result of a selection. If an endpoint was selected, the caller holds its permit and must call
// end_request() of the state with the ticket. Otherwise the reason says why, and nothing is held.
struct selection {
    std::optional<endpoint_index> endpoint;
    std::shared_ptr<endpoint_state> state;
    request_ticket ticket;
    selection_kind kind = selection_kind::local;
    region_index from_region = 0;
    region_index to_region = 0;
    rejection_reason reason = rejection_reason::none;
};

} // namespace quetzalspan::steering
