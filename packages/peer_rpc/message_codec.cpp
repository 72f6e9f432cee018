// Encodes and decodes each type of message, with the JSON encoding of amounts and members that messages and
// stored records have in common.

#include "peer_rpc/message_codec.h"

#include "codec/record_parts.h"
#include "core/name_table.h"

#include <set>

namespace quetzalspan::peer_rpc
{

namespace
{

constexpr core::name_table grant_status_names{std::array<core::named_value<allowance::grant_status>, 4>{{
    {allowance::grant_status::granted, "granted"},
    {allowance::grant_status::wrong_round, "wrong-round"},
    {allowance::grant_status::wrong_revision, "wrong-revision"},
    {allowance::grant_status::not_authorized, "not-authorized"},
}}};

// Path of the message itself in findings.
const std::string root_path = "message";

Json::Value new_message()
{
    Json::Value message(Json::objectValue);
    message["version"] = protocol_version;
    return message;
}

// Checks the version of one message and converts it. Throws core::findings_error if the reader has findings.
template <typename Message>
Message read_message(const Json::Value& value,
                     const std::function<Message(codec::json_reader&, const std::string&)>& convert)
{
    codec::json_reader in("peer");
    if (!value.isObject()) {
        in.add_error(root_path, "must be an object");
        in.throw_if_errors();
    }
    in.check_version(value, protocol_version, root_path);
    Message message = convert(in, root_path);
    in.throw_if_errors();
    return message;
}

void add_transfer_id(Json::Value& object, const allowance::transfer_id& id)
{
    object["requester"] = id.requester;
    object["sequence"] = Json::UInt64(id.sequence);
}

allowance::transfer_id read_transfer_id(codec::json_reader& in, const Json::Value& value,
                                        const std::string& path)
{
    allowance::transfer_id id{in.read_string(value, "requester", path),
                              in.read_unsigned(value, "sequence", path)};
    if (id.requester.empty()) {
        in.add_error(path + ".requester", "must not be empty");
    }
    return id;
}

Json::Value demands_to_json(const std::vector<allowance::demand_summary>& demands)
{
    Json::Value list(Json::arrayValue);
    for (const allowance::demand_summary& item : demands) {
        Json::Value value;
        value["limit"] = item.limit_name;
        value["demand"] = Json::Int64(item.demand_micro);
        codec::add_amount(value, item.holding);
        list.append(std::move(value));
    }
    return list;
}

std::vector<allowance::demand_summary> read_demands(codec::json_reader& in, const Json::Value& value,
                                                    const std::string& path)
{
    std::vector<allowance::demand_summary> demands;
    std::set<std::string> limit_names;
    in.for_each_item(value, "demands", path, codec::max_limits,
                     [&](const Json::Value& item, const std::string& item_path) {
                         demands.push_back({in.read_string(item, "limit", item_path),
                                            in.read_non_negative(item, "demand", item_path),
                                            codec::read_amount(in, item, item_path)});
                         if (!limit_names.insert(demands.back().limit_name).second) {
                             in.add_error(item_path + ".limit", "occurs twice in the list");
                         }
                     });
    return demands;
}

Json::Value heartbeat_to_json(const heartbeat& value)
{
    Json::Value object(Json::objectValue);
    object["sender"] = codec::to_json(value.sender);
    object["sender"]["joined_revision"] = Json::UInt64(value.sender.joined_revision);
    object["configuration_revision"] = Json::UInt64(value.configuration_revision);
    object["round"] = Json::UInt64(value.round);
    object["sees_platform"] = value.is_confirmed_by_store;
    object["complete"] = value.is_complete;
    object["demands"] = demands_to_json(value.demands);
    return object;
}

heartbeat read_heartbeat(codec::json_reader& in, const Json::Value& value, const std::string& path)
{
    heartbeat result;
    const Json::Value& sender = in.read_object(value, "sender", path);
    if (!sender.isNull()) {
        result.sender = codec::read_member(in, sender, path + ".sender");
        result.sender.joined_revision = in.read_unsigned(sender, "joined_revision", path + ".sender");
    }
    result.configuration_revision = in.read_unsigned(value, "configuration_revision", path);
    result.round = in.read_unsigned(value, "round", path);
    result.is_confirmed_by_store = in.read_bool(value, "sees_platform", path);
    result.is_complete = in.read_bool(value, "complete", path);
    result.demands = read_demands(in, value, path);
    return result;
}

} // namespace

Json::Value to_json(const heartbeat& value)
{
    Json::Value message = heartbeat_to_json(value);
    message["version"] = protocol_version;
    return message;
}

Json::Value to_json(const heartbeat_reply& value)
{
    Json::Value message = new_message();
    message["receiver"] = heartbeat_to_json(value.receiver);
    message["vouch"] = value.is_vouching;
    return message;
}

Json::Value to_json(const configuration_request& value)
{
    Json::Value message = new_message();
    message["known_revision"] = Json::UInt64(value.known_revision);
    return message;
}

Json::Value to_json(const configuration_reply& value)
{
    Json::Value message = new_message();
    message["revision"] = Json::UInt64(value.revision);
    message["document"] = value.document;
    return message;
}

Json::Value to_json(const allowance::share_request& value)
{
    Json::Value message = new_message();
    add_transfer_id(message, value.id);
    message["round"] = Json::UInt64(value.round);
    message["limit_revision"] = Json::UInt64(value.limit_revision);
    message["urgent"] = value.is_urgent;
    message["wanted"] = codec::to_json(value.wanted);
    return message;
}

Json::Value to_json(const allowance::share_grant& value)
{
    Json::Value message = new_message();
    add_transfer_id(message, value.id);
    message["status"] = std::string(grant_status_names.name(value.status));
    message["round"] = Json::UInt64(value.round);
    message["limit_revision"] = Json::UInt64(value.limit_revision);
    message["granted"] = codec::to_json(value.granted);
    return message;
}

Json::Value to_json(const allowance::grant_acknowledgement& value)
{
    Json::Value message = new_message();
    add_transfer_id(message, value.id);
    message["applied"] = value.is_applied;
    return message;
}

Json::Value to_json(const allowance::share_offer& value)
{
    Json::Value message = new_message();
    add_transfer_id(message, value.id);
    message["round"] = Json::UInt64(value.round);
    message["limit_revision"] = Json::UInt64(value.limit_revision);
    message["offered"] = codec::to_json(value.offered);
    return message;
}

template <>
heartbeat from_json<heartbeat>(const Json::Value& value)
{
    return read_message<heartbeat>(value, [&](codec::json_reader& in, const std::string& path) {
        return read_heartbeat(in, value, path);
    });
}

template <>
heartbeat_reply from_json<heartbeat_reply>(const Json::Value& value)
{
    return read_message<heartbeat_reply>(value, [&](codec::json_reader& in, const std::string& path) {
        heartbeat_reply result;
        result.receiver = read_heartbeat(in, in.read_object(value, "receiver", path), path + ".receiver");
        result.is_vouching = in.read_bool(value, "vouch", path);
        return result;
    });
}

template <>
configuration_request from_json<configuration_request>(const Json::Value& value)
{
    return read_message<configuration_request>(value, [&](codec::json_reader& in, const std::string& path) {
        return configuration_request{in.read_unsigned(value, "known_revision", path)};
    });
}

template <>
configuration_reply from_json<configuration_reply>(const Json::Value& value)
{
    return read_message<configuration_reply>(value, [&](codec::json_reader& in, const std::string& path) {
        return configuration_reply{in.read_unsigned(value, "revision", path),
                                   in.read_string(value, "document", path)};
    });
}

template <>
allowance::share_request from_json<allowance::share_request>(const Json::Value& value)
{
    return read_message<allowance::share_request>(
        value, [&](codec::json_reader& in, const std::string& path) {
            allowance::share_request result;
            result.id = read_transfer_id(in, value, path);
            result.round = in.read_unsigned(value, "round", path);
            result.limit_revision = in.read_unsigned(value, "limit_revision", path);
            result.is_urgent = in.read_bool(value, "urgent", path);
            result.wanted = codec::read_limit_amounts(in, value, "wanted", path);
            return result;
        });
}

template <>
allowance::share_grant from_json<allowance::share_grant>(const Json::Value& value)
{
    return read_message<allowance::share_grant>(value, [&](codec::json_reader& in, const std::string& path) {
        allowance::share_grant result;
        result.id = read_transfer_id(in, value, path);
        result.round = in.read_unsigned(value, "round", path);
        result.limit_revision = in.read_unsigned(value, "limit_revision", path);
        result.granted = codec::read_limit_amounts(in, value, "granted", path);
        const std::optional<allowance::grant_status> status =
            grant_status_names.find_value(in.read_string(value, "status", path));
        if (!status) {
            in.add_error(path + ".status", "must be granted, wrong-round, wrong-revision or not-authorized");
            return result;
        }
        result.status = *status;
        if (result.status != allowance::grant_status::granted && !result.granted.empty()) {
            in.add_error(path + ".granted", "must be empty unless the status is granted");
        }
        return result;
    });
}

template <>
allowance::grant_acknowledgement from_json<allowance::grant_acknowledgement>(const Json::Value& value)
{
    return read_message<allowance::grant_acknowledgement>(
        value, [&](codec::json_reader& in, const std::string& path) {
            return allowance::grant_acknowledgement{read_transfer_id(in, value, path),
                                                    in.read_bool(value, "applied", path)};
        });
}

template <>
allowance::share_offer from_json<allowance::share_offer>(const Json::Value& value)
{
    return read_message<allowance::share_offer>(value, [&](codec::json_reader& in, const std::string& path) {
        allowance::share_offer result;
        result.id = read_transfer_id(in, value, path);
        result.round = in.read_unsigned(value, "round", path);
        result.limit_revision = in.read_unsigned(value, "limit_revision", path);
        result.offered = codec::read_limit_amounts(in, value, "offered", path);
        return result;
    });
}

} // namespace quetzalspan::peer_rpc
