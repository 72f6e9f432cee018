// Rules for header fields: which framing is accepted, and which fields pass between caller and upstream.

#pragma once

#include "core/time.h"
#include "dispatch/message_profile.h"
#include "dispatch/outcome.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzalspan::dispatch
{

enum class message_kind { request, response };

// Checks the text of a header, from the start line to the empty line, before a parser reads it. A parser
// unfolds obs-fold lines and resolves framing conflicts silently, and two programs that resolve them
// differently disagree about where a message ends. Returns the reason to reject the message.
std::optional<failure> check_header_block(std::string_view block, message_kind kind);

// Checks that the target is a path with query. A path with dot segments, also encoded ones, is rejected: the
// upstream could resolve it to a path outside the route that admitted the request.
std::optional<failure> check_target(std::string_view target);

// Rejects CONNECT, upgrades and expectations other than 100-continue.
std::optional<failure> check_method_and_upgrade(std::string_view method,
                                                const boost::beast::http::fields& fields);

// Returns whether the caller waits for 100 Continue before it sends the body.
bool expects_continue(const boost::beast::http::fields& fields);

// Returns the time that the caller allows, cut to the limit; the default if it names none. Returns no value
// for a malformed field.
std::optional<core::duration> parse_deadline(const boost::beast::http::fields& fields,
                                             core::duration default_time, core::duration limit,
                                             const message_profile& profile = default_message_profile());

// Removes what belongs to one connection: hop-by-hop fields and those that Connection names.
void remove_hop_by_hop(boost::beast::http::fields& fields);

// Makes the fields of a caller's request fit to be sent upstream: removes hop-by-hop fields, the key and
// every other control field, and sets the request identifier and the remaining time. The framing fields are
// removed as well, since the sender frames the body itself.
void prepare_upstream_request(boost::beast::http::fields& fields, std::string_view request_id,
                              core::duration remaining,
                              const message_profile& profile = default_message_profile());

// Makes the fields of an upstream's response fit to be sent to the caller. Control fields are removed,
// because they mark responses that quetzalspan generated; framing fields remain except Transfer-Encoding.
void prepare_caller_response(boost::beast::http::fields& fields, std::string_view request_id,
                             const message_profile& profile = default_message_profile());

// Returns whether an upstream's response says that the request was not run.
bool is_shed_response(unsigned status, const boost::beast::http::fields& fields,
                      const message_profile& profile = default_message_profile());

// Returns whether an upstream's response says that the upstream is draining.
bool is_drain_response(unsigned status, const boost::beast::http::fields& fields,
                       const message_profile& profile = default_message_profile());

// Returns the value of a cookie, or nothing if the request has none of that name.
std::string_view find_cookie(const boost::beast::http::fields& fields, std::string_view name);

} // namespace quetzalspan::dispatch
