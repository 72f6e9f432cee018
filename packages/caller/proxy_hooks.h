// Callbacks by which the server asks its owner to route, admit and place requests, and reports their results.

#pragma once

#include "caller/admission.h"
#include "caller/endpoint_lease.h"
#include "caller/rejection.h"
#include "caller/request_record.h"
#include "caller/request_summary.h"
#include "caller/wait_context.h"
#include "dispatch/retry_policy.h"
#include "http/message.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalspan::caller
{

using admission_result = std::variant<admission, rejection>;
using lease_result = std::variant<endpoint_lease, rejection>;

// Hooks can be called from any thread of the executor, for several requests at a time; the calls for one
// request never overlap. The hooks route_request and acquire_endpoint are required. Another hook may be left
// empty, and its check or report is then skipped unless its comment says otherwise.
struct proxy_hooks {
    // Finds the route and checks the workspace key. Called once for each request. It is a plain function that
    // cannot suspend, so it may read the published snapshot in an RCU read-side section.
    std::function<admission_result(const request_summary&, core::instant now)> route_request;

    // Enforces the rate limit of the workspace. It may wait while tokens are borrowed.
    std::function<boost::asio::awaitable<std::optional<rejection>>(const admission&, wait_context&)>
        enforce_rate_limit;

    // Selects an endpoint and takes a concurrency permit for it. The list holds the identities of the
    // endpoints that earlier attempts used. It may wait in the queue of the workspace.
    std::function<boost::asio::awaitable<lease_result>(const request_summary&, const admission&,
                                                       const std::vector<std::string>& tried, wait_context&)>
        acquire_endpoint;

    // Checks once more, immediately before the first byte of an attempt is written, that the key is valid and
    // that the instance may still decide about requests. Cannot wait.
    std::function<std::optional<rejection>(const request_summary&, const admission&, core::instant now)>
        recheck_authorization;

    // Returns whether a failed attempt is followed by another one, and charges that one to the retry budget.
    // Without this hook, the retry options of the server decide.
    std::function<bool(const request_summary&, const admission&, const dispatch::attempt_state&,
                       dispatch::failure at, core::instant now)>
        grant_retry;

    // Called after each attempt with the identity of its endpoint. Only with this hook is an endpoint that
    // broke a connection off examined for whether it has ended.
    std::function<void(const request_summary&, const std::string& endpoint, const attempt_result&)>
        on_attempt_finished;

    // Records a claim for the Idempotency-Key of a non-idempotent request before the request is dispatched,
    // so that a duplicate is recognized.
    std::function<boost::asio::awaitable<std::optional<rejection>>(const request_summary&, const admission&,
                                                                   wait_context&)>
        create_claim;

    // Records the outcome in the claim, or deletes the claim if the request was certainly not run. Called
    // once for each claim that was created: before the response if the request was not run, so that the
    // caller can repeat the request at once, and after the response otherwise.
    std::function<boost::asio::awaitable<void>(const request_summary&, const admission&,
                                               dispatch::outcome result, unsigned status)>
        settle_claim;

    // Called once for each request whose header was read, when its response was sent or the request was
    // abandoned.
    std::function<void(const request_record&)> on_finished;

    // Called for each message that was rejected as malformed or unsupported, and for each connection above
    // the limit.
    std::function<void(dispatch::failure, std::string_view peer_address)> on_message_rejected;

    // Returns the response to a lookup. Without this hook, requests for the lookup path are forwarded like
    // others.
    std::function<http::response(const request_summary&, core::instant now)> serve_lookup;
};

} // namespace quetzalspan::caller
