// State that all connections of one server share.

#pragma once

#include "caller/proxy_hooks.h"
#include "caller/proxy_options.h"
#include "dispatch/retry_budget.h"
#include "upstream/connection_pool.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace quetzalspan::caller
{

struct proxy_context {
    const proxy_options options;
    const proxy_hooks hooks;
    const std::shared_ptr<upstream::connection_pool> pool;
    dispatch::retry_budget budget;
    // Random prefix of each generated request identifier, so that identifiers of different instances differ.
    const std::string request_id_prefix;
    std::atomic<std::uint64_t> next_request_number{0};
    // Whether responses carry "Connection: close".
    std::atomic<bool> announces_close{false};
    std::atomic<std::uint32_t> active_requests{0};
    std::atomic<std::uint64_t> malformed_messages{0};
};

// Counts and logs a message that was rejected as malformed or unsupported, or a connection above the limit,
// and calls the hook for it.
void report_malformed_message(proxy_context& context, dispatch::failure at, std::string_view peer_address);

} // namespace quetzalspan::caller
