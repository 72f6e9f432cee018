// Ranks candidates by a hash of role and member id, and finds the holder of a role in a view of the
// membership.

#include "membership/roles.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::membership
{

std::vector<std::string> roles::rank(std::string_view role, std::vector<std::string> candidates)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted_candidates;
    weighted_candidates.reserve(candidates.size());
    const std::uint64_t role_hash = core::stable_hash(role);
    for (std::string& candidate : candidates) {
        const std::uint64_t weight = core::stable_hash(candidate, role_hash);
        weighted_candidates.emplace_back(weight, std::move(candidate));
    }
    std::sort(weighted_candidates.begin(), weighted_candidates.end(), std::greater<>());
    std::vector<std::string> ranked;
    ranked.reserve(weighted_candidates.size());
    for (auto& [weight, candidate] : weighted_candidates) {
        ranked.push_back(std::move(candidate));
    }
    return ranked;
}

std::optional<std::string> roles::find_holder(std::string_view role, const member_tracker& view,
                                              core::instant now, std::string_view availability_zone)
{
    std::vector<std::string> candidates = view.serving_peers(now);
    const stored_member* self = view.find_member(view.self());
    if (self != nullptr && self->record.state == member_state::serving) {
        candidates.push_back(view.self());
    }
    if (!availability_zone.empty()) {
        std::erase_if(candidates, [&](const std::string& id) {
            return view.find_member(id)->record.availability_zone != availability_zone;
        });
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return rank(role, std::move(candidates)).front();
}

} // namespace quetzalspan::membership
