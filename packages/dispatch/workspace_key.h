// Reads the workspace key from a request's header. A request must have exactly one key field of bounded
// length, and only the digest of its value is kept.

#pragma once

#include "dispatch/message_profile.h"
#include "dispatch/outcome.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace quetzalspan::dispatch
{

// Longer values are rejected before they are hashed, which bounds the cost of a check.
inline constexpr std::size_t max_key_bytes = 256;

// The result of reading the key field. The key itself is not kept, because no log line or upstream may show
// it.
class workspace_key
{
public:
    // Reads the key field that the profile names. Anything but exactly one field with a value of 1 to
    // max_key_bytes bytes is a fault.
    static workspace_key create(const boost::beast::http::fields& fields,
                                const message_profile& profile = default_message_profile());

    // Returns why the key field is missing or invalid; no value if there is a digest.
    std::optional<failure> fault() const { return m_fault; }

    // Returns the SHA-256 of the key as hexadecimal digits; empty if there is a fault.
    const std::string& digest() const { return m_digest; }

private:
    workspace_key() = default;

    std::optional<failure> m_fault;
    std::string m_digest;
};

} // namespace quetzalspan::dispatch
