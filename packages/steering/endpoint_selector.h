// Load balancing within one region: chooses one endpoint of a service among the candidates of that region.

#pragma once

#include "core/time.h"
#include "steering/region_candidates.h"
#include "steering/selection.h"
#include "steering/snapshot.h"

#include <optional>

namespace quetzalspan::steering
{

enum class selection_mode {
    // Considers endpoints in service, and one half-open endpoint for a trial request.
    normal,
    // Considers endpoints in service, then endpoints at the limit of their slow start, then ejected endpoints
    // beyond the largest number that ejection may remove. Begins no trial request.
    last_resort,
};

// An endpoint whose permit has been taken and where the request counts as outstanding.
struct chosen_endpoint {
    endpoint_index index = 0;
    request_ticket ticket;
};

// Draws two random candidates with a free permit ("power of two choices") and takes the one with fewer
// outstanding requests of this instance relative to its weight, and among equals the one with the lower load
// score. Comparing all candidates instead would send the requests of every instance to the same endpoint
// while load reports lag.
//
// Takes no lock and allocates nothing.
class endpoint_selector
{
public:
    // The hooks must outlive the selector.
    explicit endpoint_selector(const selection_hooks& hooks) : m_hooks(hooks) {}

    // Takes the permit of one of the candidates and begins the request there. Returns nothing if no candidate
    // that the mode allows has a free permit. Removes candidates that turn out to have no free permit.
    std::optional<chosen_endpoint> choose(const snapshot& current, region_candidates& candidates,
                                          selection_mode mode, core::instant now) const;

    // Undoes choose() for a request that is not sent: ends the request as cancelled and releases the permit.
    void release_endpoint(const snapshot& current, const chosen_endpoint& chosen, core::instant now) const;

private:
    // Begins the trial request of the half-open candidate, if there is one with a free permit.
    std::optional<chosen_endpoint>
    choose_half_open(const snapshot& current, const region_candidates& candidates, core::instant now) const;
    // Takes the permit of the better of two randomly drawn candidates of the list, and draws again while the
    // permit of the better one is not free.
    std::optional<endpoint_index>
    choose_among(const snapshot& current, region_candidates::candidate_list& list, core::instant now) const;
    // Returns the position of a candidate with a free permit, drawn with a probability in proportion to its
    // weight, or nothing if no candidate is left. Does not draw the candidate at the skipped position.
    // Removes drawn candidates without a free permit from the list.
    std::optional<std::uint32_t> draw_candidate(region_candidates::candidate_list& list,
                                                std::optional<std::uint32_t> skipped) const;

    const selection_hooks& m_hooks;
};

} // namespace quetzalspan::steering
