// Why quetzalspan answers a request with an error of its own instead of a response from an upstream.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"

#include <optional>

namespace quetzalspan::caller
{

struct rejection {
    dispatch::failure failure = dispatch::failure::internal_error;
    // Value of the Retry-After field, which is rounded up to seconds unless the message profile allows
    // fractions. With zero, the field is omitted.
    core::duration retry_after{0};
    // For a duplicate request, the recorded outcome of the first request; no value if it is not known. Not
    // used for other failures.
    std::optional<dispatch::outcome> recorded = std::nullopt;
};

} // namespace quetzalspan::caller
