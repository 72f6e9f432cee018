// Limits and times of the server that faces the callers.

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
    // A body up to this size is read whole before the request is sent, so that a slow sender holds no
    // endpoint and the request can be tried again.
    std::size_t replay_limit_bytes = 64 * 1024;
    // Memory of one connection for each direction of a streamed body.
    std::size_t relay_buffer_bytes = 16 * 1024;
    // An unread body up to this size is read and dropped after a rejection; a longer one ends the connection.
    std::uint64_t discard_limit_bytes = 64 * 1024;
    // Time between requests.
    core::duration idle_time = std::chrono::seconds(60);
    // Time from the first byte of a header to its last.
    core::duration header_time = std::chrono::seconds(10);
    // Time between two parts of a body.
    core::duration body_idle_time = std::chrono::seconds(10);
    // Time to send a generated response.
    core::duration response_time = std::chrono::seconds(10);
    // Time to wait for the caller to close a connection after its last response.
    core::duration close_time = std::chrono::seconds(1);
    // Time allowed for a request whose caller names none, and the most that a caller can name.
    core::duration default_deadline = std::chrono::seconds(10);
    core::duration deadline_limit = std::chrono::seconds(30);
    // After drain(), connections without a request stay open this long, so that requests on their way to the
    // instance are still answered.
    core::duration drain_linger = std::chrono::seconds(1);
    // Time to open a connection to an endpoint; zero for no limit but the deadline.
    core::duration connect_time{0};
    // A response up to this size is received and checked whole before any of it is relayed; zero relays
    // everything as it comes.
    std::size_t response_buffer_bytes = 0;
    // Responses to other requests that are dropped while the own one is awaited on a connection.
    unsigned foreign_response_limit = 2;
    dispatch::message_profile profile;
    // Path of the lookup; requests for it go to the lookup hook.
    std::string lookup_path = "/v1/entry";
    dispatch::retry_options retry;
    dispatch::retry_budget_options retry_budget;
};

} // namespace quetzalspan::caller
