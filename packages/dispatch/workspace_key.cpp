// Checks the number and length of key fields in a header and computes the digest of the key.

#include "dispatch/workspace_key.h"

#include "core/digest.h"

namespace quetzalspan::dispatch
{

workspace_key workspace_key::create(const boost::beast::http::fields& fields, const message_profile& profile)
{
    workspace_key result;
    const std::size_t count = fields.count(profile.key_field);
    const boost::beast::string_view value = fields[profile.key_field];
    if (count == 0) {
        result.m_fault = failure::key_missing;
    } else if (count > 1) {
        result.m_fault = failure::key_duplicated;
    } else if (value.empty() || value.size() > max_key_bytes) {
        result.m_fault = failure::key_malformed;
    } else {
        result.m_digest = core::sha256_hex(std::string_view(value.data(), value.size()));
    }
    return result;
}

} // namespace quetzalspan::dispatch
