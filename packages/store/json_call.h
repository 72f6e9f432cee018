// Requests and responses of a store that speaks JSON over HTTP.

#pragma once

#include "codec/json_reader.h"
#include "core/findings.h"
#include "http/message.h"
#include "store/store_types.h"

#include <functional>
#include <string>

namespace quetzalspan::store
{

// Makes a request with the body, unless that is null.
http::request make_json_request(std::string method, std::string target, const Json::Value& body = {});

// Reads a response by the given function. A malformed response counts as none.
template <typename Result>
Result parse_json_response(const http::response& response,
                           const std::function<Result(codec::json_reader&, const Json::Value&)>& convert)
{
    codec::json_reader in("store response");
    try {
        const Json::Value body = in.parse_object(response.body);
        Result result = convert(in, body);
        in.finish();
        return result;
    } catch (const core::findings_error& error) {
        throw store_unavailable(std::string("malformed response: ") + error.what());
    }
}

} // namespace quetzalspan::store
