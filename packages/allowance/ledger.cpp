// Opens, reports in and closes ledger rounds, marks missing members suspect and deletes leftover records.

#include "allowance/ledger.h"

#include "allowance/remainder.h"
#include "membership/roles.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::allowance
{

namespace
{

bool contains(const std::vector<std::string>& list, const std::string& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

ledger::ledger(membership::member self, membership::authority_settings settings,
               membership::member_tracker& tracker, membership::authority& authority, ledger_hooks hooks,
               core::instant now)
    : m_self(std::move(self)),
      m_settings(settings),
      m_member_tracker(&tracker),
      m_authority(&authority),
      m_hooks(std::move(hooks)),
      m_joined_at(now),
      m_round(m_self.joined_round),
      m_round_entered_at(now)
{
    m_hooks.enter_round(m_round);
}

void ledger::set_limits(const limit_set& limits)
{
    m_limits = limits;
    // The epoch includes the limit revision and has changed, so the snapshot of an open round must be taken
    // again in the same step.
    if (m_own_report && m_round_record && !m_round_record->is_closed && m_round_record->number == m_round) {
        take_snapshot();
    }
}

bool ledger::accept_store_revision(std::uint64_t revision, core::instant now)
{
    if (revision >= m_store_revision) {
        m_store_revision = revision;
        m_regressed_since.reset();
        return true;
    }
    ++m_stale_observations;
    if (!m_regressed_since) {
        m_regressed_since = now;
    }
    if (now - *m_regressed_since < restore_detection_delay) {
        return false;
    }
    m_store_revision = revision;
    m_regressed_since.reset();
    m_last_regression_at = now;
    m_observed_reports.reset();
    m_pending_close.reset();
    m_member_tracker->accept_older_list();
    return true;
}

void ledger::on_round(const round_observation& observed, core::instant now)
{
    if (!accept_store_revision(observed.store_revision, now)) {
        return;
    }
    m_has_observed_round = true;
    m_round_record = observed.record;
    m_round_record_revision = observed.record_revision;
    if (!m_round_record) {
        return;
    }
    resolve_pending_close();
    if (contains(m_round_record->fenced, m_self.id)) {
        m_hooks.drop(drop_reason::fenced);
        return;
    }
    for (const std::string& fenced : m_round_record->fenced) {
        if (!m_round_record->is_closed) {
            m_authority->refuse_to_vouch(fenced, now);
        }
    }
    if (m_round_record->number > m_round) {
        enter_recorded_round(now);
    }
    if (m_round_record->is_closed && m_round_record->number == m_round) {
        apply_closed_round();
    }
}

void ledger::enter_recorded_round(core::instant now)
{
    // A pending close of the former round must not be credited any more: its remainder is in no report of the
    // new round and will be granted again.
    m_pending_close.reset();
    m_observed_reports.reset();
    m_closable_since.reset();
    m_round = m_round_record->number;
    m_round_entered_at = now;
    m_hooks.enter_round(m_round);
    if (m_self.joined_round >= m_round) {
        return;
    }
    if (m_round_record->is_closed) {
        // The round was closed without this member's report, so the shares of this member may have been
        // granted again.
        m_hooks.drop(drop_reason::missed_round);
        return;
    }
    take_snapshot();
}

void ledger::take_snapshot()
{
    m_own_report = share_report{m_self.id, m_round, m_limits.revision, m_hooks.holdings()};
    m_is_report_written = false;
}

void ledger::apply_closed_round()
{
    if (m_highest_closed_round >= m_round) {
        return;
    }
    m_highest_closed_round = m_round;
    m_is_repair_wanted = false;
    if (must_report_in_current_round()) {
        m_hooks.reclaim(m_round_record->fenced);
    }
    m_own_report.reset();
}

void ledger::resolve_pending_close()
{
    if (!m_pending_close) {
        return;
    }
    const ledger_round& own = m_pending_close->record;
    if (m_round_record->is_closed && m_round_record->grantee == m_self.id &&
        m_round_record->close_nonce == own.close_nonce) {
        // The remainder was computed for one limit revision. Under another revision it is not credited but
        // left to a later round.
        const bool is_current = own.number == m_round && own.limit_revision == m_limits.revision;
        const std::vector<limit_amount> remainder = own.remainder;
        m_pending_close.reset();
        if (is_current) {
            m_hooks.credit_remainder(remainder);
        }
        return;
    }
    if (m_round_record_revision != m_pending_close->expected_revision) {
        m_pending_close.reset();
    }
}

void ledger::on_reports(const report_observation& observed)
{
    // Responses to reads may arrive out of order, so older ones are ignored. A store that was restored from
    // an older copy is detected in on_round().
    if (m_observed_reports && observed.store_revision < m_observed_reports->store_revision) {
        return;
    }
    m_observed_reports = observed;
    std::uint64_t own_revision = 0;
    for (const stored_report& stored : observed.reports) {
        if (stored.report.member != m_self.id) {
            continue;
        }
        own_revision = stored.record_revision;
        if (m_own_report && stored.report.round == m_own_report->round &&
            stored.report.limit_revision == m_own_report->limit_revision) {
            m_is_report_written = true;
        }
    }
    if (!is_pending(
            [](const store_write& write) { return std::holds_alternative<write_report>(write.change); })) {
        m_own_report_revision = own_revision;
        m_is_report_revision_known = true;
    }
}

void ledger::on_members(core::instant now)
{
    const bool had_gap = m_list_read_at == core::instant::min() || now - m_list_read_at > max_member_list_age;
    m_list_read_at = now;
    if (had_gap) {
        m_missing_since.clear();
    }
    const membership::stored_member* own = m_member_tracker->find_member(m_self.id);
    if (own == nullptr || own->record.state == membership::member_state::suspect) {
        m_hooks.drop(own == nullptr ? drop_reason::record_missing : drop_reason::fenced);
        return;
    }
    m_authority->prune_refusals([this](const std::string& id) {
        const bool is_fenced =
            m_round_record && !m_round_record->is_closed && contains(m_round_record->fenced, id);
        return is_fenced || m_member_tracker->find_member(id) != nullptr;
    });
    std::erase_if(m_missing_since,
                  [this](const auto& missing) { return !m_member_tracker->find_member(missing.first); });
    for (const auto& [id, entry] : m_member_tracker->entries()) {
        if (id == m_self.id) {
            continue;
        }
        if (entry.record.state == membership::member_state::suspect) {
            m_authority->refuse_to_vouch(id, now);
            m_missing_since.erase(id);
        } else if (!entry.is_alive) {
            m_missing_since.emplace(id, now);
        } else {
            m_missing_since.erase(id);
            const bool is_fenced =
                m_round_record && !m_round_record->is_closed && contains(m_round_record->fenced, id);
            if (!is_marking_suspect(id) && !is_fenced) {
                m_authority->end_refusal(id);
            }
        }
    }
}

void ledger::on_write_result(const write_result& result, core::instant now)
{
    const auto found = m_pending_writes.find(result.operation);
    if (found == m_pending_writes.end()) {
        return;
    }
    const store_write done = std::move(found->second);
    m_pending_writes.erase(found);
    const bool is_applied = result.status == write_status::applied;
    if (const auto* round = std::get_if<write_round>(&done.change)) {
        if (is_applied) {
            on_round(
                {std::max(m_store_revision, result.record_revision), result.record_revision, round->record},
                now);
        } else {
            m_needs_round_read = true;
        }
    } else if (const auto* report = std::get_if<write_report>(&done.change)) {
        if (is_applied) {
            m_own_report_revision = result.record_revision;
            m_is_report_written = m_own_report && report->record.round == m_own_report->round &&
                                  report->record.limit_revision == m_own_report->limit_revision;
        } else {
            m_is_report_revision_known = false;
            m_needs_reports_read = true;
        }
    } else {
        m_needs_members_read = true;
        m_needs_reports_read = m_needs_reports_read || std::holds_alternative<delete_report>(done.change);
    }
}

std::vector<action> ledger::tick(core::instant now)
{
    fence_missing_members(now);
    open_round_if_wanted(now);
    write_own_report_if_missing();
    close_if_complete(now);
    delete_leftover_records(now);
    if (take_due_read(m_needs_round_read, m_round_requested_at, now)) {
        m_actions.emplace_back(read_round{});
    }
    if (take_due_read(m_needs_reports_read, m_reports_requested_at, now)) {
        m_actions.emplace_back(read_reports{});
    }
    if (take_due_read(m_needs_members_read, m_members_requested_at, now)) {
        m_actions.emplace_back(read_members{});
    }
    return std::exchange(m_actions, {});
}

bool ledger::take_due_read(bool& is_wanted, condition_start& requested_at, core::instant now)
{
    if (!is_wanted || (requested_at && now - *requested_at < read_interval)) {
        return false;
    }
    is_wanted = false;
    requested_at = now;
    return true;
}

void ledger::fence_missing_members(core::instant now)
{
    if (m_list_read_at == core::instant::min() || now - m_list_read_at > max_member_list_age) {
        return;
    }
    for (const auto& [id, missing] : m_missing_since) {
        const membership::stored_member* entry = m_member_tracker->find_member(id);
        const core::duration fencing_delay =
            m_member_tracker->has_recent_heartbeat(id, now) ? heard_fencing_delay : unheard_fencing_delay;
        if (entry == nullptr || now - missing < fencing_delay + compute_rank_delay("fence/" + id, now)) {
            continue;
        }
        // The suspect needs the vouches of all members that it knows, so only these can end its authority by
        // refusing to vouch. Other members fence it only if none of these is left.
        const std::vector<std::string> peers = m_member_tracker->live_peers(now);
        const bool is_other_known = std::any_of(
            peers.begin(), peers.end(), [this, &suspect = entry->record.id](const std::string& peer) {
                return peer != suspect && is_known_to_suspect(peer, suspect);
            });
        if (!is_known_to_suspect(m_self.id, id) && is_other_known) {
            continue;
        }
        if (is_marking_suspect(id)) {
            continue;
        }
        m_authority->refuse_to_vouch(id, now);
        issue_write(entry->record_revision, mark_suspect{id});
    }
}

bool ledger::needs_round() const
{
    if (!m_has_observed_round) {
        return false;
    }
    if (!m_round_record || m_round_record->number < m_round) {
        return true;
    }
    if (m_round_record->number == m_highest_closed_round && !m_round_record->is_closed) {
        return true;
    }
    for (const std::string& suspect : suspects()) {
        if (!contains(m_round_record->fenced, suspect)) {
            return true;
        }
    }
    return m_is_repair_wanted && m_round_record->is_closed;
}

void ledger::open_round_if_wanted(core::instant now)
{
    if (!needs_round() || must_defer_to_peers(now)) {
        m_round_wanted_since.reset();
        return;
    }
    if (!has_waited(m_round_wanted_since, compute_rank_delay("ledger", now), now) ||
        is_pending(
            [](const store_write& write) { return std::holds_alternative<write_round>(write.change); })) {
        return;
    }
    ledger_round next;
    next.number = std::max(m_round_record ? m_round_record->number : 0, m_round) + 1;
    next.limit_revision = m_limits.revision;
    const bool was_open = m_round_record && !m_round_record->is_closed;
    for (const std::string& suspect : suspects()) {
        // The shares of a suspect that the closed round fenced are reclaimed already; only its record remains
        // to be deleted.
        if (was_open || !m_round_record || !contains(m_round_record->fenced, suspect)) {
            next.fenced.push_back(suspect);
        }
    }
    if (was_open) {
        for (const std::string& fenced : m_round_record->fenced) {
            if (!contains(next.fenced, fenced)) {
                next.fenced.push_back(fenced);
            }
        }
    }
    issue_write(m_round_record_revision, write_round{next});
}

void ledger::write_own_report_if_missing()
{
    if (!m_own_report || m_is_report_written) {
        return;
    }
    if (!m_is_report_revision_known) {
        m_needs_reports_read = true;
        return;
    }
    if (!is_pending(
            [](const store_write& write) { return std::holds_alternative<write_report>(write.change); })) {
        issue_write(m_own_report_revision, write_report{*m_own_report});
    }
}

bool ledger::must_report_in_current_round() const
{
    return m_self.joined_round < m_round;
}

bool ledger::is_grace_period_over(core::instant now) const
{
    const core::duration grace = m_settings.grace_period();
    if (m_round_record->fenced.empty()) {
        // A round without fenced members may be closed at once if no holder can exist that the store does not
        // list. This is certain once this member has been present for a grace period in which the store
        // revision never fell.
        const bool is_long_member = now - m_joined_at >= grace;
        const bool only_rose =
            !m_regressed_since && (!m_last_regression_at || now - *m_last_regression_at >= grace);
        return (is_long_member && only_rose) || now - m_round_entered_at >= grace;
    }
    return std::all_of(m_round_record->fenced.begin(), m_round_record->fenced.end(),
                       [&](const std::string& fenced) {
                           return m_authority->may_fence(fenced, is_known_to_suspect(m_self.id, fenced), now);
                       });
}

void ledger::close_if_complete(core::instant now)
{
    const bool is_closer = m_round_record && !m_round_record->is_closed &&
                           m_round_record->number == m_round && m_highest_closed_round < m_round &&
                           must_report_in_current_round() && m_is_report_written;
    if (!is_closer || !is_grace_period_over(now) || must_defer_to_peers(now)) {
        m_closable_since.reset();
        return;
    }
    if (!has_waited(m_closable_since, 2 * compute_rank_delay("ledger", now), now) ||
        is_pending(
            [](const store_write& write) { return std::holds_alternative<write_round>(write.change); })) {
        return;
    }
    if (m_pending_close) {
        // The response was lost. The same record is written again with the same expected revision, so that at
        // most one of the writes takes effect.
        issue_write(m_pending_close->expected_revision, write_round{m_pending_close->record});
        return;
    }
    const std::optional<std::vector<share_report>> reports = collect_complete_reports();
    if (!reports) {
        return;
    }
    ledger_round closed = *m_round_record;
    closed.is_closed = true;
    closed.grantee = m_self.id;
    closed.close_nonce = m_self.id + "/" + std::to_string(++m_last_close_nonce);
    closed.limit_revision = m_limits.revision;
    closed.remainder = compute_remainder(m_limits.limits, *reports);
    m_pending_close = pending_close{closed, m_round_record_revision};
    issue_write(m_round_record_revision, write_round{closed});
}

std::optional<std::vector<share_report>> ledger::collect_complete_reports()
{
    if (!m_observed_reports) {
        m_needs_reports_read = true;
        return std::nullopt;
    }
    std::vector<share_report> counted;
    std::set<std::string> reporters;
    std::uint64_t newest = m_round_record_revision;
    for (const stored_report& stored : m_observed_reports->reports) {
        const share_report& report = stored.report;
        if (report.round != m_round || contains(m_round_record->fenced, report.member)) {
            continue;
        }
        // Reports of members that have left since are counted too: these members handed their shares over in
        // this round.
        if (report.limit_revision != m_limits.revision) {
            m_needs_reports_read = true;
            return std::nullopt;
        }
        newest = std::max(newest, stored.record_revision);
        reporters.insert(report.member);
        counted.push_back(report);
    }
    // The member list must be newer than every report. Otherwise it could lack a member that was given shares
    // before the giver reported. The reports must be newer than the list. Otherwise the report of a member
    // that has left could be missing.
    if (m_member_tracker->revision() < newest) {
        m_needs_members_read = true;
        return std::nullopt;
    }
    if (m_observed_reports->store_revision < m_member_tracker->revision()) {
        m_needs_reports_read = true;
        return std::nullopt;
    }
    for (const auto& [id, entry] : m_member_tracker->entries()) {
        const bool must_report = entry.record.joined_round < m_round && !contains(m_round_record->fenced, id);
        if (must_report && !reporters.contains(id)) {
            m_needs_reports_read = true;
            return std::nullopt;
        }
    }
    return counted;
}

void ledger::delete_leftover_records(core::instant now)
{
    const bool is_closed =
        m_round_record && m_round_record->is_closed && m_round_record->number == m_highest_closed_round;
    std::vector<std::string> leftovers;
    for (const std::string& suspect : suspects()) {
        if (is_closed && contains(m_round_record->fenced, suspect)) {
            leftovers.push_back(suspect);
        }
    }
    const bool is_grantee = is_closed && m_round_record->grantee == m_self.id;
    const bool has_old_reports = is_grantee && m_observed_reports.has_value();
    if (leftovers.empty() && !has_old_reports) {
        m_leftover_since.reset();
        return;
    }
    if (!is_grantee &&
        !has_waited(m_leftover_since, 5 * (delay_per_rank + compute_rank_delay("ledger", now)), now)) {
        return;
    }
    for (const std::string& id : leftovers) {
        const bool is_deleting = is_pending([&id](const store_write& write) {
            const auto* removal = std::get_if<delete_member>(&write.change);
            return removal != nullptr && removal->member == id;
        });
        if (!is_deleting) {
            issue_write(m_member_tracker->find_member(id)->record_revision, delete_member{id});
        }
    }
    if (!has_old_reports) {
        return;
    }
    for (const stored_report& stored : m_observed_reports->reports) {
        const membership::stored_member* owner = m_member_tracker->find_member(stored.report.member);
        if (owner == nullptr || contains(m_round_record->fenced, stored.report.member)) {
            issue_write(stored.record_revision, delete_report{stored.report.member});
        }
    }
    m_observed_reports.reset();
}

bool ledger::must_defer_to_peers(core::instant now) const
{
    return m_is_leaving && !m_member_tracker->serving_peers(now).empty();
}

std::vector<std::string> ledger::suspects() const
{
    std::vector<std::string> found;
    for (const auto& [id, entry] : m_member_tracker->entries()) {
        if (entry.record.state == membership::member_state::suspect) {
            found.push_back(id);
        }
    }
    return found;
}

bool ledger::is_known_to_suspect(const std::string& candidate, const std::string& suspect) const
{
    const membership::stored_member* suspect_member = m_member_tracker->find_member(suspect);
    const membership::stored_member* candidate_member = m_member_tracker->find_member(candidate);
    return suspect_member != nullptr && candidate_member != nullptr &&
           candidate_member->record.joined_revision <= suspect_member->record.membership_revision_seen;
}

core::duration ledger::compute_rank_delay(const std::string& role, core::instant now) const
{
    std::vector<std::string> candidates = m_member_tracker->serving_peers(now);
    candidates.push_back(m_self.id);
    const std::vector<std::string> ranked = membership::roles::rank(role, std::move(candidates));
    const auto own = std::find(ranked.begin(), ranked.end(), m_self.id);
    const auto rank = static_cast<std::size_t>(own - ranked.begin());
    return delay_per_rank * static_cast<core::duration::rep>(std::min(rank, max_delayed_ranks));
}

bool ledger::has_waited(condition_start& start, core::duration wait, core::instant now)
{
    if (!start) {
        start = now;
    }
    return now - *start >= wait;
}

void ledger::issue_write(std::uint64_t expected_revision, decltype(store_write::change) change)
{
    const store_write issued{++m_last_operation, expected_revision, std::move(change)};
    m_pending_writes.emplace(issued.operation, issued);
    m_actions.emplace_back(issued);
}

bool ledger::is_marking_suspect(const std::string& member) const
{
    return is_pending([&member](const store_write& write) {
        const auto* mark = std::get_if<mark_suspect>(&write.change);
        return mark != nullptr && mark->member == member;
    });
}

bool ledger::is_pending(const std::function<bool(const store_write&)>& matches) const
{
    return std::any_of(m_pending_writes.begin(), m_pending_writes.end(),
                       [&](const auto& pending) { return matches(pending.second); });
}

} // namespace quetzalspan::allowance
