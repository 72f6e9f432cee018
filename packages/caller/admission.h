// The result of admitting a request: the workspace that it belongs to, the service that serves it, and the
// limits that its route sets.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzalspan::caller
{

struct admission {
    // Names of up to 15 characters fit into the string object and need no allocation. The workspace is empty
    // on a public route.
    std::string workspace;
    std::string service;
    bool is_public = false;
    // Whether the route allows the request to run more than once. Without a value the method decides.
    std::optional<bool> is_repeatable;
    // Maximum time from the receipt of the request to the end of its response; zero for no limit.
    core::duration time_limit{0};
    // Maximum number of endpoints that may receive the request; 0 if the retry options of the server decide.
    std::uint32_t max_attempts = 0;
    // Data that the hooks pass from one call to the next; the server does not read it. configuration_revision
    // is that of the configuration that admitted the request.
    std::uint64_t configuration_revision = 0;
    std::uint32_t workspace_index = 0;
    std::uint32_t service_index = 0;
    std::shared_ptr<void> hook_data;
};

} // namespace quetzalspan::caller
