// The fleet-wide limits of a configuration, and the names under which instances share them.

#pragma once

#include "allowance/limit_definition.h"
#include "config/model.h"

#include <string>
#include <string_view>

namespace quetzalspan::node
{

// Limits are counted in micro-tokens. One token stands for one request, one permit or one byte.
inline constexpr std::int64_t micro_per_token = 1'000'000;

// Return the name of a limit, which is its key among all instances.
std::string workspace_limit_name(std::string_view workspace);
std::string slot_limit_name(std::string_view service, std::string_view endpoint);
std::string shift_limit_name(std::string_view from_region, std::string_view to_region);
std::string link_limit_name(std::string_view from_region, std::string_view to_region);

// Returns the limits of the configuration: the request rates of workspaces, the permits of endpoints, and the
// caps on shifts and links between regions. The revision of the result is that of the configuration.
allowance::limit_set compute_fleet_limits(const config::configuration& configuration);

} // namespace quetzalspan::node
