// Validation and rewriting of HTTP/1.1 headers in the proxy: which message framing and targets are accepted,
// and which header fields pass between caller and upstream.

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

// Checks the bytes of a header, from the start line to the empty line, before the HTTP parser reads it. The
// parser unfolds obs-fold lines and resolves framing conflicts silently, and two programs that resolve them
// differently disagree about where a message ends (request smuggling). Returns the reason to reject the
// message; no value if it is acceptable.
std::optional<failure> check_header_block(std::string_view block, message_kind kind);

// Checks that a request target is a path with an optional query. A path with dot segments, percent-encoded
// ones included, is rejected: the upstream could resolve it to a path outside the route that admitted the
// request. Also rejected are paths with empty segments, with a malformed percent-encoding or with an encoded
// unreserved character. Returns the reason to reject the request; no value if the target is acceptable.
std::optional<failure> check_target(std::string_view target);

// Rejects CONNECT, protocol upgrades and expectations other than 100-continue. Returns the reason to reject
// the request; no value if it is acceptable.
std::optional<failure> check_method_and_upgrade(std::string_view method,
                                                const boost::beast::http::fields& fields);

// Returns whether the caller waits for a 100 (Continue) response before it sends the body.
bool expects_continue(const boost::beast::http::fields& fields);

// Returns the time that the caller grants for the request, at most max_timeout: the value of the deadline
// field in milliseconds, or default_timeout if the field is absent. Returns no value if the field is repeated
// or is not a whole number of milliseconds above 0. A number too large for 64 bits counts as max_timeout.
std::optional<core::duration> parse_deadline(const boost::beast::http::fields& fields,
                                             core::duration default_timeout, core::duration max_timeout,
                                             const message_profile& profile = default_message_profile());

// Removes the fields that apply to a single connection: the hop-by-hop fields of HTTP/1.1 and those that the
// Connection field names.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

// Prepares the fields of a caller's request for the upstream: removes hop-by-hop fields, the key and every
// other control field, and sets the request identifier and the remaining time, which is at least 1 ms. The
// framing fields are removed as well, since the sender of the request frames the body itself.
void prepare_upstream_request(boost::beast::http::fields& fields, std::string_view request_id,
                              core::duration remaining,
                              const message_profile& profile = default_message_profile());

// Prepares the fields of an upstream's response for the caller: removes hop-by-hop fields and sets the
// request identifier. Control fields are removed, because they mark responses that quetzalspan generated.
// Content-Length and the signature remain; Transfer-Encoding is removed.
void prepare_caller_response(boost::beast::http::fields& fields, std::string_view request_id,
                             const message_profile& profile = default_message_profile());

// Returns whether an upstream's response says that the upstream shed the request, that is, did not run it.
bool is_shed_response(unsigned status, const boost::beast::http::fields& fields,
                      const message_profile& profile = default_message_profile());

// Returns whether an upstream's response says that the upstream is leaving, by the profile's leaving field or
// by having shed the request for that reason.
bool is_drain_response(unsigned status, const boost::beast::http::fields& fields,
                       const message_profile& profile = default_message_profile());

// The longest wait that an upstream can ask for. A longer one is shortened to it.
inline constexpr core::duration max_upstream_wait = std::chrono::seconds(60);

// Returns for how long an upstream that responds with status 503 wants no request, from its Retry-After in
// seconds with or without a fraction. Returns no value if it has none, if it is zero, negative or not such a
// number, or if the profile gives the field no such meaning.
std::optional<core::duration> find_upstream_wait(unsigned status, const boost::beast::http::fields& fields,
                                                 const message_profile& profile = default_message_profile());

// Returns the requests per second that an upstream takes from all instances together, as its response says;
// infinity if the response names no limit. Returns no value if the field is repeated, negative or not a
// decimal number.
std::optional<double> find_upstream_rate_limit(const boost::beast::http::fields& fields,
                                               const message_profile& profile = default_message_profile());

// Returns the value of the first cookie of that name in a request; an empty text if there is none. The result
// refers to memory of the fields.
std::string_view find_cookie(const boost::beast::http::fields& fields, std::string_view name);

} // namespace quetzalspan::dispatch
