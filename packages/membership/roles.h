// Assignment of roles to live members by rendezvous hashing. Instances with the same view of the membership
// compute the same holder. Views may differ for a while; safety never depends on there being a single
// holder.

#pragma once

#include "membership/member_tracker.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::membership
{

class roles
{
public:
    // Returns the candidates in descending order of preference for the role. When one candidate is added or
    // removed, only the roles that it gains or held move.
    static std::vector<std::string> rank(std::string_view role, std::vector<std::string> candidates);

    // Returns the id of the member that holds the role: the first in rank() among this instance, if it is
    // serving, and its serving peers. A non-empty availability zone restricts the candidates to that zone.
    // Returns std::nullopt if there is no candidate.
    static std::optional<std::string> find_holder(std::string_view role, const member_tracker& view,
                                                  core::instant now, std::string_view availability_zone = {});
};

} // namespace quetzalspan::membership
