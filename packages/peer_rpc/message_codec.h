// Encodes the messages between instances as JSON and decodes them.

#pragma once

#include "allowance/messages.h"
#include "peer_rpc/messages.h"

#include <json/json.h>

namespace quetzalspan::peer_rpc
{

Json::Value to_json(const heartbeat& value);
Json::Value to_json(const heartbeat_reply& value);
Json::Value to_json(const configuration_request& value);
Json::Value to_json(const configuration_reply& value);
Json::Value to_json(const allowance::share_request& value);
Json::Value to_json(const allowance::share_grant& value);
Json::Value to_json(const allowance::grant_acknowledgement& value);
Json::Value to_json(const allowance::share_offer& value);

// Decodes a message of the given type. Throws core::findings_error with all findings if the version differs
// from protocol_version or a member is missing or invalid. Specialized for each type of message.
template <typename Message>
Message from_json(const Json::Value& value);

template <>
heartbeat from_json<heartbeat>(const Json::Value& value);
template <>
heartbeat_reply from_json<heartbeat_reply>(const Json::Value& value);
template <>
configuration_request from_json<configuration_request>(const Json::Value& value);
template <>
configuration_reply from_json<configuration_reply>(const Json::Value& value);
template <>
allowance::share_request from_json<allowance::share_request>(const Json::Value& value);
template <>
allowance::share_grant from_json<allowance::share_grant>(const Json::Value& value);
template <>
allowance::grant_acknowledgement from_json<allowance::grant_acknowledgement>(const Json::Value& value);
template <>
allowance::share_offer from_json<allowance::share_offer>(const Json::Value& value);

} // namespace quetzalspan::peer_rpc
