// Chooses an endpoint by the power of two choices, with the trial of half-open endpoints and the fallbacks of
// the last resort.

#include "steering/endpoint_selector.h"

#include <utility>

namespace quetzalspan::steering
{

namespace
{

// Returns whether the left endpoint is the better choice. Outstanding requests are divided by the weight, so
// an endpoint in its slow start counts as busier than a warm one with as many requests.
bool is_better(const snapshot& current, const region_candidates::candidate& left,
               const region_candidates::candidate& right, core::instant now)
{
    const endpoint_state& left_state = *current.endpoints()[left.index].state;
    const endpoint_state& right_state = *current.endpoints()[right.index].state;
    const float left_weighted_requests = static_cast<float>(left_state.outstanding() + 1) / left.weight;
    const float right_weighted_requests = static_cast<float>(right_state.outstanding() + 1) / right.weight;
    if (left_weighted_requests != right_weighted_requests) {
        return left_weighted_requests < right_weighted_requests;
    }
    return left_state.load_score(now) < right_state.load_score(now);
}

} // namespace

std::optional<chosen_endpoint> endpoint_selector::choose(const snapshot& current,
                                                         region_candidates& candidates, selection_mode mode,
                                                         core::instant now) const
{
    if (mode == selection_mode::normal) {
        const std::optional<chosen_endpoint> trial = choose_half_open(current, candidates, now);
        if (trial) {
            return trial;
        }
    }
    std::optional<endpoint_index> index = choose_among(current, candidates.in_service(), now);
    if (!index && mode == selection_mode::last_resort) {
        index = choose_among(current, candidates.at_slow_start_limit(), now);
    }
    if (!index && mode == selection_mode::last_resort) {
        index = choose_among(current, candidates.excess_ejected(), now);
    }
    if (!index) {
        return std::nullopt;
    }
    return chosen_endpoint{*index, current.endpoints()[*index].state->begin_request(now)};
}

void endpoint_selector::release_endpoint(const snapshot& current, const chosen_endpoint& chosen,
                                         core::instant now) const
{
    current.endpoints()[chosen.index].state->end_request(chosen.ticket, request_result::cancelled, now);
    m_hooks.release_permit(chosen.index);
}

std::optional<chosen_endpoint> endpoint_selector::choose_half_open(const snapshot& current,
                                                                   const region_candidates& candidates,
                                                                   core::instant now) const
{
    const std::optional<endpoint_index> index = candidates.half_open();
    if (!index || !m_hooks.try_take_permit(*index)) {
        return std::nullopt;
    }
    chosen_endpoint chosen{*index, {}};
    if (!current.endpoints()[*index].state->try_begin_trial(now, chosen.ticket)) {
        // Another thread began the trial request after the candidates were collected.
        m_hooks.release_permit(*index);
        return std::nullopt;
    }
    return chosen;
}

std::optional<endpoint_index> endpoint_selector::choose_among(const snapshot& current,
                                                              region_candidates::candidate_list& list,
                                                              core::instant now) const
{
    while (const std::optional<std::uint32_t> first = draw_candidate(list, std::nullopt)) {
        const region_candidates::candidate first_candidate = list.entries[*first];
        const std::optional<std::uint32_t> second = draw_candidate(list, first);
        std::uint32_t position = *first;
        if (second) {
            const region_candidates::candidate& other = list.entries[*second];
            // Drawing the second candidate can have removed others and thereby moved the first one.
            for (position = 0; list.entries[position].index != first_candidate.index;) {
                ++position;
            }
            if (is_better(current, other, first_candidate, now)) {
                position = *second;
            }
        } else {
            position = 0;
        }
        const endpoint_index index = list.entries[position].index;
        if (m_hooks.try_take_permit(index)) {
            return index;
        }
        list.remove(position);
    }
    return std::nullopt;
}

std::optional<std::uint32_t> endpoint_selector::draw_candidate(region_candidates::candidate_list& list,
                                                               std::optional<std::uint32_t> skipped) const
{
    std::optional<endpoint_index> skipped_index;
    if (skipped) {
        skipped_index = list.entries[*skipped].index;
    }
    while (true) {
        float total = 0;
        for (std::uint32_t position = 0; position < list.count; ++position) {
            if (list.entries[position].index != skipped_index) {
                total += list.entries[position].weight;
            }
        }
        if (total <= 0) {
            return std::nullopt;
        }
        constexpr float scale = 1.0F / static_cast<float>(1U << 24U);
        float target = static_cast<float>(m_hooks.random() >> 40U) * scale * total;
        std::optional<std::uint32_t> drawn;
        for (std::uint32_t position = 0; position < list.count; ++position) {
            if (list.entries[position].index == skipped_index) {
                continue;
            }
            drawn = position;
            target -= list.entries[position].weight;
            if (target < 0) {
                break;
            }
        }
        if (m_hooks.is_permit_free(list.entries[*drawn].index)) {
            return drawn;
        }
        list.remove(*drawn);
    }
}

} // namespace quetzalspan::steering
