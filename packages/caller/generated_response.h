// Builds the responses that quetzalspan sends itself instead of relaying one from an upstream.

#pragma once

#include "caller/rejection.h"
#include "dispatch/message_profile.h"
#include "http/message.h"

#include <boost/beast/http/message.hpp>

#include <string>
#include <string_view>

namespace quetzalspan::caller
{

// Returns the HTTP status of a rejection from the outcome table. If the profile uses 503 to state that a
// request was not run, a request that was not run gets 503 instead of 502.
unsigned compute_rejection_status(const rejection& cause, dispatch::outcome result,
                                  const dispatch::message_profile& profile);

// Returns the header and the JSON body of a rejection as one string. The reason comes from the outcome table.
// A response to HEAD has the header of the response to GET and no body.
std::string make_rejection_text(const rejection& cause, dispatch::outcome result, std::string_view request_id,
                                bool is_keep_alive, bool is_head, const dispatch::message_profile& profile);

// Returns the header and the body of the response to a lookup as one string. A response to HEAD has no body.
std::string make_lookup_text(const http::response& response, std::string_view request_id, bool is_keep_alive,
                             bool is_head, const dispatch::message_profile& profile);

} // namespace quetzalspan::caller
