// Decodes the responses to JSON-RPC 2.0 calls.

#pragma once

#include <json/json.h>

#include <string_view>

namespace quetzalspan::peer_rpc
{

// Returns the result from the text of a response to a call of encode_call(). Throws rpc_error of kind
// remote_error for an error response and of kind invalid_reply for any other text that is not a valid
// response.
//
// The client of libjsonrpccpp is not used for this: its exception specification allows only its own
// exception, and its parser throws another one for a deeply nested response, which would terminate the
// process.
Json::Value decode_response(std::string_view response);

} // namespace quetzalspan::peer_rpc
