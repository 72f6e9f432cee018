// Ranks the endpoints of a service for a request by penalty and weighted rendezvous hashing.

#include "placement/endpoint_selection.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace quetzalspan::placement
{

namespace
{

// Returns a number above 0 and at most 1, derived from both hashes.
double hash_to_unit_interval(std::uint64_t object_hash, std::uint64_t endpoint_hash)
{
    const std::uint64_t value = core::mix_hash(object_hash ^ (endpoint_hash * 0x9e3779b97f4a7c15U));
    constexpr double value_count = 9007199254740992.0; // 2^53
    return (static_cast<double>(value >> 11U) + 1) / value_count;
}

// Why other endpoints are preferred to an endpoint. An endpoint with a lower level is always preferred to one
// with a higher level, and an unavailable one is never selected.
enum class penalty_level { none, busy, full, slow, ejected, unavailable };

// Returns the requests that wait at the endpoint for each of its slots, as it has recently reported them; 0
// if it has not.
double waiting_per_slot(const endpoint& candidate, const endpoint_selection_options& options,
                        core::instant now)
{
    if (!candidate.reported_load || now - candidate.load_reported_at > options.load_report_lifetime) {
        return 0;
    }
    return static_cast<double>(candidate.reported_load->waiting) /
           static_cast<double>(candidate.reported_load->slots);
}

penalty_level compute_penalty(endpoint& candidate, const endpoint_selection_request& request,
                              const fleet_view& fleet, const endpoint_selection_options& options,
                              core::instant now)
{
    const send_permission permission = find_send_permission(candidate, request.cold, fleet, now);
    if (!permission.is_granted ||
        (permission.opened_until && !(request.has_idle_connection &&
                                      request.has_idle_connection(candidate, *permission.opened_until)))) {
        return penalty_level::unavailable;
    }
    if (now < candidate.ejected_until) {
        return penalty_level::ejected;
    }
    if (now < candidate.slow_until) {
        return penalty_level::slow;
    }
    const double waiting = waiting_per_slot(candidate, options, now);
    if (candidate.outstanding_requests >= options.max_outstanding || waiting > options.max_waiting_per_slot) {
        return penalty_level::full;
    }
    if (candidate.outstanding_requests >= options.spill_threshold || now < candidate.busy_until ||
        waiting > options.spill_waiting_per_slot) {
        return penalty_level::busy;
    }
    return penalty_level::none;
}

// Returns the time until the endpoint wants a request again; not above zero if it takes one now.
core::duration compute_wait(const endpoint& candidate, core::instant now)
{
    const core::duration token_wait =
        is_rate_limited(candidate) ? candidate.token_expected_at - now : core::duration(0);
    return std::max(candidate.waits_until - now, token_wait);
}

bool is_candidate(const endpoint& entry, const endpoint_selection_request& request)
{
    if (!may_receive(entry) || !request.is_region_allowed(entry.record.region)) {
        return false;
    }
    return request.tried_endpoint_ids == nullptr ||
           std::find(request.tried_endpoint_ids->begin(), request.tried_endpoint_ids->end(),
                     entry.record.id) == request.tried_endpoint_ids->end();
}

// Returns whether the endpoint has received no request for so long that this instance should send it one.
// Only the instance that ranks first for the endpoint does so, and only with a repeatable request.
bool is_first_request_due(const endpoint& entry, const endpoint_selection_request& request,
                          const fleet_view& fleet, const endpoint_selection_options& options,
                          core::instant now)
{
    return request.is_repeatable && entry.sent_requests == 0 && entry.outstanding_requests == 0 &&
           now - entry.known_since >= options.first_request_delay &&
           rendezvous_rank(entry.id_hash, fleet) == 0;
}

struct scored_endpoint {
    const endpoint_pointer* entry = nullptr;
    penalty_level level = penalty_level::unavailable;
    // The lower the score, the earlier the endpoint is in the order of the object.
    double score = 0;
};

bool is_preferred(const scored_endpoint& left, const scored_endpoint& right)
{
    return left.level != right.level ? left.level < right.level : left.score < right.score;
}

// Returns the endpoint to use, or one without an entry if none may be used. Only the first endpoints in the
// order of the object may serve it while they are busy; those that are failing are used if no other is left.
scored_endpoint choose(std::vector<scored_endpoint>& usable, std::size_t max_choices)
{
    const std::vector<scored_endpoint>::iterator failing =
        std::partition(usable.begin(), usable.end(),
                       [](const scored_endpoint& entry) { return entry.level <= penalty_level::full; });
    if (failing == usable.begin()) {
        const std::vector<scored_endpoint>::iterator best =
            std::min_element(usable.begin(), usable.end(), is_preferred);
        return best == usable.end() ? scored_endpoint() : *best;
    }
    const std::size_t healthy = static_cast<std::size_t>(failing - usable.begin());
    const std::ptrdiff_t count = static_cast<std::ptrdiff_t>(std::min(max_choices, healthy));
    std::partial_sort(
        usable.begin(), usable.begin() + count, failing,
        [](const scored_endpoint& left, const scored_endpoint& right) { return left.score < right.score; });
    const scored_endpoint best = *std::min_element(usable.begin(), usable.begin() + count, is_preferred);
    return best.level == penalty_level::full ? scored_endpoint() : best;
}

// Returns the endpoint with the lowest expected time of the first ones in the object's order, or one without
// an entry if all of them are full. Endpoints that are failing are used if no other is left.
scored_endpoint choose_by_expected_time(std::vector<scored_endpoint>& usable, std::size_t max_choices,
                                        const endpoint_selection_request& request,
                                        const endpoint_selection_options& options, core::instant now)
{
    const std::vector<scored_endpoint>::iterator failing =
        std::partition(usable.begin(), usable.end(),
                       [](const scored_endpoint& entry) { return entry.level <= penalty_level::full; });
    if (failing == usable.begin()) {
        return choose(usable, max_choices);
    }
    // A request that concerns no object may go to any endpoint, so full ones do not use up its choices.
    const std::vector<scored_endpoint>::iterator end =
        request.affinity.empty()
            ? std::partition(usable.begin(), failing,
                             [](const scored_endpoint& entry) { return entry.level < penalty_level::full; })
            : failing;
    const std::size_t healthy = static_cast<std::size_t>(end - usable.begin());
    const std::size_t count = std::min(max_choices, healthy);
    std::partial_sort(
        usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(count), end,
        [](const scored_endpoint& left, const scored_endpoint& right) { return left.score < right.score; });
    const double relocation_cost = request.affinity.empty() ? 0 : options.relocation_cost;
    const std::uint64_t request_hash = core::stable_hash(request.request_id);
    scored_endpoint best;
    double best_time = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < count; ++index) {
        const scored_endpoint& candidate = usable[index];
        if (candidate.level == penalty_level::full) {
            continue;
        }
        const endpoint& target = **candidate.entry;
        const double jitter = options.jitter * hash_to_unit_interval(request_hash, target.id_hash);
        const double time = estimate_time(target, options.expected_time, now) * (1 + jitter) +
                            (index == 0 ? 0 : relocation_cost);
        if (time < best_time) {
            best_time = time;
            best = candidate;
        }
    }
    return best;
}

} // namespace

