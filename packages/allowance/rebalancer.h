// Decides how shares follow demand: which peers to ask for which amounts, and how much to grant. Each
// instance compares itself only with the peers from which it receives heartbeats. The host bounds their
// number, so the cost does not grow with the fleet.

#pragma once

#include "allowance/peer_view.h"
#include "allowance/share_table.h"

#include <string>
#include <vector>

namespace quetzalspan::allowance
{

struct rebalancer_settings {
    // A deviation below this fraction of the target causes no transfer. Without the dead band, shares would
    // move back and forth with the noise of the measured demand.
    double dead_band = 0.10;
    // Maximum number of peers asked in one rebalancing pass.
    std::size_t max_requests = 3;
    // Maximum number of peers asked at the same time on behalf of one waiting request.
    std::size_t max_urgent_requests = 3;
};

class rebalancer
{
public:
    // A request that the caller should open to a peer.
    struct planned_request {
        std::string to;
        std::vector<limit_amount> wanted;
    };

    explicit rebalancer(rebalancer_settings settings) : m_settings(settings) {}

    // Returns the requests of one rebalancing pass, the one for the most limits first.
    std::vector<planned_request> plan(const share_table& table, const peer_map& peers,
                                      const std::string& self, std::string_view own_region) const;

    // Returns the requests, best peer first, that should bring in the tokens missing for a waiting request.
    std::vector<planned_request> plan_urgent(const std::string& limit, std::int64_t missing_micro,
                                             const peer_map& peers, core::instant now) const;

    // Returns how much of the wanted amount this instance grants. has_waiting_requests: requests of this
    // instance wait for tokens of the limit themselves.
    amount decide_grant(const share_table::entry& limit_entry, const amount& wanted, bool is_urgent,
                        bool has_waiting_requests, const peer_map& peers) const;

    // Returns the rate and the burst that this instance should hold of the limit, given its own demand and
    // that of its peers. Returns its current holding if there is no demand at all.
    static amount compute_target(const share_table::entry& limit_entry, const peer_map& peers);

private:
    // Returns the free permits that an instance can give away, in millionths.
    static std::int64_t compute_spare_permits(const amount& holding, std::int64_t in_use_demand);

    rebalancer_settings m_settings;
};

} // namespace quetzalspan::allowance
