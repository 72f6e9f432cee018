// Reports messages that were rejected as malformed or unsupported.

#include "caller/proxy_context.h"

#include "core/log_event.h"

namespace quetzalspan::caller
{

void report_malformed_message(proxy_context& context, dispatch::failure at, std::string_view peer_address)
{
    context.malformed_messages.fetch_add(1, std::memory_order_relaxed);
    core::warning_event("message_rejected")
        .with("reason", dispatch::outcome_rule_for(at).reason)
        .with("peer", peer_address);
    if (context.hooks.on_message_rejected) {
        context.hooks.on_message_rejected(at, peer_address);
    }
}

} // namespace quetzalspan::caller
