// The properties of a request that are passed to the hooks. They contain a digest of the workspace key, never
// the key itself.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::caller
{

// The views stay valid until the hook on_finished() has returned for the request.
struct request_summary {
    std::string_view method;
    std::string_view target;
    // SHA-256 of the workspace key in hexadecimal digits; empty if the key is missing or malformed, which
    // key_fault reports. Public routes ignore both members.
    std::string_view key_digest;
    std::optional<dispatch::failure> key_fault;
    // Value of the Idempotency-Key field; empty if the request has none.
    std::string_view idempotency_key;
    std::string_view request_id;
    std::string_view peer_address;
    // Value of the Host field.
    std::string_view host;
    // Value of the affinity cookie, which names the object that the request concerns; empty if there is none.
    std::string_view affinity_key;
    // Hash of what an endpoint receives of the request, without its identifier: host, method, target, and the
    // beginning and the length of the body. The same for each attempt of a caller. Set once the body has been
    // read as far as it is before the request is sent.
    std::uint64_t fingerprint = 0;
    bool is_idempotent = false;
    core::instant received_at;
    core::instant deadline;
};

} // namespace quetzalspan::caller
