// Decides what an upstream's response header says about the request that was sent.

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
    // The endpoint says that it did not run the request.
    shed,
    // Another endpoint has the address; the request was not run.
    misdirected,
    // The answer to another request, which arrived late.
    foreign,
    // A success that lacks what proves that it is the endpoint's.
    unverified,
};

inline constexpr core::name_table response_kind_names{std::array<core::named_value<response_kind>, 5>{{
    {response_kind::answer, "answer"},
    {response_kind::shed, "shed"},
    {response_kind::misdirected, "misdirected"},
    {response_kind::foreign, "foreign"},
    {response_kind::unverified, "unverified"},
}}};

response_kind classify_response(unsigned status, const boost::beast::http::fields& fields,
                                std::string_view request_id, const message_profile& profile);

} // namespace quetzalspan::dispatch
