// What the decision to admit a request determined: for whom it runs and which service serves it.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzalspan::caller
{

struct admission {
    // Names up to 15 characters need no allocation. The workspace is empty on a public route.
    std::string workspace;
    std::string service;
    bool is_public = false;
    // Whether the route allows that the request runs more than once; without a value the method decides.
    std::optional<bool> is_repeatable;
    // The longest time from the receipt to the final response; zero for no limit.
    core::duration time_limit{0};
    // The most endpoints that may receive the request; 0 if the options of the server decide.
    std::uint32_t attempt_limit = 0;
    // For the hooks; the server does not use them.
    std::uint64_t revision = 0;
    std::uint32_t workspace_index = 0;
    std::uint32_t service_index = 0;
    std::shared_ptr<void> context;
};

} // namespace quetzalspan::caller
