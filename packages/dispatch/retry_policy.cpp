// Applies the outcome table, the retry limit, the deadline and the retry budget to a failed attempt.

#include "dispatch/retry_policy.h"

namespace quetzalspan::dispatch
{

bool decide_retry(const retry_options& options, const attempt_state& state, failure cause, core::instant now,
                  retry_budget& budget)
{
    if (!allows_retry(cause, state.is_idempotent) || !state.is_body_replayable) {
        return false;
    }
    if (state.attempts > options.max_retries || state.deadline - now < options.min_remaining_time) {
        return false;
    }
    return budget.try_spend();
}

} // namespace quetzalspan::dispatch
