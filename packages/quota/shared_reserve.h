// Holds the part of each workspace's limit that is not partitioned into shares. A collector grants it to
// instances one token at a time. While answers are lost, instances ask a second collector although the first
// one still grants tokens, so each of the two collectors has its own part of the reserve.

#pragma once

#include "quota/fleet_quota.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::quota
{

// Which collector this is for a workspace: the one that instances ask first for tokens, or the one that they
// ask if the first does not answer.
enum class granter_role { primary, secondary };

// Thread-safe.
class grantable_reserve
{
public:
    explicit grantable_reserve(quota_options options) : m_options(options) {}

    grantable_reserve(const grantable_reserve&) = delete;
    grantable_reserve& operator=(const grantable_reserve&) = delete;

    // Replaces all limits. Workspaces that had a limit before keep their tokens.
    void set_limits(const std::vector<workspace_limit>& limits, core::instant now);

    // Sets the number of instances in the fleet, which determines the size of the reserve.
    void set_fleet_size(std::size_t size, core::instant now);

    // Decides whether to grant a token for one request of an instance. A workspace that is not in the limits
    // is never granted one, and retry_after stays zero.
    quota_decision grant(std::string_view workspace, granter_role role, core::instant now);

private:
    struct workspace_reserve {
        workspace_limit limit;
        // The tokens granted in the role granter_role::primary.
        token_bucket first;
        // The tokens granted in the role granter_role::secondary.
        token_bucket second;
    };

    void apply_limit(workspace_reserve& target, core::instant now) const;

    quota_options m_options;
    std::mutex m_mutex;
    // The members below are guarded by m_mutex.
    std::size_t m_fleet_size = 1;
    // Keyed by the name of the workspace.
    std::map<std::string, workspace_reserve, std::less<>> m_workspaces;
};

} // namespace quetzalspan::quota
