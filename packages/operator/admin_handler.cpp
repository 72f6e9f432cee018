// Routes admin requests to the hooks and formats their results as text or JSON responses.

#include "operator/admin_handler.h"

#include <json/json.h>

#include <memory>

namespace quetzalspan::admin
{

namespace
{

constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";

http::response text_response(unsigned status, std::string body)
{
    http::response response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

http::response json_response(const Json::Value& value)
{
    http::response response;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    response.body = Json::writeString(builder, value) + "\n";
    return response;
}

http::response flag_response(bool is_set, const char* name)
{
    return is_set ? text_response(200, std::string(name) + "\n")
                  : text_response(503, std::string("not ") + name + "\n");
}

} // namespace

http::response respond(const admin_hooks& hooks, const http::request& message)
{
    if (message.method != "GET") {
        http::response response = text_response(405, "only GET is possible\n");
        response.headers.push_back({"Allow", "GET"});
        return response;
    }
    const http::target target = http::target::create(message.target);
    if (target.path() == "/metrics") {
        http::response response = text_response(200, hooks.metrics());
        response.content_type = metrics_type;
        return response;
    }
    if (target.path() == "/ready") {
        return flag_response(hooks.is_ready(), "ready");
    }
    if (target.path() == "/live") {
        return flag_response(hooks.is_live(), "live");
    }
    if (target.path() == "/status") {
        return json_response(to_json_value(hooks.status()));
    }
    if (target.path() == "/burn") {
        const burn::burn_report report = hooks.burn();
        return target.find_parameter("format") == "text" ? text_response(200, burn::to_text(report))
                                                         : json_response(burn::to_json_value(report));
    }
    return text_response(404, "there is /metrics, /ready, /live, /status and /burn\n");
}

http::request_handler make_admin_handler(admin_hooks hooks)
{
    const std::shared_ptr<const admin_hooks> shared = std::make_shared<const admin_hooks>(std::move(hooks));
    return [shared](http::request message) -> boost::asio::awaitable<http::response> {
        co_return respond(*shared, message);
    };
}

} // namespace quetzalspan::admin
