// The header fields in which quetzalspan, its callers and its upstreams exchange control information. The
// defaults are the product's own interface; a deployment whose peers use other names passes its own profile.

#pragma once

#include <string>

namespace quetzalspan::dispatch
{

// A field with an empty name is neither sent nor read.
struct message_profile {
    // The key of the workspace. Never passed to an upstream.
    std::string key_field = "Quetzal-Key";
    std::string request_id_field = "Quetzal-Request-Id";
    // Milliseconds that the sender will still wait.
    std::string deadline_field = "Quetzal-Deadline-Ms";
    // In generated responses: whether the request ran, and why it was rejected.
    std::string outcome_field = "Quetzal-Outcome";
    std::string reason_field = "Quetzal-Reason";
    std::string idempotency_key_field = "Idempotency-Key";
    // Every field with this prefix belongs to quetzalspan and never passes through.
    std::string control_prefix = "quetzal-";
    // Tells an upstream for which workspace the request runs.
    std::string workspace_field;
    // Tells an upstream which endpoint must serve the request; another one answers 421 and does not run it.
    std::string expected_endpoint_field;
    // In a response: the upstream did not run the request.
    std::string not_run_field;
    // In a response: the upstream's signature of the body. A success without it is not relayed.
    std::string signature_field;
    // In a response: running requests, waiting requests and slots, separated by commas.
    std::string load_field;
    // The cookie whose value names the object that a request concerns.
    std::string affinity_cookie;
    // Whether the caller's own request identifier is used and passed on.
    bool keeps_request_id = false;
    // Whether upstreams repeat the request identifier, so that a response to another request is recognized.
    bool is_request_id_echoed = false;
    // Whether Retry-After may hold fractions of a second.
    bool has_fractional_retry_after = false;
    // Whether 503 promises that the request was not run and 502 leaves that open.
    bool is_503_a_promise = false;
};

// The product's own interface.
const message_profile& default_message_profile();

} // namespace quetzalspan::dispatch
