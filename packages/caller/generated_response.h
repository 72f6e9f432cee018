// Responses that quetzalspan generates itself.

#pragma once

#include "caller/rejection.h"
#include "dispatch/message_profile.h"
#include "http/message.h"

#include <boost/beast/http/message.hpp>

#include <string>
#include <string_view>

namespace quetzalspan::caller
{

// Returns the status of a rejection: that of the outcome table, unless the profile promises by 503 that the
// request was not run.
unsigned rejection_status(const rejection& cause, dispatch::outcome result,
                          const dispatch::message_profile& profile);

// Returns the header and the body of a rejection as one text. The reason comes from the outcome table. A
// response to HEAD has the header of the same response to GET.
std::string make_rejection_text(const rejection& cause, dispatch::outcome result, std::string_view request_id,
                                bool is_keep_alive, bool is_head, const dispatch::message_profile& profile);

// Returns the header and the body of a lookup's answer as one text.
std::string make_lookup_text(const http::response& answer, std::string_view request_id, bool is_keep_alive,
                             bool is_head, const dispatch::message_profile& profile);

} // namespace quetzalspan::caller
