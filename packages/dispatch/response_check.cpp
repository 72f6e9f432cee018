// Checks the identifier, status, control fields and signature field of a response, in this order.

#include "dispatch/response_check.h"

#include "dispatch/header_rules.h"
#include "dispatch/outcome.h"

namespace quetzalspan::dispatch
{

namespace
{

// 421 (Misdirected Request).
constexpr unsigned misdirected_status = 421;

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

bool is_verified(const boost::beast::http::fields& fields, bool has_matching_id,
                 const message_profile& profile)
{
    if (!profile.signature_field.empty() && fields.count(profile.signature_field) != 1) {
        return false;
    }
    if (profile.is_request_id_echoed && !has_matching_id) {
        return false;
    }
    // Responses are expected without a content coding, since none is asked for: an encoded body is not the
    // one that the endpoint signed.
    return profile.signature_field.empty() || fields.count(boost::beast::http::field::content_encoding) == 0;
}

} // namespace

response_kind classify_response(unsigned status, const boost::beast::http::fields& fields,
                                std::string_view request_id, const message_profile& profile)
{
    bool has_matching_id = false;
    if (profile.is_request_id_echoed) {
        if (fields.count(profile.request_id_field) > 1) {
            return response_kind::unverified;
        }
        const boost::beast::string_view echoed = fields[profile.request_id_field];
        has_matching_id = std::string_view(echoed.data(), echoed.size()) == request_id;
        if (!echoed.empty() && !has_matching_id) {
            return response_kind::other_request;
        }
    }
    const bool is_misdirected = !profile.expected_endpoint_field.empty() && status == misdirected_status;
    const bool is_shed = is_shed_response(status, fields, profile);
    const bool is_refusal =
        is_misdirected || is_shed || (profile.does_503_mean_not_run && is_not_run_status(status));
    if (is_refusal && profile.is_request_id_echoed && !has_matching_id) {
        // It may be an earlier refusal that the endpoint has written once more, and this request may run.
        return response_kind::unverified;
    }
    if (is_misdirected) {
        return response_kind::misdirected;
    }
    if (is_shed) {
        return response_kind::shed;
    }
    if (is_refusal) {
        return response_kind::unstated_refusal;
    }
    if (is_success(status) && !is_verified(fields, has_matching_id, profile)) {
        return response_kind::unverified;
    }
    return response_kind::answer;
}

} // namespace quetzalspan::dispatch
