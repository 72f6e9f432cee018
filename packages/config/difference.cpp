// Compares configurations by their JSON form, so that new members of the model are compared without further
// code.

#include "config/difference.h"

#include "config/configuration_json.h"

#include <json/json.h>

#include <map>
#include <utility>

namespace quetzalspan::config
{

namespace
{

using part_key = std::pair<part_kind, std::string>;
// The JSON text of each member.
using part_members = std::map<std::string, std::string>;
using part_map = std::map<part_key, part_members>;

// A list of parts in the JSON form.
struct part_list {
    part_kind part;
    // "registry" or "rules".
    const char* section;
    const char* list;
    // Members that together identify a part; empty for lists of names.
    std::vector<const char*> identity;
};

const std::vector<part_list>& part_lists()
{
    static const std::vector<part_list> lists{
        {part_kind::region, "registry", "regions", {}},
        {part_kind::availability_zone, "registry", "availability_zones", {"name"}},
        {part_kind::service, "registry", "services", {"name"}},
        {part_kind::workspace, "registry", "workspaces", {"name"}},
        {part_kind::key, "registry", "keys", {"digest"}},
        {part_kind::site, "registry", "sites", {"name"}},
        {part_kind::client_block, "registry", "client_blocks", {"prefix"}},
        {part_kind::route, "rules", "routes", {"path_prefix"}},
        {part_kind::shift_cap, "rules", "shift_caps", {"from_region", "to_region"}},
        {part_kind::link_cap, "rules", "link_caps", {"from_region", "to_region"}},
        {part_kind::planned_shift,
         "rules",
         "planned_shifts",
         {"service", "from_region", "to_region", "begin_ms"}},
        {part_kind::drained_region, "rules", "drained_regions", {}},
        {part_kind::objective, "rules", "objectives", {"service"}},
    };
    return lists;
}

std::string compact_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // 15 digits print numbers as operators write them; 17 would print 0.2 as 0.20000000000000001.
    builder["precision"] = 15;
    return Json::writeString(builder, value);
}

// Returns the values of the identifying members, joined by "/".
std::string part_name(const Json::Value& item, const std::vector<const char*>& identity)
{
    if (identity.empty()) {
        return item.asString();
    }
    std::string name;
    for (const char* member : identity) {
        name += (name.empty() ? "" : "/") + item[member].asString();
    }
    return name;
}

// Adds the part with its members, except those that identify it and a service's endpoints, which are parts of
// their own.
void add_part(part_map& parts, part_kind part, const std::string& name, const Json::Value& item,
              const std::vector<const char*>& identity)
{
    part_members members;
    if (item.isObject()) {
        for (const std::string& member : item.getMemberNames()) {
            members[member] = compact_json(item[member]);
        }
    }
    members.erase("endpoints");
    for (const char* member : identity) {
        members.erase(member);
    }
    parts.emplace(part_key(part, name), std::move(members));
}

part_map parts_of(const configuration& value)
{
    const Json::Value root = to_json_value(value);
    part_map parts;
    for (const part_list& list : part_lists()) {
        for (const Json::Value& item : root[list.section][list.list]) {
            const std::string name = part_name(item, list.identity);
            add_part(parts, list.part, name, item, list.identity);
            for (const Json::Value& inner : item.isObject() ? item["endpoints"] : Json::Value()) {
                add_part(parts, part_kind::endpoint, name + "/" + inner["id"].asString(), inner, {"id"});
            }
        }
    }
    return parts;
}

// Returns the members that differ, in the order of their names.
std::vector<member_change> changed_members(const part_members& before, const part_members& after)
{
    std::map<std::string, member_change> all;
    for (const auto& [member, text] : before) {
        all[member].before = text;
    }
    for (const auto& [member, text] : after) {
        all[member].after = text;
    }
    std::vector<member_change> changes;
    for (auto& [member, entry] : all) {
        if (entry.before != entry.after) {
            entry.member = member;
            changes.push_back(std::move(entry));
        }
    }
    return changes;
}

// Returns whether both changes leave the same members with the same values.
bool has_same_result(const change& left, const change& right)
{
    if (left.kind != right.kind || left.members.size() != right.members.size()) {
        return false;
    }
    for (std::size_t index = 0; index < left.members.size(); ++index) {
        if (left.members[index].member != right.members[index].member ||
            left.members[index].after != right.members[index].after) {
            return false;
        }
    }
    return true;
}

std::string to_text(const member_change& entry)
{
    if (entry.before.empty()) {
        return entry.member + " " + entry.after;
    }
    return entry.member + " " + entry.before + (entry.after.empty() ? "" : " -> " + entry.after);
}

} // namespace

std::vector<change> difference(const configuration& before, const configuration& after)
{
    const part_map old_parts = parts_of(before);
    const part_map new_parts = parts_of(after);
    std::map<part_key, change> changes;
    for (const auto& [key, members] : old_parts) {
        const auto match = new_parts.find(key);
        if (match == new_parts.end()) {
            changes[key] = {change_kind::removed, key.first, key.second, changed_members(members, {})};
        } else if (match->second != members) {
            changes[key] = {change_kind::changed, key.first, key.second,
                            changed_members(members, match->second)};
        }
    }
    for (const auto& [key, members] : new_parts) {
        if (!old_parts.contains(key)) {
            changes[key] = {change_kind::added, key.first, key.second, changed_members({}, members)};
        }
    }
    std::vector<change> result;
    for (auto& [key, entry] : changes) {
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<change> conflicting_changes(const std::vector<change>& mine, const std::vector<change>& theirs)
{
    std::map<part_key, const change*> by_key;
    for (const change& entry : theirs) {
        by_key[part_key(entry.part, entry.name)] = &entry;
    }
    std::vector<change> result;
    for (const change& entry : mine) {
        const auto match = by_key.find(part_key(entry.part, entry.name));
        if (match != by_key.end() && !has_same_result(entry, *match->second)) {
            result.push_back(entry);
        }
    }
    return result;
}

std::string to_text(const std::vector<change>& changes)
{
    std::string text;
    for (const change& entry : changes) {
        text += std::string(change_kind_names.name(entry.kind)) + " " +
                std::string(part_kind_names.name(entry.part)) + " " + entry.name;
        const char* separator = ": ";
        for (const member_change& member : entry.members) {
            text += separator + to_text(member);
            separator = ", ";
        }
        text += "\n";
    }
    return text;
}

Json::Value to_json_value(const std::vector<change>& changes)
{
    Json::Value list(Json::arrayValue);
    for (const change& entry : changes) {
        Json::Value item;
        item["change"] = std::string(change_kind_names.name(entry.kind));
        item["part"] = std::string(part_kind_names.name(entry.part));
        item["name"] = entry.name;
        item["members"] = Json::Value(Json::arrayValue);
        for (const member_change& member : entry.members) {
            Json::Value shown;
            shown["member"] = member.member;
            shown["before"] = member.before;
            shown["after"] = member.after;
            item["members"].append(shown);
        }
        list.append(item);
    }
    return list;
}

} // namespace quetzalspan::config
