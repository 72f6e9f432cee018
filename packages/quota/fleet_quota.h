// Holds each workspace's rate and burst over the whole fleet. Each instance enforces a share of the limit.
// The shares follow the demand that instances tell each other; an instance that was not heard of lately is
// left its even share, so that a message that is lost or late lets no workspace above its limit.

#pragma once

#include "quota/demand_meter.h"
#include "quota/token_bucket.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::quota
{

struct quota_options {
    // The window over which the sum of all instances is judged, and what is tolerated above the limit: a
    // share of it and a number of requests.
    core::duration window = std::chrono::seconds(5);
    double tolerated_share = 0;
    double tolerated_requests = 0;
    // Part of the tolerance that is used; the rest covers instances that disagree about the fleet for a
    // while.
    double tolerance_use = 0.5;
    // Part of its even share that an instance keeps whatever its demand is, for the first requests of a
    // workspace that it has not seen.
    double floor_share = 0.3;
    core::duration demand_time_constant = std::chrono::milliseconds(1000);
    // A peer whose demand is older than this is left its even share.
    core::duration demand_lifetime = std::chrono::milliseconds(1600);
};

struct workspace_limit {
    std::string workspace;
    // Requests per second of the whole fleet; 0 for no limit.
    double rate = 0;
    double burst = 0;
};

// What a peer told of its demand.
struct peer_demand {
    core::instant heard;
    // Requests per second by workspace; a workspace that is missing has none.
    std::map<std::string, double, std::less<>> rates;
};

struct quota_decision {
    bool is_admitted = false;
    // When to try again; zero if unknown.
    core::duration retry_after{0};
    // What decided: the share of the limit, the tokens left and the own demand.
    double share = 0;
    double tokens = 0;
    double demand = 0;
};

// Returns the part of a limit, from 0 to 1, that an instance may use.
double share_of_limit(double own_demand, const std::vector<double>& heard_demands, std::size_t unheard_peers,
                      double floor_share);

// Threads may share a quota.
class fleet_quota
{
public:
    explicit fleet_quota(quota_options options) : m_options(options) {}

    fleet_quota(const fleet_quota&) = delete;
    fleet_quota& operator=(const fleet_quota&) = delete;

    void set_limits(const std::vector<workspace_limit>& limits, core::instant now);

    // Sets the other instances of the fleet. One that is new counts as not heard of.
    void set_peers(const std::vector<std::string>& peers, core::instant now);

    void record_demand(const std::string& peer, peer_demand demand);

    // Decides about one request. A workspace without a limit is always admitted.
    quota_decision admit(std::string_view workspace, core::instant now);

    // Divides the limits anew by the present demand.
    void rebalance(core::instant now);

    // The own demand by workspace, for the peers. Leaves out what is too small to matter.
    std::map<std::string, double, std::less<>> demands(core::instant now);

private:
    struct account {
        account(const quota_options& options, core::instant now)
            : bucket(now), demand(options.demand_time_constant, now)
        {
        }

        workspace_limit limit;
        token_bucket bucket;
        demand_meter demand;
        double share = 0;
    };

    void rebalance_locked(core::instant now);
    void apply_share(account& target, core::instant now) const;

    quota_options m_options;
    std::mutex m_guard;
    // The rest is guarded by m_guard.
    std::map<std::string, account, std::less<>> m_accounts;
    std::map<std::string, std::optional<peer_demand>, std::less<>> m_peers;
};

} // namespace quetzalspan::quota
