// Holds the part of each workspace's limit that is not partitioned into shares. Two instances, the granters
// of the workspace, grant it to the others one token at a time. While answers are lost, instances ask the
// second granter although the first one still grants tokens, so each of the two has its own part of the
// reserve.

#pragma once

#include "quota/fleet_quota.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::quota
{

// What this instance is for a workspace: the granter that instances ask first for tokens, the one that they
// ask if the first does not answer, or neither.
enum class granter_role { none, primary, secondary };

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

    // Records what this instance is for the workspace at present. Tokens of a role that it did not have
    // before accumulate from takeover_delay later, so that the previous granter, which may not know of the
    // change yet, has stopped by then.
    void set_role(std::string_view workspace, granter_role role, core::instant now);

    // Decides whether to grant a token for one request of an instance in the present role. A workspace that
    // is not in the limits, and one for which this instance has no role, is never granted one, and
    // retry_after stays zero.
    quota_decision grant(std::string_view workspace, core::instant now);

    // Empties the token buckets, which refill from takeover_delay later. Called when the other instances may
    // have chosen another granter for a while.
    void discard_tokens(core::instant now);

    // Returns the workspaces with a limit.
    std::vector<std::string> workspaces() const;

private:
    struct workspace_reserve {
        workspace_limit limit;
        granter_role role;
        // The tokens granted in the role.
        token_bucket bucket;
    };

    void apply_limit(workspace_reserve& target, core::instant now) const;

    quota_options m_options;
    mutable std::mutex m_mutex;
    // The members below are guarded by m_mutex.
    std::size_t m_fleet_size = 1;
    // Keyed by the name of the workspace.
    std::map<std::string, workspace_reserve, std::less<>> m_workspaces;
};

} // namespace quetzalspan::quota
