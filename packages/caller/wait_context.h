// The deadline and the cancellation of a wait inside a hook.

#pragma once

#include "core/time.h"

#include <functional>

namespace quetzalspan::caller
{

// Outlives the coroutine of the hook. Used only on the strand of the request.
struct wait_context {
    core::instant deadline;
    // Set once the caller has disconnected. The result of the hook is then ignored.
    bool is_cancelled = false;
    // A hook that waits sets this to a function that ends the wait early. The function is called at most
    // once, on the strand of the request.
    std::function<void()> on_cancel;
};

} // namespace quetzalspan::caller
