// Tries the regions in order, with the checks of drains, slow start and caps, and records why none could
// serve the request.

#include "steering/region_selector.h"

#include <algorithm>

namespace quetzalspan::steering
{

namespace
{

// Salts of the decisions that are derived from the request identifier, so that they are independent of each
// other.
constexpr std::uint64_t shift_salt = 1;
constexpr std::uint64_t slow_start_salt = 2;

} // namespace

// The inputs of one selection, what its attempts have found so far, and its result.
struct region_selector::selection_context {
    const snapshot& current;
    const steering_request& request;
    core::instant now;
    core::wall_time wall_now;
    // The target of a planned shift that was tried first and is not tried again.
    std::optional<region_index> tried_region;
    // Regions whose endpoints are presumed down are tried in a second pass, after all others: whether there
    // is such a region, and whether the second pass is running.
    bool is_any_presumed_down = false;
    bool is_presumed_down_pass = false;
    selection result;

    // Keeps the reason of the attempt that came furthest. The values of rejection_reason are ordered by that.
    void add_rejection_reason(rejection_reason reason) { result.reason = std::max(result.reason, reason); }

    // Returns whether the slow start of the region withholds this request, by its position among all
    // requests.
    bool is_held_back_by_slow_start(const region_candidates& candidates) const
    {
        return candidates.ramp() < 1 &&
               hash_to_unit_interval(request.request_id, slow_start_salt) >= candidates.ramp();
    }
};

selection region_selector::select(const snapshot& current, const steering_request& request, core::instant now,
                                  core::wall_time wall_now) const
{
    selection_context context{current, request, now, wall_now, std::nullopt, false, false, {}};
    const region_index own = current.own_region();
    context.result.from_region = own;
    context.result.to_region = own;
    context.add_rejection_reason(rejection_reason::no_endpoint);
    if (try_planned_shift(context)) {
        return std::move(context.result);
    }
    if (current.regions()[own].is_drained) {
        try_other_regions(context);
        return std::move(context.result);
    }
    region_candidates candidates(current, request, own, m_hooks.random(), now);
    if (!try_local(context, candidates) && !must_wait_for_permit(context, candidates) &&
        !try_other_regions(context)) {
        try_last_resort(context, candidates);
    }
    return std::move(context.result);
}

bool region_selector::try_planned_shift(selection_context& context) const
{
    const shift_schedule& shifts = context.current.services()[context.request.service].shifts;
    if (shifts.is_empty()) {
        return false;
    }
    const double position = hash_to_unit_interval(context.request.request_id, shift_salt);
    const std::optional<region_index> target = shifts.find_target_region(position, context.wall_now);
    if (!target || *target == context.current.own_region() || context.current.regions()[*target].is_drained) {
        return false;
    }
    context.tried_region = target;
    return try_region(context, *target, selection_kind::planned_shift);
}

bool region_selector::try_local(selection_context& context, region_candidates& candidates) const
{
    if (candidates.is_empty()) {
        return false;
    }
    if (context.is_held_back_by_slow_start(candidates)) {
        context.add_rejection_reason(rejection_reason::region_in_slow_start);
        return false;
    }
    const std::optional<chosen_endpoint> chosen =
        m_endpoints.choose(context.current, candidates, selection_mode::normal, context.now);
    if (!chosen) {
        context.add_rejection_reason(rejection_reason::no_permit);
        return false;
    }
    return accept(context, *chosen, context.current.own_region(), selection_kind::local);
}

bool region_selector::must_wait_for_permit(const selection_context& context,
                                           const region_candidates& candidates)
{
    const bool is_only_busy = !candidates.is_empty() && !candidates.is_fully_ejected() &&
                              !context.is_held_back_by_slow_start(candidates);
    return is_only_busy && !context.request.may_leave_busy_region;
}

bool region_selector::try_other_regions(selection_context& context) const
{
    if (try_other_regions(context, false)) {
        return true;
    }
    return context.is_any_presumed_down && try_other_regions(context, true);
}

bool region_selector::try_other_regions(selection_context& context, bool is_presumed_down) const
{
    context.is_presumed_down_pass = is_presumed_down;
    const auto is_eligible = [&context](region_index region) {
        return region != context.current.own_region() && region != context.tried_region &&
               !context.current.regions()[region].is_drained;
    };
    const std::span<const region_index> preferred = context.request.preferred_regions;
    for (const region_index region : preferred) {
        if (is_eligible(region) && try_region(context, region, selection_kind::emergency_shift)) {
            return true;
        }
    }
    for (region_index region = 0; region < context.current.regions().size(); ++region) {
        const bool is_preferred = std::find(preferred.begin(), preferred.end(), region) != preferred.end();
        if (!is_preferred && is_eligible(region) &&
            try_region(context, region, selection_kind::emergency_shift)) {
            return true;
        }
    }
    return false;
}

bool region_selector::try_last_resort(selection_context& context, region_candidates& candidates) const
{
    const std::optional<chosen_endpoint> chosen =
        m_endpoints.choose(context.current, candidates, selection_mode::last_resort, context.now);
    return chosen && accept(context, *chosen, context.current.own_region(), selection_kind::local);
}

bool region_selector::try_region(selection_context& context, region_index region, selection_kind kind) const
{
    region_candidates candidates(context.current, context.request, region, m_hooks.random(), context.now);
    if (candidates.is_empty() || (candidates.is_fully_ejected() && !candidates.half_open())) {
        return false;
    }
    context.is_any_presumed_down = context.is_any_presumed_down || candidates.is_presumed_down();
    if (candidates.is_presumed_down() != context.is_presumed_down_pass) {
        return false;
    }
    if (context.is_held_back_by_slow_start(candidates)) {
        context.add_rejection_reason(rejection_reason::region_in_slow_start);
        return false;
    }
    const std::optional<chosen_endpoint> chosen =
        m_endpoints.choose(context.current, candidates, selection_mode::normal, context.now);
    if (!chosen) {
        context.add_rejection_reason(rejection_reason::no_permit);
        return false;
    }
    if (!try_take_caps(context, region)) {
        m_endpoints.release_endpoint(context.current, *chosen, context.now);
        return false;
    }
    return accept(context, *chosen, region, kind);
}

bool region_selector::try_take_caps(selection_context& context, region_index region) const
{
    const region_index own = context.current.own_region();
    if (!m_hooks.try_take_shift_token(own, region)) {
        context.add_rejection_reason(rejection_reason::shift_cap);
        return false;
    }
    if (!m_hooks.try_take_link_bytes(own, region, context.request.expected_bytes)) {
        m_hooks.return_shift_token(own, region);
        context.add_rejection_reason(rejection_reason::link_cap);
        return false;
    }
    return true;
}

bool region_selector::accept(selection_context& context, const chosen_endpoint& chosen, region_index region,
                             selection_kind kind) const
{
    context.result.endpoint = chosen.index;
    context.result.state = context.current.endpoints()[chosen.index].state;
    context.result.ticket = chosen.ticket;
    context.result.kind = kind;
    context.result.to_region = region;
    context.result.reason = rejection_reason::none;
    return true;
}

} // namespace quetzalspan::steering
