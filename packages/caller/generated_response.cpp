// Renders rejections and lookup responses as HTTP/1.1 messages.

#include "caller/generated_response.h"

#include "caller/message_text.h"

#include <algorithm>

namespace quetzalspan::caller
{

namespace beast = boost::beast;

namespace
{

std::string make_message_text(beast::http::response_header<>& header, std::string_view body,
                              std::string_view request_id, bool is_keep_alive, bool is_head,
                              const dispatch::message_profile& profile)
{
    header.version(11);
    header.set(beast::http::field::content_length, std::to_string(body.size()));
    if (!request_id.empty()) {
        header.set(profile.request_id_field, request_id);
    }
    if (!is_keep_alive) {
        header.set(beast::http::field::connection, "close");
    }
    std::string text;
    append_header_text(text, header);
    if (!is_head) {
        text += body;
    }
    return text;
}

std::string format_retry_after(core::duration time, const dispatch::message_profile& profile)
{
    if (!profile.has_fractional_retry_after) {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
    }
    const std::int64_t milliseconds = std::max<std::int64_t>(core::to_milliseconds(time), 1);
    const std::string fraction = std::to_string(1000 + milliseconds % 1000);
    return std::to_string(milliseconds / 1000) + "." + fraction.substr(1);
}

} // namespace

unsigned compute_rejection_status(const rejection& cause, dispatch::outcome result,
                                  const dispatch::message_profile& profile)
{
    constexpr unsigned bad_gateway = 502;
    constexpr unsigned service_unavailable = 503;
    const unsigned status = dispatch::outcome_rule_for(cause.failure).status;
    if (!profile.does_503_mean_not_run) {
        return status;
    }
    if (result == dispatch::outcome::not_run) {
        return status == bad_gateway ? service_unavailable : status;
    }
    // An endpoint may have begun a request whose body then stalls.
    return dispatch::is_not_run_status(status) ? bad_gateway : status;
}

std::string make_rejection_text(const rejection& cause, dispatch::outcome result, std::string_view request_id,
                                bool is_keep_alive, bool is_head, const dispatch::message_profile& profile)
{
    const dispatch::outcome_rule& rule = dispatch::outcome_rule_for(cause.failure);
    const std::string_view outcome_name = dispatch::outcome_names.name(result);
    beast::http::response_header<> header;
    header.result(compute_rejection_status(cause, result, profile));
    header.set(beast::http::field::content_type, "application/json");
    if (!profile.outcome_field.empty()) {
        header.set(profile.outcome_field, outcome_name);
    }
    if (!profile.reason_field.empty()) {
        header.set(profile.reason_field, rule.reason);
    }
    if (cause.retry_after > core::duration(0)) {
        header.set(beast::http::field::retry_after, format_retry_after(cause.retry_after, profile));
    }
    // No value is escaped: the outcome, the reason and the request identifiers that this program generates
    // contain no character that JSON would have to escape.
    std::string body = R"({"outcome":")";
    body.append(outcome_name).append(R"(","reason":")").append(rule.reason);
    body.append(R"(","request_id":")").append(request_id).append("\"}\n");
    return make_message_text(header, body, request_id, is_keep_alive, is_head, profile);
}

std::string make_lookup_text(const http::response& response, std::string_view request_id, bool is_keep_alive,
                             bool is_head, const dispatch::message_profile& profile)
{
    beast::http::response_header<> header;
    header.result(response.status);
    header.set(beast::http::field::content_type, response.content_type);
    for (const http::header& field : response.headers) {
        header.set(field.name, field.value);
    }
    return make_message_text(header, response.body, request_id, is_keep_alive, is_head, profile);
}

} // namespace quetzalspan::caller
