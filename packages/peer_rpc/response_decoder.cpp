// Decodes JSON-RPC responses with the strict JSON reader of the codec package.

#include "peer_rpc/response_decoder.h"

#include "codec/json_reader.h"
#include "core/findings.h"
#include "peer_rpc/rpc/rpc_error.h"

namespace quetzalspan::peer_rpc
{

namespace
{

// libjsonrpccpp gives every call this id, so it does not identify the call; the authentication of a response
// binds it to its request.
constexpr int call_id = 1;

} // namespace

Json::Value decode_response(std::string_view response)
{
    codec::json_reader in("reply");
    try {
        Json::Value root = in.parse_object(response);
        if (root["jsonrpc"] != "2.0") {
            in.add_error("reply.jsonrpc", "must be 2.0");
        }
        if (root.isMember("error")) {
            const Json::Value& error = in.read_object(root, "error", "reply");
            const std::string message = in.read_string(error, "message", "reply.error");
            if (!error.isNull() && !error["code"].isInt()) {
                in.add_error("reply.error.code", "must be a whole number");
            }
            in.throw_if_errors();
            throw rpc_error(rpc_failure::remote_error, error["code"].asInt(), message);
        }
        if (root["id"] != call_id) {
            in.add_error("reply.id", "must be the id of the call");
        }
        if (!root.isMember("result")) {
            in.add_error("reply.result", "is missing");
        }
        in.throw_if_errors();
        return std::move(root["result"]);
    } catch (const core::findings_error& error) {
        throw rpc_error(rpc_failure::invalid_reply, 0, error.what());
    }
}

} // namespace quetzalspan::peer_rpc
