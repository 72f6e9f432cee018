// The decisions that the server leaves to the daemon.

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

using begin_result = std::variant<admission, rejection>;
using acquire_result = std::variant<endpoint_lease, rejection>;

// Every hook can be called from every thread of the executor; the calls for one request are in sequence. A
// hook that is left empty permits everything, except begin and acquire, which are required.
struct proxy_hooks {
    // Finds the route and checks the key. Called once for each request; it does not wait, so it may read the
    // published snapshot in an RCU read-side section.
    std::function<begin_result(const request_summary&, core::instant now)> begin;

    // Enforces the workspace's rate. It may wait while tokens are borrowed.
    std::function<boost::asio::awaitable<std::optional<rejection>>(const admission&, wait_context&)> admit;

    // Finds an endpoint and a permit for it. The identities of the endpoints tried before are in the list. It
    // may wait in the queue of the workspace.
    std::function<boost::asio::awaitable<acquire_result>(
        const request_summary&, const admission&, const std::vector<std::string>& tried, wait_context&)>
        acquire;

    // Checks key and authority again immediately before the first byte of an attempt is written. Does not
    // wait.
    std::function<std::optional<rejection>(const request_summary&, const admission&, core::instant now)>
        recheck;

    // Decides whether a failed attempt is followed by another one, and charges it to the budget. Without this
    // hook the retry options of the server decide.
    std::function<bool(const request_summary&, const admission&, const dispatch::attempt_state&,
                       dispatch::failure at, core::instant now)>
        retry;

    // Creates the claim of a non-idempotent request with an Idempotency-Key before it is dispatched.
    std::function<boost::asio::awaitable<std::optional<rejection>>(const request_summary&, const admission&,
                                                                   wait_context&)>
        claim;

    // Records the outcome in the claim, or releases the claim if the request was certainly not run. Called
    // once for each claim that succeeded: before the response if the request was not run, so that the caller
    // can repeat it at once, and after it otherwise.
    std::function<boost::asio::awaitable<void>(const request_summary&, const admission&,
                                               dispatch::outcome result, unsigned status)>
        settle;

    // Called once for each request whose header was read, when its response has been sent or given up.
    std::function<void(const request_record&)> finished;

    // Called for each message that is no acceptable HTTP and for each connection above the limit.
    std::function<void(dispatch::failure, std::string_view peer_address)> malformed;

    // Answers a lookup.
    std::function<http::response(const request_summary&, core::instant now)> lookup;
};

} // namespace quetzalspan::caller
