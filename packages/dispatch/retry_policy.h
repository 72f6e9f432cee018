// Decides whether a request is sent again after a failed attempt.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"
#include "dispatch/retry_budget.h"

#include <cstdint>

namespace quetzalspan::dispatch
{

struct retry_options {
    // The maximum of attempts after the first one.
    std::uint32_t max_retries = 2;
    // No retry with less time than this before the deadline: it would hardly succeed and only add load.
    core::duration min_remaining_time = std::chrono::milliseconds(5);
};

// What is known about a request when an attempt has failed.
struct attempt_state {
    // Attempts made so far, including the failed one.
    std::uint32_t attempts = 0;
    bool is_idempotent = false;
    // Whether the whole body of the request can be sent again.
    bool is_body_replayable = true;
    core::instant deadline;
    // Attempts in which an endpoint may have received a part of the request. decide_retry() does not use
    // them.
    std::uint32_t sent_attempts = 0;
};

// Returns whether to retry, and takes one retry from the budget if so.
bool decide_retry(const retry_options& options, const attempt_state& state, failure cause, core::instant now,
                  retry_budget& budget);

} // namespace quetzalspan::dispatch
