// The names and meanings of the header fields in which quetzalspan, its callers and its upstreams exchange
// control information. The defaults are the interface of quetzalspan itself; a deployment whose callers and
// upstreams use other names passes a profile of its own.

#pragma once

#include <string>

namespace quetzalspan::dispatch
{

// A header field whose name is empty here is neither sent nor read.
struct message_profile {
    // The secret key of the caller's workspace. Never passed to an upstream.
    std::string key_field = "Quetzal-Key";
    std::string request_id_field = "Quetzal-Request-Id";
    // The time in milliseconds that the sender will still wait for the response.
    std::string deadline_field = "Quetzal-Deadline-Ms";
    // In responses that quetzalspan generates: the outcome of the request, and why it was rejected.
    std::string outcome_field = "Quetzal-Outcome";
    std::string reason_field = "Quetzal-Reason";
    std::string idempotency_key_field = "Idempotency-Key";
    // Fields whose names start with this prefix, ignoring case, belong to quetzalspan and are removed from
    // everything that is forwarded.
    std::string control_prefix = "quetzal-";
    // In requests to an upstream: the workspace on whose behalf the request runs.
    std::string workspace_field;
    // In requests to an upstream: the endpoint that must serve the request. Any other endpoint answers with
    // status 421 and does not run the request.
    std::string expected_endpoint_field;
    // In a response of an upstream: its presence says that the request was not run.
    std::string not_run_field;
    // In a response of an upstream: its signature of the body. A 2xx response without it is not relayed.
    std::string signature_field;
    // In a response of an upstream: the numbers of running requests, waiting requests and slots, separated by
    // commas.
    std::string load_field;
    // In a response of an upstream: the value 1 says that the upstream is leaving and wants no new requests.
    // Not passed on to callers.
    std::string leaving_field;
    // In a response of an upstream: the requests per second that the upstream takes from all instances
    // together, as long as its responses say so. Not passed on to callers.
    std::string rate_limit_field;
    // Whether Retry-After in a response of an upstream with status 503 says for how long the upstream wants
    // no request of this instance.
    bool has_upstream_retry_after = false;
    // The cookie whose value identifies the object that a request concerns, for routing by affinity.
    std::string affinity_cookie;
    // Whether a request identifier that the caller sends is kept and passed on.
    bool keeps_request_id = false;
    // Whether upstreams echo the request identifier in their responses, so that a response to another request
    // is recognized.
    bool is_request_id_echoed = false;
    // Whether Retry-After is written in seconds with a fraction instead of whole seconds.
    bool has_fractional_retry_after = false;
    // Whether callers take status 503, and likewise 408, 421 and 429, as the guarantee that the request was
    // not run, and 502 as leaving that open.
    bool does_503_mean_not_run = false;
};

// Returns the profile of quetzalspan's own interface.
const message_profile& default_message_profile();

} // namespace quetzalspan::dispatch
