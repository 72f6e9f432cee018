// Manages the allowances of one incarnation of an instance: its shares, transfers, rebalancing, ledger rounds
// and authority. The host passes messages, results of store reads and results of writes to the manager from a
// single control thread, and executes the actions that the manager returns. Request threads use only the
// shares and authority::has_authority.

#pragma once

#include "allowance/action.h"
#include "allowance/ledger.h"
#include "allowance/peer_view.h"
#include "allowance/rebalancer.h"
#include "allowance/share_table.h"
#include "allowance/transfers.h"
#include "membership/authority.h"
#include "membership/member_tracker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::allowance
{

struct share_manager_settings {
    membership::authority_settings authority;
    rebalancer_settings rebalancing;
    // Time between two rebalancing passes, which compare shares with demand.
    core::duration rebalance_interval = std::chrono::milliseconds(100);
    // Time between two reads of the ledger round and the member list, which happen even if no watch reports a
    // change.
    core::duration poll_interval = std::chrono::seconds(1);
    // How long the reported holdings must add up to less than a limit before a repair round is requested.
    core::duration leak_confirmation_time = std::chrono::seconds(5);
    // In a larger fleet an instance does not receive heartbeats from every peer, so it cannot detect leaks
    // from the reported holdings. Repair rounds are then requested periodically and after limits were added.
    std::size_t max_heard_members = 64;
    // Time between two periodic repair rounds.
    core::duration repair_interval = std::chrono::minutes(10);
    // How long this instance grants no tokens of a limit to urgent requests of peers after a request of its
    // own has had to wait for them. Equals the time that a caller's request waits.
    core::duration urgent_reservation_time = std::chrono::milliseconds(50);
};

class share_manager
{
public:
    // self is the member record as created in the store; joined_revision and joined_round must be set.
    share_manager(share_manager_settings settings, const membership::member& self, core::instant now);

    share_manager(const share_manager&) = delete;
    share_manager& operator=(const share_manager&) = delete;

    // Accrues all shares and returns the actions that are due, with the periodic work at its own interval.
    // Must be called about every 10 ms; the longer the interval, the more of a burst goes unused.
    std::vector<action> tick(core::instant now);

    // Applies a newer set of limits. Returns false, and changes nothing, if the revision of the set is not
    // higher than the current one or if the shares were dropped.
    bool apply_limits(const limit_set& limits, core::instant now);

    // Handles a heartbeat of a peer or the response to one: the round of the peer, and its demand and
    // holdings. Limits that are not listed are removed from the view of the peer if the list is complete, and
    // are otherwise left unchanged.
    void on_heartbeat(const std::string& from, std::uint64_t round, const std::vector<demand_summary>& limits,
                      bool is_complete, core::instant now);
    // Returns the demand and holding of each limit, to be sent in heartbeats.
    std::vector<demand_summary> demand_summaries() const;

    // Returns the answer to send. The status is not_authorized if this instance has no authority, its shares
    // were dropped, or the requester is unknown or being fenced.
    share_grant on_share_request(const std::string& from, const share_request& request, core::instant now);
    // Returns the acknowledgement to send to the granting peer.
    grant_acknowledgement on_share_grant(const std::string& from, const share_grant& grant,
                                         core::instant now);
    void on_acknowledgement(const std::string& from, const grant_acknowledgement& acknowledgement,
                            core::instant now);
    // Returns the acknowledgement to send, or nothing if the sender is not in the member list last read. The
    // sender repeats the offer until it is acknowledged.
    std::optional<grant_acknowledgement> on_offer(const std::string& from, const share_offer& offer,
                                                  core::instant now);

    void on_members(const membership::member_list& list, core::instant now);
    void on_round(const round_observation& observed, core::instant now);
    void on_reports(const report_observation& observed);
    void on_write_result(const write_result& result, core::instant now);

    // Drops all shares, because the record of this member no longer exists in the store.
    void on_member_record_missing() { drop(drop_reason::record_missing); }

    // Asks peers for tokens on behalf of a caller's request that waits for the given number of micro-tokens.
    // Returns the messages to send. Should be called repeatedly while the request waits.
    std::vector<action> request_urgently(const std::string& limit, std::int64_t tokens_micro,
                                         core::instant now);

    // Starts the planned stop: from now on all shares are offered to peers.
    void begin_leaving() { m_is_leaving = true; }
    // Returns whether this instance holds no shares and all of its transfers are acknowledged.
    bool is_drained() const;

    bool is_dropped() const { return m_dropped.has_value(); }
    std::uint64_t round() const { return m_transfers.current_epoch().round; }
    // Returns whether the round last read from the store is the current one and is closed, so that no part of
    // the limits is waiting to be granted.
    bool is_settled() const { return m_ledger.is_settled(); }

    const share_table& shares() const { return m_shares; }
    const membership::member_tracker& member_tracker() const { return m_member_tracker; }
    membership::authority& authority() { return *m_authority; }
    std::shared_ptr<const membership::authority> shared_authority() const { return m_authority; }

private:
    void drop(drop_reason reason);
    void rebalance(core::instant now);
    // Offers everything that this instance holds to the nearest serving peer.
    void offer_all_shares(core::instant now);
    // Requests a repair round if allowance has been missing for the confirmation time.
    void request_repair_on_leak(core::instant now);
    // Returns whether the holdings of all members add up to less than a limit. Returns false if not all peers
    // are heard.
    bool has_leak(core::instant now) const;
    bool has_waiting_requests(const std::string& limit, core::instant now) const;

    share_manager_settings m_settings;
    membership::member m_self;
    membership::member_tracker m_member_tracker;
    std::shared_ptr<membership::authority> m_authority;
    share_table m_shares;
    transfers m_transfers;
    rebalancer m_rebalancer;
    ledger m_ledger;
    peer_map m_peers;
    // Limits for which requests of this instance wait, with the time until which tokens are reserved for
    // them.
    std::map<std::string, core::instant> m_waiting_until;
    // The time since which allowance has been missing; empty if none is.
    std::optional<core::instant> m_leak_since;
    core::instant m_repaired_at;
    bool m_has_new_limits = false;
    core::instant m_rebalanced_at = core::instant::min();
    core::instant m_polled_at = core::instant::min();
    bool m_is_leaving = false;
    std::optional<drop_reason> m_dropped;
    std::vector<action> m_actions;
};

} // namespace quetzalspan::allowance
