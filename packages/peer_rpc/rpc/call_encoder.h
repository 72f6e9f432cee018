// Encodes JSON-RPC 2.0 calls with libjsonrpccpp. The library's headers do not compile as C++17, so the source
// file is compiled as C++14, and this header must compile as C++14 and not include them.

#pragma once

#include <json/json.h>

#include <string>

namespace quetzalspan
{
namespace peer_rpc
{

// Returns the JSON text of a call, with the id 1.
std::string encode_call(const std::string& method, const Json::Value& parameters);

} // namespace peer_rpc
} // namespace quetzalspan
