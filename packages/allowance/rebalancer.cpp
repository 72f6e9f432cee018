// Computes target holdings from demand and turns the deviations from them into transfer requests and grants.

#include "allowance/rebalancer.h"

#include "allowance/scaling.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <tuple>

namespace quetzalspan::allowance
{

namespace
{

// Demand below one request in 20 s counts as none: such an instance requests tokens from a peer when it needs
// them.
constexpr std::int64_t negligible_demand_micro = micro_per_token / 20;

// A burst below one token can never admit a request, so the rate held with it would be wasted. The additional
// quarter of a token prevents the dead band from leaving an instance slightly below one token.
constexpr std::int64_t min_burst_micro = micro_per_token * 5 / 4;

std::int64_t ignore_negligible_demand(std::int64_t demand_micro)
{
    return demand_micro < negligible_demand_micro ? 0 : demand_micro;
}

// Estimates the tokens that a peer has now by extrapolating from its last heartbeat, over at most 2 s.
std::int64_t estimate_tokens(const peer_state& peer, const demand_summary& summary, core::instant now)
{
    const std::int64_t elapsed_ms =
        std::clamp<std::int64_t>(core::to_milliseconds(now - peer.heard_at), 0, 2000);
    const std::int64_t net = summary.holding.rate_micro - summary.demand_micro;
    const std::int64_t tokens = summary.holding.tokens_micro + net / 1000 * elapsed_ms;
    return std::clamp<std::int64_t>(tokens, 0, summary.holding.burst_micro);
}

} // namespace

amount rebalancer::compute_target(const share_table::entry& limit_entry, const peer_map& peers)
{
    const share& own = *limit_entry.value;
    const std::int64_t own_demand = ignore_negligible_demand(own.demand_micro());
    std::int64_t demand = own_demand;
    std::int64_t rate = own.rate_micro();
    std::int64_t burst = own.burst_micro();
    std::int64_t active = own_demand > 0 ? 1 : 0;
    for (const auto& [id, peer] : peers) {
        const demand_summary* summary = peer.find(limit_entry.definition.name);
        if (summary == nullptr) {
            continue;
        }
        const std::int64_t peer_demand = ignore_negligible_demand(summary->demand_micro);
        demand += peer_demand;
        active += peer_demand > 0 ? 1 : 0;
        rate += summary->holding.rate_micro;
        burst += summary->holding.burst_micro;
    }
    if (demand == 0) {
        return own.holding();
    }
    amount wanted;
    wanted.rate_micro = scale_rounding_down(rate, own_demand, demand);
    // If there is enough burst for all, each instance with demand keeps at least one token of it, so that its
    // next request need not wait for a transfer. The rest of the burst is divided in proportion to demand.
    const std::int64_t floor = burst >= 2 * active * min_burst_micro ? min_burst_micro : 0;
    wanted.burst_micro =
        scale_rounding_down(burst - floor * active, own_demand, demand) + (own_demand > 0 ? floor : 0);
    return wanted;
}

std::vector<rebalancer::planned_request> rebalancer::plan(const share_table& table, const peer_map& peers,
                                                          const std::string& self,
                                                          std::string_view own_region) const
{
    std::map<std::string, std::vector<limit_amount>> wanted_by_peer;
    for (const auto& [name, limit_entry] : table.entries()) {
        const share& own = *limit_entry.value;
        if (limit_entry.definition.kind == limit_kind::permits) {
            const bool is_local =
                limit_entry.definition.region.empty() || limit_entry.definition.region == own_region;
            if (own.burst_micro() >= micro_per_token || !is_local) {
                continue;
            }
            // Asks for one free permit of a peer that has at least two. The hash makes instances and limits
            // prefer different peers, so that the requests do not all go to the same peer.
            const std::string* best = nullptr;
            std::uint64_t best_weight = 0;
            for (const auto& [id, peer] : peers) {
                const demand_summary* summary = peer.find(name);
                if (summary == nullptr ||
                    compute_spare_permits(summary->holding, summary->demand_micro) < micro_per_token) {
                    continue;
                }
                const std::uint64_t weight = core::stable_hash(self + '/' + name, core::stable_hash(id));
                if (best == nullptr || weight > best_weight) {
                    best = &id;
                    best_weight = weight;
                }
            }
            if (best != nullptr) {
                const std::int64_t missing = micro_per_token - own.burst_micro();
                wanted_by_peer[*best].push_back({name, {0, missing, missing}});
            }
            continue;
        }
        const amount wanted = compute_target(limit_entry, peers);
        std::int64_t rate_deficit = wanted.rate_micro - own.rate_micro();
        std::int64_t burst_deficit = wanted.burst_micro - own.burst_micro();
        const auto margin = [this](std::int64_t value) {
            return static_cast<std::int64_t>(static_cast<double>(value) * m_settings.dead_band) + 1;
        };
        const bool has_rate_deficit = rate_deficit > margin(wanted.rate_micro);
        const bool lacks_token = own.burst_micro() < micro_per_token && wanted.burst_micro >= micro_per_token;
        const bool has_burst_deficit = lacks_token || burst_deficit > margin(wanted.burst_micro);
        if (!has_rate_deficit && !has_burst_deficit) {
            continue;
        }
        rate_deficit = std::max<std::int64_t>(rate_deficit, 0);
        burst_deficit = std::max<std::int64_t>(burst_deficit, 0);
        std::vector<std::tuple<int, std::int64_t, std::string, amount>> lenders;
        for (const auto& [id, peer] : peers) {
            const demand_summary* summary = peer.find(name);
            if (summary == nullptr) {
                continue;
            }
            // Assumes that the peer's target is in proportion to its demand, as that of this instance is.
            const std::int64_t demand =
                std::max<std::int64_t>(ignore_negligible_demand(own.demand_micro()), 1);
            const std::int64_t peer_demand = ignore_negligible_demand(summary->demand_micro);
            amount spare;
            spare.rate_micro = std::max<std::int64_t>(
                0, summary->holding.rate_micro - scale_rounding_down(wanted.rate_micro, peer_demand, demand));
            spare.burst_micro =
                std::max<std::int64_t>(0, summary->holding.burst_micro -
                                              scale_rounding_down(wanted.burst_micro, peer_demand, demand));
            if (spare.rate_micro > 0 || spare.burst_micro > 0) {
                lenders.emplace_back(static_cast<int>(peer.distance), -(spare.rate_micro + spare.burst_micro),
                                     id, spare);
            }
        }
        // Prefers the peer with the most to spare. Distance only breaks ties, since in a large fleet few of
        // the peers heard are outside this region.
        std::sort(lenders.begin(), lenders.end(), [](const auto& left, const auto& right) {
            return std::tie(std::get<1>(left), std::get<0>(left), std::get<2>(left)) <
                   std::tie(std::get<1>(right), std::get<0>(right), std::get<2>(right));
        });
        for (const auto& [distance, negative_total, id, spare] : lenders) {
            const amount part{std::min(rate_deficit, spare.rate_micro),
                              std::min(burst_deficit, spare.burst_micro),
                              std::min(burst_deficit, spare.burst_micro)};
            if (part.rate_micro == 0 && part.burst_micro == 0) {
                continue;
            }
            wanted_by_peer[id].push_back({name, part});
            rate_deficit -= part.rate_micro;
            burst_deficit -= part.burst_micro;
        }
    }
    std::vector<planned_request> planned;
    for (auto& [id, wanted] : wanted_by_peer) {
        planned.push_back({id, std::move(wanted)});
    }
    std::stable_sort(planned.begin(), planned.end(),
                     [](const planned_request& left, const planned_request& right) {
                         return left.wanted.size() > right.wanted.size();
                     });
    if (planned.size() > m_settings.max_requests) {
        planned.resize(m_settings.max_requests);
    }
    return planned;
}

std::vector<rebalancer::planned_request> rebalancer::plan_urgent(const std::string& limit,
                                                                 std::int64_t missing_micro,
                                                                 const peer_map& peers,
                                                                 core::instant now) const
{
    std::vector<std::tuple<bool, int, std::int64_t, std::string>> candidates;
    for (const auto& [id, peer] : peers) {
        const demand_summary* summary = peer.find(limit);
        if (summary == nullptr) {
            continue;
        }
        const std::int64_t tokens = estimate_tokens(peer, *summary, now);
        // Peers with too low an estimate are asked last rather than never: under overload all estimates are
        // low, and tokens idle at a peer would stay unused.
        if (summary->holding.burst_micro > 0) {
            candidates.emplace_back(tokens < missing_micro, static_cast<int>(peer.distance), -tokens, id);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<planned_request> planned;
    std::int64_t expected_micro = 0;
    for (const auto& [is_insufficient, distance, negative_tokens, id] : candidates) {
        // Stops once the estimates add up to twice the missing tokens. The factor covers estimates that are
        // up to one heartbeat interval old.
        if (planned.size() >= m_settings.max_urgent_requests || expected_micro >= 2 * missing_micro) {
            break;
        }
        // Asks for tokens together with the burst that they need. The rate is not requested, since it follows
        // demand rather than single requests.
        planned.push_back({id, {{limit, {0, missing_micro, missing_micro}}}});
        expected_micro += -negative_tokens;
    }
    return planned;
}

amount rebalancer::decide_grant(const share_table::entry& limit_entry, const amount& wanted, bool is_urgent,
                                bool has_waiting_requests, const peer_map& peers) const
{
    const share& own = *limit_entry.value;
    const amount holding = own.holding();
    if (limit_entry.definition.kind == limit_kind::permits) {
        const std::int64_t free = is_urgent ? (has_waiting_requests ? 0 : holding.tokens_micro)
                                            : compute_spare_permits(holding, own.demand_micro());
        const std::int64_t given =
            std::clamp<std::int64_t>(std::min(free, wanted.tokens_micro), 0, holding.tokens_micro);
        return {0, given, given};
    }
    if (is_urgent) {
        // Tokens move together with the burst that they need. This instance keeps the burst for what it
        // accrues in 50 ms, a few ticks. Otherwise overload would move the burst away from where the rate is,
        // and the rate would be wasted.
        const std::int64_t movable = holding.burst_micro - holding.rate_micro / 20;
        const std::int64_t given =
            has_waiting_requests
                ? 0
                : std::clamp<std::int64_t>(std::min(wanted.tokens_micro, movable), 0, holding.tokens_micro);
        return {0, given, given};
    }
    const amount target = compute_target(limit_entry, peers);
    amount given;
    given.rate_micro = std::clamp<std::int64_t>(holding.rate_micro - target.rate_micro, 0, wanted.rate_micro);
    given.burst_micro =
        std::clamp<std::int64_t>(holding.burst_micro - target.burst_micro, 0, wanted.burst_micro);
    // Tokens move in proportion to the burst, so that the tokens that stay still fit into the burst that
    // stays.
    given.tokens_micro = scale_rounding_down(holding.tokens_micro, given.burst_micro, holding.burst_micro);
    return given;
}

std::int64_t rebalancer::compute_spare_permits(const amount& holding, std::int64_t in_use_demand)
{
    // Keeps one whole free permit beyond the current and the smoothed use. Fractions of a permit are given
    // only from what exceeds this reserve.
    const std::int64_t in_use = holding.burst_micro - holding.tokens_micro;
    const std::int64_t reserved = std::max(in_use, in_use_demand) + micro_per_token;
    return std::max<std::int64_t>(0, std::min(holding.burst_micro - reserved, holding.tokens_micro));
}

} // namespace quetzalspan::allowance
