// Selects the region and the endpoint that serve a request.

#pragma once

#include "core/time.h"
#include "steering/endpoint_selector.h"
#include "steering/selection.h"
#include "steering/snapshot.h"

namespace quetzalspan::steering
{

// Tries regions in this order:
// 1. the target of a planned shift, for the requests that the schedule moves;
// 2. the region of the instance;
// 3. the other regions, unless the region of the instance is only busy and the request may still wait for a
//    permit there. The regions that the site of the caller prefers come first in its order, then the rest by
//    name. Regions whose endpoints are presumed down by health probes come after all others;
// 4. the region of the instance as a last resort: endpoints in their slow start without regard to the ramp of
//    the region, and ejected endpoints beyond the largest number that ejection may remove.
// Drained regions are left out throughout. Every request that leaves the region, whether by a planned shift
// or not, is counted against the shift cap and the link cap of the two regions.
//
// Takes no lock and allocates nothing.
class region_selector
{
public:
    // The hooks must outlive the selector.
    explicit region_selector(const selection_hooks& hooks) : m_hooks(hooks), m_endpoints(hooks) {}

    // Selects an endpoint, takes its permit and begins the request there. Returns a selection without an
    // endpoint and with the rejection reason if there is none; then nothing is held.
    selection select(const snapshot& current, const steering_request& request, core::instant now,
                     core::wall_time wall_now) const;

private:
    struct selection_context;

    // The try_ functions return whether an endpoint was selected. Otherwise nothing is held, and those that
    // found candidates have added the reason to the result.
    bool try_planned_shift(selection_context& context) const;
    bool try_local(selection_context& context, region_candidates& candidates) const;
    // Returns whether the region of the instance is only busy and the request may not leave it yet.
    static bool must_wait_for_permit(const selection_context& context, const region_candidates& candidates);
    bool try_other_regions(selection_context& context) const;
    // Tries either only regions that are presumed down or only the others.
    bool try_other_regions(selection_context& context, bool is_presumed_down) const;
    bool try_last_resort(selection_context& context, region_candidates& candidates) const;
    bool try_region(selection_context& context, region_index region, selection_kind kind) const;
    // Takes the request from the shift cap and its expected bytes from the link cap. If either refuses, adds
    // the reason, holds nothing and returns false.
    bool try_take_caps(selection_context& context, region_index region) const;
    // Writes the chosen endpoint to the result. Always returns true.
    bool accept(selection_context& context, const chosen_endpoint& chosen, region_index region,
                selection_kind kind) const;

    const selection_hooks& m_hooks;
    endpoint_selector m_endpoints;
};

} // namespace quetzalspan::steering
