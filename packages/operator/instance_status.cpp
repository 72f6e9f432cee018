// Writes and parses the JSON form of the status.

#include "operator/instance_status.h"

#include "core/json_text.h"

#include <json/json.h>

namespace quetzalspan::admin
{

Json::Value to_json_value(const instance_status& status)
{
    Json::Value value;
    value["member"] = status.member;
    value["instance"] = status.instance;
    value["availability_zone"] = status.availability_zone;
    value["region"] = status.region;
    value["state"] = status.state;
    value["revision"] = Json::UInt64(status.revision);
    value["nonce"] = status.nonce;
    value["older_offers"] = Json::UInt64(status.older_offers);
    value["conflicts"] = Json::UInt64(status.conflicts);
    value["invalid_offers"] = Json::UInt64(status.invalid_offers);
    value["authority"] = status.has_authority;
    value["ready"] = status.is_ready;
    value["members"] = Json::UInt64(status.members);
    value["round"] = Json::UInt64(status.round);
    value["details"] = Json::Value(Json::objectValue);
    for (const auto& [name, text] : status.details) {
        value["details"][name] = text;
    }
    return value;
}

instance_status instance_status_from_json(std::string_view text, const std::string& source)
{
    core::findings found;
    const std::optional<Json::Value> parsed = core::parse_json_object(text);
    if (!parsed) {
        found.add_error({source, 0, 0}, "the status is not a JSON object");
        throw core::findings_error(std::move(found));
    }
    const Json::Value& root = *parsed;
    const auto read_text = [&](const char* name) {
        if (!root[name].isString()) {
            found.add_error({source, 0, 0}, std::string("status.") + name + ": must be a string");
            return std::string();
        }
        return root[name].asString();
    };
    const auto read_count = [&](const char* name) -> std::uint64_t {
        if (!root[name].isUInt64()) {
            found.add_error({source, 0, 0}, std::string("status.") + name + ": must be a whole number");
            return 0;
        }
        return root[name].asUInt64();
    };
    const auto read_flag = [&](const char* name) {
        if (!root[name].isBool()) {
            found.add_error({source, 0, 0}, std::string("status.") + name + ": must be true or false");
            return false;
        }
        return root[name].asBool();
    };
    instance_status status;
    status.member = read_text("member");
    status.instance = read_text("instance");
    status.availability_zone = read_text("availability_zone");
    status.region = read_text("region");
    status.state = read_text("state");
    status.revision = read_count("revision");
    status.nonce = read_text("nonce");
    status.older_offers = read_count("older_offers");
    status.conflicts = read_count("conflicts");
    status.invalid_offers = read_count("invalid_offers");
    status.has_authority = read_flag("authority");
    status.is_ready = read_flag("ready");
    status.members = read_count("members");
    status.round = read_count("round");
    if (root["details"].isObject()) {
        for (const std::string& name : root["details"].getMemberNames()) {
            if (root["details"][name].isString()) {
                status.details[name] = root["details"][name].asString();
            }
        }
    }
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
    return status;
}

} // namespace quetzalspan::admin
