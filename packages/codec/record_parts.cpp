// JSON encoding of members, amounts and lists of amounts.

#include "codec/record_parts.h"

#include <set>

namespace quetzalspan::codec
{

namespace
{

std::uint16_t read_port(json_reader& in, const Json::Value& value, const char* name, const std::string& path)
{
    return static_cast<std::uint16_t>(
        in.read_unsigned(value, name, path, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

Json::Value to_json(const membership::member& value)
{
    Json::Value result;
    result["id"] = value.id;
    result["instance"] = value.instance;
    result["availability_zone"] = value.availability_zone;
    result["region"] = value.region;
    result["host"] = value.host;
    result["caller_port"] = value.caller_port;
    result["fellow_port"] = value.peer_port;
    result["admin_port"] = value.admin_port;
    result["state"] = std::string(membership::member_state_names.name(value.state));
    result["membership_revision_seen"] = Json::UInt64(value.membership_revision_seen);
    result["joined_round"] = Json::UInt64(value.joined_round);
    return result;
}

membership::member read_member(json_reader& in, const Json::Value& value, const std::string& path)
{
    membership::member result;
    result.id = in.read_string(value, "id", path);
    result.instance = in.read_string(value, "instance", path);
    result.availability_zone = in.read_string(value, "availability_zone", path);
    result.region = in.read_string(value, "region", path);
    result.host = in.read_string(value, "host", path);
    result.caller_port = read_port(in, value, "caller_port", path);
    result.peer_port = read_port(in, value, "fellow_port", path);
    result.admin_port = read_port(in, value, "admin_port", path);
    result.membership_revision_seen = in.read_unsigned(value, "membership_revision_seen", path);
    result.joined_round = in.read_unsigned(value, "joined_round", path);
    if (!result.id.starts_with(result.instance + ".") || result.instance.empty()) {
        in.add_error(path + ".id", "must be the instance, a dot and the incarnation");
    }
    const std::string state = in.read_string(value, "state", path);
    const std::optional<membership::member_state> known = membership::member_state_names.find_value(state);
    if (!known) {
        in.add_error(path + ".state", "must be serving, leaving or suspect");
        return result;
    }
    result.state = *known;
    return result;
}

void add_amount(Json::Value& object, const allowance::amount& value)
{
    object["rate"] = Json::Int64(value.rate_micro);
    object["burst"] = Json::Int64(value.burst_micro);
    object["tokens"] = Json::Int64(value.tokens_micro);
}

allowance::amount read_amount(json_reader& in, const Json::Value& value, const std::string& path)
{
    allowance::amount result;
    result.rate_micro = in.read_non_negative(value, "rate", path);
    result.burst_micro = in.read_non_negative(value, "burst", path);
    result.tokens_micro = in.read_non_negative(value, "tokens", path);
    if (result.tokens_micro > result.burst_micro) {
        in.add_error(path + ".tokens", "must not exceed the burst");
    }
    return result;
}

Json::Value to_json(const std::vector<allowance::limit_amount>& values)
{
    Json::Value list(Json::arrayValue);
    for (const allowance::limit_amount& item : values) {
        Json::Value value;
        value["limit"] = item.limit_name;
        add_amount(value, item.value);
        list.append(std::move(value));
    }
    return list;
}

std::vector<allowance::limit_amount> read_limit_amounts(json_reader& in, const Json::Value& object,
                                                        const char* name, const std::string& path)
{
    std::vector<allowance::limit_amount> result;
    std::set<std::string> seen_limits;
    in.for_each_item(
        object, name, path, max_limits, [&](const Json::Value& item, const std::string& item_path) {
            result.push_back({in.read_string(item, "limit", item_path), read_amount(in, item, item_path)});
            if (!seen_limits.insert(result.back().limit_name).second) {
                in.add_error(item_path + ".limit", "occurs twice in the list");
            }
        });
    return result;
}

} // namespace quetzalspan::codec
