// Creates HTTP requests with JSON bodies.

#include "store/json_call.h"

namespace quetzalspan::store
{

http::request make_json_request(std::string method, std::string target, const Json::Value& body)
{
    http::request message;
    message.method = std::move(method);
    message.target = std::move(target);
    if (!body.isNull()) {
        message.headers.push_back({"Content-Type", "application/json"});
        message.body = codec::to_compact_text(body);
    }
    return message;
}

} // namespace quetzalspan::store
