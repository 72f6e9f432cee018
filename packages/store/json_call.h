// Creates requests to and parses responses from a store with a JSON API over HTTP.

#pragma once

#include "codec/json_reader.h"
#include "core/findings.h"
#include "http/message.h"
#include "store/store_types.h"

#include <functional>
#include <string>

namespace quetzalspan::store
{

// Creates a request. A null value sends no body.
http::request make_json_request(std::string method, std::string target, const Json::Value& body = {});

// Converts the JSON body of a response with the given function. Throws store_unavailable if the body is
// malformed, as if there had been no response.
template <typename Result>
Result parse_json_response(const http::response& response,
                           const std::function<Result(codec::json_reader&, const Json::Value&)>& convert)
{
    codec::json_reader in("store response");
    try {
        const Json::Value body = in.parse_object(response.body);
        Result result = convert(in, body);
        in.throw_if_errors();
        return result;
    } catch (const core::findings_error& error) {
        throw store_unavailable(std::string("malformed response: ") + error.what());
    }
}

} // namespace quetzalspan::store
