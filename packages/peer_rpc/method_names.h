// The HTTP path and the JSON-RPC method names of the calls between instances.

#pragma once

namespace quetzalspan::peer_rpc
{

inline constexpr const char* rpc_path = "/rpc";

inline constexpr const char* heartbeat_method = "heartbeat";
inline constexpr const char* get_configuration_method = "get_configuration";
inline constexpr const char* request_share_method = "request_share";
inline constexpr const char* acknowledge_grant_method = "acknowledge_grant";
inline constexpr const char* hand_over_method = "hand_over";

} // namespace quetzalspan::peer_rpc
