// When a caller that was rejected for its workspace's rate limit should come back.

#pragma once

#include "core/time.h"

namespace quetzalspan::quota
{

// Returns the time to wait. next_token is the time until the next token is expected. The smaller the part of
// the workspace's requests that is admitted, from 0 to 1, the longer a caller waits: of those that come back
// at the next token only that part is admitted, and the others would add to the load. position, from 0 to 1,
// is drawn at random for each caller and spreads the returns.
core::duration compute_retry_after(core::duration next_token, double admitted_fraction, double position);

} // namespace quetzalspan::quota
