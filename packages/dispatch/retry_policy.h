// Decides whether a failed attempt is followed by another one.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"
#include "dispatch/retry_budget.h"

#include <cstdint>

namespace quetzalspan::dispatch
{

struct retry_options {
    // Attempts after the first one.
    std::uint32_t retry_limit = 2;
    // An attempt with less time left than this would only add load.
    core::duration least_remaining = std::chrono::milliseconds(5);
};

// What is known about a request when an attempt has failed.
struct attempt_state {
    // Attempts made so far, including the failed one.
    std::uint32_t attempts = 0;
    bool is_idempotent = false;
    // Whether the whole body can be sent once more.
    bool is_body_replayable = true;
    core::instant deadline;
    // Attempts of which an endpoint can have received the request.
    std::uint32_t sends = 0;
};

// Returns whether to try again, and takes one retry from the budget if so.
bool decide_retry(const retry_options& options, const attempt_state& state, failure at, core::instant now,
                  retry_budget& budget);

} // namespace quetzalspan::dispatch
