// Transfers of allowance between instances, for the sender and the receiver. The sender debits its share
// before it sends a grant and retains the grant until the receiver has acknowledged it. The receiver applies
// each transfer at most once, and only in the epoch in which it was sent.

#pragma once

#include "allowance/epoch.h"
#include "allowance/messages.h"
#include "allowance/share_table.h"
#include "allowance/transfer_memory.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalspan::allowance
{

class transfers
{
public:
    // A message is sent again if no response has arrived within this time.
    static constexpr core::duration retry_interval = std::chrono::milliseconds(250);

    struct addressed_request {
        std::string to;
        share_request request;
    };

    struct addressed_offer {
        std::string to;
        share_offer offer;
    };

    // Returns how much of a limit the sender gives when the requester wants the given amount.
    using grant_hook = std::function<amount(const std::string& limit, const amount& wanted)>;

    transfers(std::string self, share_table& table) : m_self(std::move(self)), m_table(&table) {}

    const epoch& current_epoch() const { return m_epoch; }

    // Sets the time at which the following calls credit amounts to shares.
    void set_time(core::instant now) { m_step_time = now; }

    // Enters another epoch. Pending requests of the former epoch are closed, so that grants for them are
    // rejected.
    void enter_epoch(epoch next);

    // The functions of the requester.

    // Returns whether a request of this urgency to the peer has no answer yet.
    bool has_request(const std::string& peer, bool is_urgent) const;
    // Returns a new request for the host to send to the peer. It is resent until it is answered or closed.
    share_request open_request(const std::string& peer, bool is_urgent, std::vector<limit_amount> wanted,
                               core::instant now);

    // Applies a grant if its request is pending and its epoch is the current one, and calls on_credit for
    // each amount credited. Returns the acknowledgement to send. A duplicate grant gets the same
    // acknowledgement as the first one and credits nothing.
    grant_acknowledgement apply_grant(const share_grant& grant,
                                      const std::function<void(const limit_amount&)>& on_credit);

    // The functions of the sender.

    // Answers a request: debits what decide returns for each wanted amount and retains the grant. A request
    // that was answered before gets the retained grant again, or an empty one if the grant was acknowledged
    // meanwhile. A request from another epoch is rejected.
    share_grant answer_request(const std::string& from, const share_request& request, core::instant now,
                               const grant_hook& decide);
    // Returns an answer with the given status and without amounts.
    share_grant reject(const share_request& request, grant_status status) const;
    // Forgets the retained transfer if the receiver applied it, or else credits it back to this instance.
    // Ignores an acknowledgement that does not come from the receiver.
    void apply_acknowledgement(const std::string& from, const grant_acknowledgement& acknowledgement);

    // Debits at most the wanted amounts and offers them to a peer that has not asked for them. Returns no
    // offer if there was nothing to debit.
    std::vector<addressed_offer> open_offer(const std::string& to, const std::vector<limit_amount>& wanted,
                                            core::instant now);

    // The functions of the receiver of an offer.

    // Applies an offer if its epoch is the current one, and returns the acknowledgement to send. An offer
    // under another member's id is handled as a resent grant.
    grant_acknowledgement apply_offer(const std::string& from, const share_offer& offer);

    // The functions of both the sender and the receiver.

    // Return the pending requests and the retained transfers whose response is overdue, and start their retry
    // interval anew. A retained grant is sent again as an offer under the transfer id of its request.
    std::vector<addressed_request> take_due_requests(core::instant now);
    std::vector<addressed_offer> take_due_offers(core::instant now);

    // Scales the retained amounts of a limit that changed, or sets them to zero if the limit was removed.
    void rescale(const std::string& limit, const amount* old_limit, const amount* new_limit);

    // Adds amounts to the shares of this instance. Amounts of unknown limits are discarded.
    void credit(const std::vector<limit_amount>& values);

    // Returns the shares of this instance plus all retained transfers, summed for each limit and sorted by
    // limit name.
    std::vector<limit_amount> holdings() const;

    // Credits back the transfers retained for members that were fenced in a round that is now closed; the
    // report of this instance counted them as its own. The tokens of a rate are not credited back, since the
    // fenced member may have spent them.
    void reclaim(const std::vector<std::string>& fenced);

    // Closes the requests to a member that no longer exists and discards the state kept for it. Transfers
    // retained for it are lost.
    void forget_member(const std::string& member);

    // Returns whether no transfer sent by this instance awaits its acknowledgement.
    bool is_idle() const { return m_retained_transfers.empty(); }
    std::size_t retained_transfer_count() const { return m_retained_transfers.size(); }

private:
    struct pending_request {
        std::string peer;
        share_request request;
        core::instant sent_at;
    };

    struct retained_transfer {
        std::string to;
        // The grant as it was sent, with the epoch in which it was sent.
        share_grant grant;
        // The granted amounts, scaled by the changes of limits since.
        std::vector<limit_amount> current_amounts;
        core::instant sent_at;
    };

    // Requester and sequence number of the transfer id.
    using transfer_key = std::pair<std::string, std::uint64_t>;

    static transfer_key make_key(const transfer_id& id) { return {id.requester, id.sequence}; }

    std::string m_self;
    share_table* m_table;
    epoch m_epoch;
    core::instant m_step_time;
    std::uint64_t m_last_sequence = 0;
    // Requests of this instance that have not been answered, by sequence number.
    std::map<std::uint64_t, pending_request> m_pending_requests;
    // Requests of this instance that were answered or closed.
    transfer_decisions m_own_decisions;
    // Decided offers of each peer, by member id.
    std::map<std::string, transfer_decisions> m_offer_decisions;
    // Sent grants and offers that have not been acknowledged.
    std::map<transfer_key, retained_transfer> m_retained_transfers;
    // The highest answered sequence number of each requester. A late copy of an acknowledged request must not
    // be granted again.
    std::map<std::string, std::uint64_t> m_highest_granted;
};

} // namespace quetzalspan::allowance
