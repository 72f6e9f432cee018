// What the hooks learn about a request. The key itself is not part of it.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::caller
{

// Valid until finished() has returned for the request.
struct request_summary {
    std::string_view method;
    std::string_view target;
    // SHA-256 of the key in hexadecimal digits; empty if there is a fault. Routes that need no key ignore
    // both.
    std::string_view key_digest;
    std::optional<dispatch::failure> key_fault;
    // Empty if the request has none.
    std::string_view idempotency_key;
    std::string_view request_id;
    std::string_view peer_address;
    // The Host field.
    std::string_view host;
    // The object that the request concerns; empty if unknown.
    std::string_view affinity;
    bool is_idempotent = false;
    core::instant received;
    core::instant deadline;
};

} // namespace quetzalspan::caller
