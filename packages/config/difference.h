// Compares two configurations and lists what was added, removed or changed. A part is one entry of the
// registry or the rules, such as a service, an endpoint or a route.

#pragma once

#include "config/model.h"
#include "core/name_table.h"

#include <json/forwards.h>

#include <string>
#include <vector>

namespace quetzalspan::config
{

enum class change_kind { added, removed, changed };

inline constexpr core::name_table change_kind_names{std::array<core::named_value<change_kind>, 3>{{
    {change_kind::added, "added"},
    {change_kind::removed, "removed"},
    {change_kind::changed, "changed"},
}}};

enum class part_kind {
    region,
    availability_zone,
    service,
    endpoint,
    workspace,
    key,
    site,
    client_block,
    route,
    shift_cap,
    link_cap,
    planned_shift,
    drained_region,
    objective,
};

inline constexpr core::name_table part_kind_names{std::array<core::named_value<part_kind>, 14>{{
    {part_kind::region, "region"},
    {part_kind::availability_zone, "availability_zone"},
    {part_kind::service, "service"},
    {part_kind::endpoint, "endpoint"},
    {part_kind::workspace, "workspace"},
    {part_kind::key, "key"},
    {part_kind::site, "site"},
    {part_kind::client_block, "client_block"},
    {part_kind::route, "route"},
    {part_kind::shift_cap, "shift_cap"},
    {part_kind::link_cap, "link_cap"},
    {part_kind::planned_shift, "planned_shift"},
    {part_kind::drained_region, "drained_region"},
    {part_kind::objective, "objective"},
}}};

// A member of a part whose value differs. Values are JSON texts, empty if the part or the member did not
// exist.
struct member_change {
    std::string member;
    std::string before;
    std::string after;
};

struct change {
    change_kind kind = change_kind::changed;
    part_kind part = part_kind::region;
    // Identifies the part among those of its kind, such as "order-desk/perth-a-1" for an endpoint.
    std::string name;
    // The members that differ, or all members of an added or removed part, without those that identify it.
    std::vector<member_change> members;
};

// Returns the changes that turn the first configuration into the second, ordered by kind of part and name;
// empty if there are none. Revision, author, nonce and history are not compared, nor is the order of lists
// whose order has no meaning.
std::vector<change> difference(const configuration& before, const configuration& after);

// Returns the changes of the first list to parts that the second list also changes, but to another result.
std::vector<change> conflicting_changes(const std::vector<change>& mine, const std::vector<change>& theirs);

// Returns one line for each change, such as "changed workspace takomo: burst 80 -> 120"; empty without
// changes.
std::string to_text(const std::vector<change>& changes);

// Returns the changes as a JSON list.
Json::Value to_json_value(const std::vector<change>& changes);

} // namespace quetzalspan::config
