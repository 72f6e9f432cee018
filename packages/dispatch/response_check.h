// Classifies an upstream's response by its status and header: whether it answers the request that was sent,
// and whether the request was run.

#pragma once

#include "core/name_table.h"
#include "dispatch/message_profile.h"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace quetzalspan::dispatch
{

enum class response_kind {
    // The endpoint's answer to this request.
    answer,
    // The endpoint shed the request: it says that it did not run the request.
    shed,
    // The address belongs to another endpoint than the expected one, which did not run the request.
    misdirected,
    // A late response to another request: it carries another request identifier.
    other_request,
    // A status that callers take for the guarantee that the request was not run, from an endpoint that does
    // not state that it did not run the request.
    unstated_refusal,
    // A 2xx response without the signature, or a 2xx response or refusal without the echoed request
    // identifier, that the profile requires. Also any response with several request identifiers.
    unverified,
};

inline constexpr core::name_table response_kind_names{std::array<core::named_value<response_kind>, 6>{{
    {response_kind::answer, "answer"},
    {response_kind::shed, "shed"},
    {response_kind::misdirected, "misdirected"},
    {response_kind::other_request, "foreign"},
    {response_kind::unstated_refusal, "unstated-refusal"},
    {response_kind::unverified, "unverified"},
}}};

// Returns the kind of a response to the request with this identifier. Checks that the profile does not enable
// are skipped.
response_kind classify_response(unsigned status, const boost::beast::http::fields& fields,
                                std::string_view request_id, const message_profile& profile);

} // namespace quetzalspan::dispatch
