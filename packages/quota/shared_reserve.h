// The part of each limit that is not divided into shares. A collector grants it in single requests. While
// answers are lost, instances ask a second collector although the first one still grants, so each of the two
// has a part of its own.

#pragma once

#include "quota/fleet_quota.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::quota
{

// The collector that is asked first for the tokens of a workspace, and the one that is asked if it is silent.
enum class granter_role { first, second };

// Threads may share a reserve.
class shared_reserve
{
public:
    explicit shared_reserve(quota_options options) : m_options(options) {}

    shared_reserve(const shared_reserve&) = delete;
    shared_reserve& operator=(const shared_reserve&) = delete;

    void set_limits(const std::vector<workspace_limit>& limits, core::instant now);

    // Sets the number of instances of the fleet, on which the size of the reserve depends.
    void set_fleet_size(std::size_t size, core::instant now);

    // Decides about one request of an instance. A workspace that is not known gets nothing.
    quota_decision grant(std::string_view workspace, granter_role role, core::instant now);

private:
    struct account {
        workspace_limit limit;
        token_bucket first;
        token_bucket second;
    };

    void apply_limit(account& target, core::instant now) const;

    quota_options m_options;
    std::mutex m_guard;
    // The rest is guarded by m_guard.
    std::size_t m_fleet_size = 1;
    // By workspace.
    std::map<std::string, account, std::less<>> m_accounts;
};

} // namespace quetzalspan::quota
