// The key of a request: exactly one key header with a value of bounded length, known only by its digest.

#pragma once

#include "dispatch/message_profile.h"
#include "dispatch/outcome.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace quetzalspan::dispatch
{

// Longer values are rejected before they are digested, so the cost of a check has a bound.
inline constexpr std::size_t key_limit_bytes = 256;

// What the key header of a request holds. The key itself is not kept: no log line or upstream may show it.
class key_header
{
public:
    static key_header create(const boost::beast::http::fields& fields,
                             const message_profile& profile = default_message_profile());

    // Why the header is unfit; no value if there is a digest.
    std::optional<failure> fault() const { return m_fault; }

    // SHA-256 of the key as hexadecimal digits; empty if the header is unfit.
    const std::string& digest() const { return m_digest; }

private:
    key_header() = default;

    std::optional<failure> m_fault;
    std::string m_digest;
};

} // namespace quetzalspan::dispatch
