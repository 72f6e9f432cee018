// Connects shares, transfers, rebalancing, the ledger and authority, and turns their results into actions.

#include "allowance/share_manager.h"

#include "allowance/scaling.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quetzalspan::allowance
{

namespace
{

proximity compute_proximity(const membership::member& self, const membership::member& other)
{
    if (self.availability_zone == other.availability_zone) {
        return proximity::availability_zone;
    }
    return self.region == other.region ? proximity::region : proximity::elsewhere;
}

// Each change of a limit loses a few micro-tokens to rounding. A larger difference, above 1% of the limit and
// 10 micro-tokens, is a leak.
bool is_below_limit(std::int64_t held, std::int64_t limit)
{
    return held < limit - limit / 100 - 10;
}

} // namespace

share_manager::share_manager(share_manager_settings settings, const membership::member& self,
                             core::instant now)
    : m_settings(settings),
      m_self(self),
      m_member_tracker(self.id),
      m_authority(std::make_shared<membership::authority>(settings.authority)),
      m_transfers(self.id, m_shares),
      m_rebalancer(settings.rebalancing),
      m_ledger(self, settings.authority, m_member_tracker, *m_authority,
               ledger_hooks{
                   [this](std::uint64_t round) {
                       m_transfers.enter_epoch({round, m_shares.revision()});
                   },
                   [this] { return m_transfers.holdings(); },
                   [this](const std::vector<limit_amount>& remainder) { m_transfers.credit(remainder); },
                   [this](const std::vector<std::string>& fenced) { m_transfers.reclaim(fenced); },
                   [this](drop_reason reason) { drop(reason); },
               },
               now),
      m_repaired_at(now)
{
}

std::vector<action> share_manager::tick(core::instant now)
{
    if (m_dropped) {
        return std::exchange(m_actions, {});
    }
    m_transfers.set_time(now);
    m_authority->extend_if_alone(now);
    m_shares.accrue(now);
    const bool is_rebalance_due =
        m_rebalanced_at == core::instant::min() || now - m_rebalanced_at >= m_settings.rebalance_interval;
    if (!is_rebalance_due) {
        return std::exchange(m_actions, {});
    }
    m_rebalanced_at = now;
    m_shares.update_demand(now);
    std::erase_if(m_peers, [&](const auto& peer) {
        return !m_member_tracker.has_recent_heartbeat(peer.first, now) ||
               m_authority->refuses_to_vouch(peer.first);
    });
    for (transfers::addressed_request& due : m_transfers.take_due_requests(now)) {
        m_actions.emplace_back(send_request{std::move(due.to), std::move(due.request)});
    }
    for (transfers::addressed_offer& due : m_transfers.take_due_offers(now)) {
        m_actions.emplace_back(send_offer{std::move(due.to), std::move(due.offer)});
    }
    if (m_authority->has_authority(now)) {
        if (m_is_leaving) {
            offer_all_shares(now);
        } else {
            rebalance(now);
        }
    }
    request_repair_on_leak(now);
    if (m_polled_at == core::instant::min() || now - m_polled_at >= m_settings.poll_interval) {
        m_polled_at = now;
        m_actions.emplace_back(read_round{});
        m_actions.emplace_back(read_members{});
    }
    m_ledger.set_leaving(m_is_leaving);
    for (action& issued : m_ledger.tick(now)) {
        m_actions.push_back(std::move(issued));
    }
    return std::exchange(m_actions, {});
}

bool share_manager::apply_limits(const limit_set& limits, core::instant now)
{
    if (m_dropped) {
        return false;
    }
    m_transfers.set_time(now);
    const std::size_t former_limit_count = m_shares.entries().size();
    const bool is_applied = m_shares.apply(
        limits, now, [this](const std::string& name, const amount* old_limit, const amount* new_limit) {
            m_transfers.rescale(name, old_limit, new_limit);
        });
    if (!is_applied) {
        return false;
    }
    m_has_new_limits = m_has_new_limits || m_shares.entries().size() > former_limit_count;
    m_transfers.enter_epoch({m_transfers.current_epoch().round, limits.revision});
    m_ledger.set_limits(limits);
    return true;
}

void share_manager::on_heartbeat(const std::string& from, std::uint64_t round,
                                 const std::vector<demand_summary>& limits, bool is_complete,
                                 core::instant now)
{
    const membership::stored_member* sender = m_member_tracker.find_member(from);
    if (m_dropped || sender == nullptr) {
        return;
    }
    m_member_tracker.note_heartbeat(from, now);
    peer_state& peer = m_peers[from];
    peer.distance = compute_proximity(m_self, sender->record);
    peer.is_serving = sender->record.state == membership::member_state::serving;
    peer.heard_at = now;
    if (is_complete) {
        peer.limits.clear();
    }
    for (const demand_summary& summary : limits) {
        peer.limits.insert_or_assign(summary.limit_name, summary);
    }
    if (round > m_transfers.current_epoch().round) {
        m_ledger.request_round_read();
    }
}

std::vector<demand_summary> share_manager::demand_summaries() const
{
    std::vector<demand_summary> reported;
    for (const auto& [name, limit_entry] : m_shares.entries()) {
        reported.push_back({name, limit_entry.value->demand_micro(), limit_entry.value->holding()});
    }
    return reported;
}

share_grant share_manager::on_share_request(const std::string& from, const share_request& request,
                                            core::instant now)
{
    const membership::stored_member* requester = m_member_tracker.find_member(from);
    if (m_dropped || requester == nullptr || requester->record.state == membership::member_state::suspect ||
        m_authority->refuses_to_vouch(from) || !m_authority->has_authority(now)) {
        return m_transfers.reject(request, grant_status::not_authorized);
    }
    const share_grant grant =
        m_transfers.answer_request(from, request, now, [&](const std::string& limit, const amount& wanted) {
            const share_table::entry* limit_entry = m_shares.find(limit);
            limit_entry->value->accrue(now);
            return m_rebalancer.decide_grant(*limit_entry, wanted, request.is_urgent,
                                             has_waiting_requests(limit, now), m_peers);
        });
    // The next heartbeat of the requester may take half a second. Until then its holding is estimated by
    // adding the granted amounts.
    const auto peer = m_peers.find(from);
    for (const limit_amount& part : grant.granted) {
        if (peer == m_peers.end()) {
            break;
        }
        const auto summary = peer->second.limits.find(part.limit_name);
        if (summary != peer->second.limits.end()) {
            summary->second.holding.rate_micro += part.value.rate_micro;
            summary->second.holding.burst_micro += part.value.burst_micro;
            summary->second.holding.tokens_micro += part.value.tokens_micro;
        }
    }
    return grant;
}

grant_acknowledgement share_manager::on_share_grant(const std::string& from, const share_grant& grant,
                                                    core::instant now)
{
    m_transfers.set_time(now);
    const auto peer = m_peers.find(from);
    return m_transfers.apply_grant(grant, [&](const limit_amount& part) {
        if (peer == m_peers.end()) {
            return;
        }
        const auto summary = peer->second.limits.find(part.limit_name);
        if (summary != peer->second.limits.end()) {
            amount& holding = summary->second.holding;
            holding.rate_micro = std::max<std::int64_t>(0, holding.rate_micro - part.value.rate_micro);
            holding.burst_micro = std::max<std::int64_t>(0, holding.burst_micro - part.value.burst_micro);
            holding.tokens_micro = std::max<std::int64_t>(0, holding.tokens_micro - part.value.tokens_micro);
        }
    });
}

void share_manager::on_acknowledgement(const std::string& from, const grant_acknowledgement& acknowledgement,
                                       core::instant now)
{
    if (!m_dropped) {
        m_transfers.set_time(now);
        m_transfers.apply_acknowledgement(from, acknowledgement);
    }
}

std::optional<grant_acknowledgement> share_manager::on_offer(const std::string& from,
                                                             const share_offer& offer, core::instant now)
{
    if (m_member_tracker.find_member(from) == nullptr) {
        return std::nullopt;
    }
    m_transfers.set_time(now);
    return m_transfers.apply_offer(from, offer);
}

void share_manager::on_members(const membership::member_list& list, core::instant now)
{
    std::vector<std::string> former_ids;
    for (const auto& [id, entry] : m_member_tracker.entries()) {
        former_ids.push_back(id);
    }
    if (m_dropped || !m_member_tracker.set_list(list)) {
        return;
    }
    for (const std::string& id : former_ids) {
        if (m_member_tracker.find_member(id) == nullptr) {
            m_transfers.forget_member(id);
            m_peers.erase(id);
        }
    }
    std::vector<std::string> others;
    for (const auto& [id, entry] : m_member_tracker.entries()) {
        if (id != m_self.id) {
            others.push_back(id);
        }
    }
    m_authority->set_members(others);
    m_ledger.on_members(now);
}

void share_manager::on_round(const round_observation& observed, core::instant now)
{
    if (!m_dropped) {
        m_transfers.set_time(now);
        m_ledger.on_round(observed, now);
    }
}

void share_manager::on_reports(const report_observation& observed)
{
    if (!m_dropped) {
        m_ledger.on_reports(observed);
    }
}

void share_manager::on_write_result(const write_result& result, core::instant now)
{
    if (!m_dropped) {
        m_transfers.set_time(now);
        m_ledger.on_write_result(result, now);
    }
}

std::vector<action> share_manager::request_urgently(const std::string& limit, std::int64_t tokens_micro,
                                                    core::instant now)
{
    const share_table::entry* limit_entry = m_shares.find(limit);
    if (m_dropped || m_is_leaving || limit_entry == nullptr || !m_authority->has_authority(now)) {
        return {};
    }
    limit_entry->value->accrue(now);
    m_waiting_until[limit] = now + m_settings.urgent_reservation_time;
    const std::int64_t missing_micro = tokens_micro - limit_entry->value->tokens_micro();
    std::vector<action> sent;
    if (missing_micro <= 0) {
        return sent;
    }
    for (rebalancer::planned_request& planned :
         m_rebalancer.plan_urgent(limit, missing_micro, m_peers, now)) {
        if (!m_transfers.has_request(planned.to, true)) {
            share_request request =
                m_transfers.open_request(planned.to, true, std::move(planned.wanted), now);
            sent.emplace_back(send_request{std::move(planned.to), std::move(request)});
        }
    }
    return sent;
}

bool share_manager::is_drained() const
{
    return m_transfers.is_idle() &&
           std::all_of(m_shares.entries().begin(), m_shares.entries().end(),
                       [](const auto& entry) { return entry.second.value->holding() == amount{}; });
}

void share_manager::drop(drop_reason reason)
{
    if (m_dropped) {
        return;
    }
    m_dropped = reason;
    m_authority->revoke();
    m_shares.drop_all();
    // Enters a round in which no other member is, so that no transfer is applied any more.
    m_transfers.enter_epoch({std::numeric_limits<std::uint64_t>::max(), 0});
    m_actions.clear();
    m_actions.emplace_back(drop_notification{reason});
}

void share_manager::rebalance(core::instant now)
{
    for (rebalancer::planned_request& planned :
         m_rebalancer.plan(m_shares, m_peers, m_self.id, m_self.region)) {
        if (!m_transfers.has_request(planned.to, false)) {
            share_request request =
                m_transfers.open_request(planned.to, false, std::move(planned.wanted), now);
            m_actions.emplace_back(send_request{std::move(planned.to), std::move(request)});
        }
    }
}

void share_manager::offer_all_shares(core::instant now)
{
    const std::string* receiver = nullptr;
    std::pair<proximity, std::uint64_t> best;
    for (const auto& [id, peer] : m_peers) {
        if (!peer.is_serving || !m_member_tracker.has_recent_heartbeat(id, now) ||
            m_authority->refuses_to_vouch(id)) {
            continue;
        }
        const std::pair<proximity, std::uint64_t> order{peer.distance, core::stable_hash(id)};
        if (receiver == nullptr || order < best) {
            receiver = &id;
            best = order;
        }
    }
    if (receiver == nullptr) {
        return;
    }
    std::vector<limit_amount> held_amounts;
    for (const auto& [name, limit_entry] : m_shares.entries()) {
        held_amounts.push_back({name, limit_entry.value->holding()});
    }
    for (transfers::addressed_offer& opened : m_transfers.open_offer(*receiver, held_amounts, now)) {
        m_actions.emplace_back(send_offer{std::move(opened.to), std::move(opened.offer)});
    }
}

void share_manager::request_repair_on_leak(core::instant now)
{
    const bool is_large = m_member_tracker.entries().size() > m_settings.max_heard_members;
    const bool is_leak_suspected =
        is_large ? m_has_new_limits || now - m_repaired_at >= m_settings.repair_interval : has_leak(now);
    if (!is_leak_suspected || !m_ledger.is_settled() || m_is_leaving) {
        m_leak_since.reset();
        return;
    }
    if (!m_leak_since) {
        m_leak_since = now;
    }
    if (now - *m_leak_since >= m_settings.leak_confirmation_time) {
        m_leak_since.reset();
        m_repaired_at = now;
        m_has_new_limits = false;
        m_ledger.request_repair();
    }
}

bool share_manager::has_leak(core::instant now) const
{
    for (const auto& [id, entry] : m_member_tracker.entries()) {
        if (id != m_self.id && !m_member_tracker.has_recent_heartbeat(id, now)) {
            return false;
        }
    }
    std::map<std::string, amount, std::less<>> held;
    for (const limit_amount& part : m_transfers.holdings()) {
        held[part.limit_name] = part.value;
    }
    return std::any_of(m_shares.entries().begin(), m_shares.entries().end(), [&](const auto& entry) {
        amount sum = held[entry.first];
        for (const auto& [id, peer] : m_peers) {
            const demand_summary* summary = peer.find(entry.first);
            if (summary != nullptr) {
                sum.rate_micro += summary->holding.rate_micro;
                sum.burst_micro += summary->holding.burst_micro;
            }
        }
        const limit_definition& limit = entry.second.definition;
        if (limit.kind == limit_kind::permits) {
            // Whole permits are compared, since a single micro-token lost to rounding makes a whole permit
            // unusable.
            return sum.burst_micro / micro_per_token < limit.burst_micro / micro_per_token;
        }
        return is_below_limit(sum.rate_micro, limit.rate_micro) ||
               is_below_limit(sum.burst_micro, limit.burst_micro);
    });
}

bool share_manager::has_waiting_requests(const std::string& limit, core::instant now) const
{
    const auto waiting = m_waiting_until.find(limit);
    return waiting != m_waiting_until.end() && now < waiting->second;
}

} // namespace quetzalspan::allowance
