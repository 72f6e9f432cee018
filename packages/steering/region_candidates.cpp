// Classifies the endpoints of a region by drain, ejection, slow start and free slots.

#include "steering/region_candidates.h"

#include <algorithm>

namespace quetzalspan::steering
{

void region_candidates::candidate_list::add(const candidate& entry)
{
    entries[count] = entry;
    ++count;
}

void region_candidates::candidate_list::remove(std::uint32_t position)
{
    --count;
    entries[position] = entries[count];
}

region_candidates::region_candidates(const snapshot& current, const steering_request& request,
                                     region_index region, std::uint64_t random, core::instant now)
{
    const endpoint_range range = current.services()[request.service].endpoint_ranges[region];
    const std::uint32_t covered_count = std::min(range.size(), capacity);
    const std::uint32_t start =
        range.size() > capacity ? static_cast<std::uint32_t>(random % range.size()) : 0;
    // Has no initial values, since filling it with zeros would take longer than collecting the candidates.
    std::array<ejected_endpoint, capacity> ejected; // NOLINT(cppcoreguidelines-pro-type-member-init)
    double best_ramp = 0;
    for (std::uint32_t offset = 0; offset < covered_count; ++offset) {
        const endpoint_index index = range.begin + (start + offset) % range.size();
        const compiled_endpoint& endpoint = current.endpoints()[index];
        const endpoint_state& state = *endpoint.state;
        if (endpoint.is_draining || state.is_draining(now)) {
            continue;
        }
        ++m_endpoint_count;
        const bool is_excluded =
            std::find(request.excluded_endpoints.begin(), request.excluded_endpoints.end(), &state) !=
            request.excluded_endpoints.end();
        const ejection_phase phase = state.phase(now);
        if (phase != ejection_phase::in_service) {
            ejected[m_ejected_count] = {state.ejected_at().time_since_epoch().count(), index,
                                        !is_excluded && state.outstanding() == 0};
            ++m_ejected_count;
            if (phase == ejection_phase::half_open && !is_excluded && request.may_be_trial && !m_half_open) {
                m_half_open = index;
            }
            continue;
        }
        const double ramp = state.slow_start_ramp(now);
        best_ramp = std::max(best_ramp, ramp);
        const bool is_presumed_down = state.is_presumed_down(now);
        m_presumed_down_count += is_presumed_down ? 1 : 0;
        if (is_excluded) {
            continue;
        }
        if (state.outstanding() < state.concurrency_limit(endpoint.slots, now)) {
            const double weight = is_presumed_down ? endpoint_state::min_ramp : ramp;
            m_in_service.add({index, static_cast<float>(weight)});
        } else if (state.outstanding() < endpoint.slots) {
            m_at_slow_start_limit.add({index, static_cast<float>(ramp)});
        } else {
            m_is_any_busy = true;
        }
    }
    m_ramp = m_ejected_count == m_endpoint_count ? 1 : best_ramp;
    collect_excess_ejected(ejected);
}

void region_candidates::collect_excess_ejected(std::array<ejected_endpoint, capacity>& ejected)
{
    const std::uint32_t max_ejected = m_endpoint_count / 2;
    if (m_ejected_count <= max_ejected) {
        return;
    }
    // The endpoints that were ejected first stay ejected, so that the choice does not change from request to
    // request.
    std::nth_element(ejected.begin(), ejected.begin() + max_ejected, ejected.begin() + m_ejected_count,
                     [](const ejected_endpoint& left, const ejected_endpoint& right) {
                         return std::pair(left.ejected_at_ns, left.index) <
                                std::pair(right.ejected_at_ns, right.index);
                     });
    for (std::uint32_t position = max_ejected; position < m_ejected_count; ++position) {
        if (ejected[position].may_receive_request) {
            m_excess_ejected.add({ejected[position].index, 1});
        }
    }
}

} // namespace quetzalspan::steering
