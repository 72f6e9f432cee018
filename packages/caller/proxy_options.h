// Limits and time-outs of the HTTP server that faces the callers.

#pragma once

#include "core/time.h"
#include "dispatch/message_profile.h"
#include "dispatch/retry_budget.h"
#include "dispatch/retry_policy.h"

#include <cstdint>
#include <string>

namespace quetzalspan::caller
{

struct proxy_options {
    std::uint32_t connection_limit = 4096;
    std::uint32_t header_limit_bytes = 16 * 1024;
    std::uint64_t body_limit_bytes = 64 * 1024 * 1024;
    // A body up to this size is read completely before the request is sent, so that a slow sender occupies no
    // endpoint and the request can be retried.
    std::size_t replay_limit_bytes = 64 * 1024;
    // Size of the buffer that a connection has for each direction of a streamed body.
    std::size_t relay_buffer_bytes = 16 * 1024;
    // After a rejection, an unread body up to this size is read and discarded, so that the connection can be
    // kept. A longer one ends the connection. Also limits what is discarded while a connection closes.
    std::uint64_t discard_limit_bytes = 64 * 1024;
    // Maximum time that a connection waits for a request before it is closed.
    core::duration idle_timeout = std::chrono::seconds(60);
    // Maximum time from the first byte of a header to its last.
    core::duration header_timeout = std::chrono::seconds(10);
    // Maximum time between two parts of a body.
    core::duration body_idle_timeout = std::chrono::seconds(10);
    // Maximum time to send a generated response, and to discard an unread body before it.
    core::duration response_write_timeout = std::chrono::seconds(10);
    // Maximum time to wait, after the last response, for the caller to close the connection.
    core::duration peer_close_timeout = std::chrono::seconds(1);
    // Time allowed for a request if the caller requests none, and the most that a caller can request.
    core::duration default_deadline = std::chrono::seconds(10);
    core::duration deadline_limit = std::chrono::seconds(30);
    // After drain(), connections without a request stay open this long, so that requests already on their way
    // to the instance are still served.
    core::duration drain_linger = std::chrono::seconds(1);
    // Maximum time to open a connection to an endpoint; zero if only the request's deadline limits it.
    core::duration connect_timeout{0};
    // A response up to this size is received and checked completely before any of it is relayed; with zero,
    // every part is relayed as it arrives.
    std::size_t response_buffer_bytes = 0;
    // Maximum number of responses to other requests that are discarded on an upstream connection before the
    // attempt fails.
    unsigned max_discarded_responses = 2;
    dispatch::message_profile profile;
    // Requests for this path are answered by the hook serve_lookup, if there is one.
    std::string lookup_path = "/v1/entry";
    dispatch::retry_options retry;
    dispatch::retry_budget_options retry_budget;
};

} // namespace quetzalspan::caller
