// Implements the choice of an endpoint.

#include "placement/endpoint_choice.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::placement
{

namespace
{

// Returns a number above 0 and at most 1 that depends on both hashes.
double unit_hash(std::uint64_t object, std::uint64_t endpoint_hash)
{
    const std::uint64_t value = core::mix_hash(object ^ (endpoint_hash * 0x9e3779b97f4a7c15U));
    constexpr double steps = 9007199254740992.0; // 2^53
    return (static_cast<double>(value >> 11U) + 1) / steps;
}

// Why an endpoint is passed over; an endpoint with a lower level is always preferred, and a closed one is
// never chosen.
enum class penalty_level { none, full, slow, ejected, closed };

penalty_level penalty_of(endpoint& candidate, const choice_request& request, const fleet_position& fleet,
                         const choice_options& options, core::instant now)
{
    if (candidate.outstanding >= options.outstanding_limit ||
        !allows_cold_send(candidate, request.cold, fleet, now)) {
        return penalty_level::closed;
    }
    if (now < candidate.ejected_until) {
        return penalty_level::ejected;
    }
    if (now < candidate.slow_until) {
        return penalty_level::slow;
    }
    if (candidate.outstanding >= options.spill_limit || now < candidate.busy_until) {
        return penalty_level::full;
    }
    return penalty_level::none;
}

bool is_candidate(const endpoint& entry, const choice_request& request)
{
    if (!may_receive(entry) || !request.is_region_allowed(entry.record.region)) {
        return false;
    }
    return request.tried == nullptr ||
           std::find(request.tried->begin(), request.tried->end(), entry.record.id) == request.tried->end();
}

bool is_due_first_request(const endpoint& entry, const choice_request& request, const fleet_position& fleet,
                          const choice_options& options, core::instant now)
{
    return request.is_repeatable && entry.sent == 0 && entry.outstanding == 0 &&
           now - entry.known_since >= options.first_request_delay && duty_rank(entry.hash, fleet) == 0;
}

} // namespace

choice choose_endpoint(const endpoint_catalog& catalog, const choice_request& request,
                       const fleet_position& fleet, const choice_options& options, core::instant now)
{
    const std::string_view object = request.affinity.empty() ? request.request_id : request.affinity;
    const std::uint64_t object_hash = core::stable_hash(object, core::stable_hash(request.service));
    choice result;
    penalty_level best_penalty = penalty_level::closed;
    double best_score = 0;
    double first_score = 0;
    for (const endpoint_pointer& entry : catalog.find_service(request.service)) {
        if (!is_candidate(*entry, request)) {
            continue;
        }
        ++result.candidates;
        const bool is_own_region = entry->record.region == request.own_region;
        const double region_weight =
            request.region_weight ? request.region_weight(entry->record.region) : 1.0;
        const double weight = (is_own_region ? options.own_region_weight : 1.0) * region_weight;
        const double score = -std::log(unit_hash(object_hash, entry->hash)) / weight;
        first_score = result.candidates == 1 ? score : std::min(first_score, score);
        const penalty_level level = penalty_of(*entry, request, fleet, options, now);
        if (level == penalty_level::closed) {
            continue;
        }
        if (level == penalty_level::none && is_due_first_request(*entry, request, fleet, options, now)) {
            result.target = entry;
            return result;
        }
        const bool is_better =
            !result.target || level < best_penalty || (level == best_penalty && score < best_score);
        if (is_better) {
            result.target = entry;
            best_penalty = level;
            best_score = score;
        }
    }
    result.is_spilled = result.target && best_score > first_score;
    result.fault = result.candidates == 0 ? choice_fault::no_endpoint : choice_fault::all_busy;
    return result;
}

} // namespace quetzalspan::placement
