// The interface to the configuration in the platform's store: read and compare-and-swap.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace quetzalspan::admin
{

// The configuration as the store holds it.
struct stored_configuration {
    // A configuration in JSON, not validated.
    std::string text;
    // The store's revision of the last write to the key, not the revision of the configuration.
    std::uint64_t store_revision = 0;
};

enum class write_outcome {
    applied,
    // The key no longer had the expected store revision; nothing was written.
    conflict,
    // No response arrived, or a server error; the write may have taken effect or may still take effect.
    unknown,
};

// Thrown if the store does not answer, refuses the call or responds with something that cannot be parsed. If
// a write throws it, nothing was written.
class store_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The configuration key of the store. Both hooks may throw store_error.
struct configuration_store {
    // Returns nothing if the key does not exist.
    std::function<std::optional<stored_configuration>()> read;
    // Writes the text if the store's revision of the key equals the expected one. 0 means that the key must
    // not exist.
    std::function<write_outcome(const std::string& text, std::uint64_t expected_revision)> write;
};

} // namespace quetzalspan::admin
