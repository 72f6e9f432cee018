// Requests, grants, offers and acknowledgements of allowance transfers, with retries and deduplication.

#include "allowance/transfers.h"

#include "allowance/scaling.h"

#include <algorithm>

namespace quetzalspan::allowance
{

void transfers::enter_epoch(epoch next)
{
    if (next == m_epoch) {
        return;
    }
    m_epoch = next;
    for (const auto& [sequence, pending] : m_pending_requests) {
        m_own_decisions.decide(sequence, false);
    }
    m_pending_requests.clear();
}

bool transfers::has_request(const std::string& peer, bool is_urgent) const
{
    return std::any_of(m_pending_requests.begin(), m_pending_requests.end(), [&](const auto& pending) {
        return pending.second.peer == peer && pending.second.request.is_urgent == is_urgent;
    });
}

share_request transfers::open_request(const std::string& peer, bool is_urgent,
                                      std::vector<limit_amount> wanted, core::instant now)
{
    share_request request;
    request.id = {m_self, ++m_last_sequence};
    request.round = m_epoch.round;
    request.limit_revision = m_epoch.limit_revision;
    request.is_urgent = is_urgent;
    request.wanted = std::move(wanted);
    m_pending_requests.emplace(request.id.sequence, pending_request{peer, request, now});
    return request;
}

grant_acknowledgement transfers::apply_grant(const share_grant& grant,
                                             const std::function<void(const limit_amount&)>& on_credit)
{
    // The grant answers an earlier incarnation, whose shares no longer exist whether or not it applied the
    // grant.
    if (grant.id.requester != m_self) {
        return {grant.id, true};
    }
    const std::uint64_t sequence = grant.id.sequence;
    if (m_pending_requests.erase(sequence) == 0) {
        return {grant.id, m_own_decisions.find_decision(sequence).value_or(false)};
    }
    const bool is_applied =
        grant.status == grant_status::granted && epoch{grant.round, grant.limit_revision} == m_epoch;
    m_own_decisions.decide(sequence, is_applied);
    if (is_applied) {
        credit(grant.granted);
        for (const limit_amount& part : grant.granted) {
            on_credit(part);
        }
    }
    return {grant.id, is_applied};
}

share_grant transfers::answer_request(const std::string& from, const share_request& request,
                                      core::instant now, const grant_hook& decide)
{
    const transfer_key key = make_key(request.id);
    const auto retained = m_retained_transfers.find(key);
    if (retained != m_retained_transfers.end()) {
        return retained->second.grant;
    }
    if (epoch{request.round, request.limit_revision} != m_epoch) {
        return reject(request, request.round != m_epoch.round ? grant_status::wrong_round
                                                              : grant_status::wrong_revision);
    }
    share_grant grant = reject(request, grant_status::granted);
    std::uint64_t& highest = m_highest_granted[request.id.requester];
    if (request.id.requester != from || request.id.sequence <= highest) {
        return grant;
    }
    for (const limit_amount& wanted : request.wanted) {
        const share_table::entry* limit_entry = m_table->find(wanted.limit_name);
        if (limit_entry == nullptr) {
            continue;
        }
        const amount taken = limit_entry->value->debit(decide(wanted.limit_name, wanted.value), now);
        if (taken != amount{}) {
            grant.granted.push_back({wanted.limit_name, taken});
        }
    }
    // An empty grant is final too: the requester closes its request on receiving it, so a late copy of the
    // request must not be granted.
    highest = request.id.sequence;
    if (!grant.granted.empty()) {
        m_retained_transfers.emplace(key, retained_transfer{from, grant, grant.granted, now});
    }
    return grant;
}

share_grant transfers::reject(const share_request& request, grant_status status) const
{
    share_grant grant;
    grant.id = request.id;
    grant.status = status;
    grant.round = m_epoch.round;
    grant.limit_revision = m_epoch.limit_revision;
    return grant;
}

void transfers::apply_acknowledgement(const std::string& from, const grant_acknowledgement& acknowledgement)
{
    const auto found = m_retained_transfers.find(make_key(acknowledgement.id));
    if (found == m_retained_transfers.end() || found->second.to != from) {
        return;
    }
    // The receiver never applies a transfer that it has rejected, and each report since it was sent counted
    // it as held here. It is therefore credited back even if the epoch has changed.
    if (!acknowledgement.is_applied) {
        credit(found->second.current_amounts);
    }
    m_retained_transfers.erase(found);
}

std::vector<transfers::addressed_offer>
transfers::open_offer(const std::string& to, const std::vector<limit_amount>& wanted, core::instant now)
{
    share_grant grant;
    grant.id = {m_self, m_last_sequence + 1};
    grant.round = m_epoch.round;
    grant.limit_revision = m_epoch.limit_revision;
    for (const limit_amount& part : wanted) {
        const share_table::entry* limit_entry = m_table->find(part.limit_name);
        const amount taken = limit_entry == nullptr ? amount{} : limit_entry->value->debit(part.value, now);
        if (taken != amount{}) {
            grant.granted.push_back({part.limit_name, taken});
        }
    }
    if (grant.granted.empty()) {
        return {};
    }
    ++m_last_sequence;
    m_retained_transfers.emplace(make_key(grant.id), retained_transfer{to, grant, grant.granted, now});
    return {{to, share_offer{grant.id, grant.round, grant.limit_revision, grant.granted}}};
}

grant_acknowledgement transfers::apply_offer(const std::string& from, const share_offer& offer)
{
    if (offer.id.requester != from) {
        share_grant grant{offer.id, grant_status::granted, offer.round, offer.limit_revision, offer.offered};
        return apply_grant(grant, [](const limit_amount&) {});
    }
    transfer_decisions& decisions = m_offer_decisions[from];
    const std::optional<bool> decided = decisions.find_decision(offer.id.sequence);
    if (decided) {
        return {offer.id, *decided};
    }
    const bool is_applied = epoch{offer.round, offer.limit_revision} == m_epoch;
    decisions.decide(offer.id.sequence, is_applied);
    if (is_applied) {
        credit(offer.offered);
    }
    return {offer.id, is_applied};
}

std::vector<transfers::addressed_request> transfers::take_due_requests(core::instant now)
{
    std::vector<addressed_request> due;
    for (auto& [sequence, pending] : m_pending_requests) {
        if (now - pending.sent_at >= retry_interval) {
            pending.sent_at = now;
            due.push_back({pending.peer, pending.request});
        }
    }
    return due;
}

std::vector<transfers::addressed_offer> transfers::take_due_offers(core::instant now)
{
    std::vector<addressed_offer> due;
    for (auto& [key, retained] : m_retained_transfers) {
        if (now - retained.sent_at >= retry_interval) {
            retained.sent_at = now;
            const share_grant& grant = retained.grant;
            due.push_back({retained.to, {grant.id, grant.round, grant.limit_revision, grant.granted}});
        }
    }
    return due;
}

void transfers::rescale(const std::string& limit, const amount* old_limit, const amount* new_limit)
{
    for (auto& [key, retained] : m_retained_transfers) {
        for (limit_amount& part : retained.current_amounts) {
            if (part.limit_name == limit) {
                const bool is_removed = old_limit == nullptr || new_limit == nullptr;
                part.value = is_removed ? amount{} : scale_amount(part.value, *old_limit, *new_limit);
            }
        }
    }
}

std::vector<limit_amount> transfers::holdings() const
{
    std::map<std::string, amount> sums;
    for (const auto& [name, limit_entry] : m_table->entries()) {
        sums[name] = limit_entry.value->holding();
    }
    for (const auto& [key, retained] : m_retained_transfers) {
        for (const limit_amount& part : retained.current_amounts) {
            amount& sum = sums[part.limit_name];
            sum.rate_micro += part.value.rate_micro;
            sum.burst_micro += part.value.burst_micro;
            sum.tokens_micro += part.value.tokens_micro;
        }
    }
    std::vector<limit_amount> held;
    for (const auto& [name, sum] : sums) {
        if (sum != amount{}) {
            held.push_back({name, sum});
        }
    }
    return held;
}

void transfers::reclaim(const std::vector<std::string>& fenced)
{
    for (auto entry = m_retained_transfers.begin(); entry != m_retained_transfers.end();) {
        retained_transfer& retained = entry->second;
        if (std::find(fenced.begin(), fenced.end(), retained.to) == fenced.end()) {
            ++entry;
            continue;
        }
        for (limit_amount& part : retained.current_amounts) {
            part.value.tokens_micro = 0;
        }
        credit(retained.current_amounts);
        entry = m_retained_transfers.erase(entry);
    }
}

void transfers::forget_member(const std::string& member)
{
    std::erase_if(m_pending_requests, [&](const auto& pending) {
        if (pending.second.peer != member) {
            return false;
        }
        m_own_decisions.decide(pending.first, false);
        return true;
    });
    std::erase_if(m_retained_transfers, [&](const auto& retained) { return retained.second.to == member; });
    m_offer_decisions.erase(member);
    m_highest_granted.erase(member);
}

void transfers::credit(const std::vector<limit_amount>& values)
{
    for (const limit_amount& part : values) {
        const share_table::entry* limit_entry = m_table->find(part.limit_name);
        if (limit_entry != nullptr) {
            limit_entry->value->credit(part.value, m_step_time);
        }
    }
}

} // namespace quetzalspan::allowance