endpoint_selection select_endpoint(const endpoint_catalog& catalog, const endpoint_selection_request& request,
                                   const fleet_view& fleet, const endpoint_selection_options& options,
                                   core::instant now)
{
    const std::string_view object = request.affinity.empty() ? request.request_id : request.affinity;
    const std::uint64_t object_hash = core::stable_hash(object, core::stable_hash(request.service));
    endpoint_selection result;
    // Reused, so that a request allocates no memory here.
    thread_local std::vector<scored_endpoint> usable;
    usable.clear();
    double lowest_score = std::numeric_limits<double>::max();
    std::uint32_t waiting = 0;
    for (const endpoint_pointer& entry : catalog.find_service(request.service)) {
        if (!is_candidate(*entry, request)) {
            continue;
        }
        ++result.candidates;
        const bool is_own_region = entry->record.region == request.own_region;
        const double region_weight =
            request.region_weight ? request.region_weight(entry->record.region) : 1.0;
        const double weight = (is_own_region ? options.own_region_weight : 1.0) * region_weight;
        const double score = -std::log(hash_to_unit_interval(object_hash, entry->id_hash)) / weight;
        lowest_score = std::min(lowest_score, score);
        const core::duration wait = compute_wait(*entry, now);
        if (wait > core::duration(0)) {
            ++waiting;
            result.earliest_wait = std::min(result.earliest_wait.value_or(wait), wait);
            continue;
        }
        if (request.skips_rate_limited && is_rate_limited(*entry)) {
            continue;
        }
        const penalty_level level = compute_penalty(*entry, request, fleet, options, now);
        if (level == penalty_level::none && is_first_request_due(*entry, request, fleet, options, now)) {
            result.target = entry;
            result.earliest_wait.reset();
            return result;
        }
        if (level != penalty_level::unavailable) {
            usable.push_back({&entry, level, score});
        }
    }
    const bool has_object = !request.affinity.empty();
    const std::size_t max_choices = request.max_choices > 0 ? request.max_choices : options.max_busy_choices;
    const scored_endpoint chosen =
        request.uses_expected_time
            ? choose_by_expected_time(usable, max_choices, request, options, now)
            : choose(usable, has_object ? max_choices : std::numeric_limits<std::size_t>::max());
    if (chosen.entry != nullptr) {
        result.target = *chosen.entry;
        result.is_spilled = chosen.score > lowest_score;
    }
    if (result.target || waiting < result.candidates) {
        result.earliest_wait.reset();
    }
    result.fault = result.candidates == 0 ? endpoint_selection_error::no_endpoint
                                          : endpoint_selection_error::at_capacity;
    return result;
}

} // namespace quetzalspan::placement
