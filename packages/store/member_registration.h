// Keeps this instance's member record and liveness key in the store.

#pragma once

#include "membership/member.h"
#include "store/async_lock.h"
#include "store/records.h"
#include "store/stoppable_timer.h"
#include "store/store_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace quetzalspan::store
{

enum class fence_reason {
    // A peer set the record to suspect.
    suspect,
    // The record has content that this instance did not write last, such as after a restore of the store.
    changed,
    // The record is gone.
    gone,
};

inline constexpr core::name_table fence_reason_names{std::array<core::named_value<fence_reason>, 3>{{
    {fence_reason::suspect, "suspect"},
    {fence_reason::changed, "changed"},
    {fence_reason::gone, "gone"},
}}};

struct registration_options {
    // A third of the authority lifetime: two renewals may fail before authority ends.
    core::duration renewal_interval = std::chrono::seconds(1);
    core::duration lease_time = std::chrono::seconds(6);
    // Renewals for each keepalive of the lease.
    std::uint32_t renewals_per_keepalive = 2;
};

struct registration_hooks {
    std::function<core::instant()> now;
    // Called with the revision at which the record was created.
    std::function<void(std::uint64_t)> on_joined;
    // The store confirmed the record. The time is that before the sending of the confirmed write: authority
    // counts from it.
    std::function<void(core::instant)> on_confirmed;
    // The registration has ended: the instance must drop its shares and join again under a new member id.
    std::function<void(fence_reason)> on_fenced;
};

enum class registration_state { joining, joined, fenced, left };

struct registration_statistics {
    std::uint64_t renewals = 0;
    std::uint64_t keepalives = 0;
    // Writes without response that reading back showed to have taken effect.
    std::uint64_t recognised_writes = 0;
    std::uint64_t leases_lost = 0;
    std::uint64_t failures = 0;
};

// All functions run on the executor given, which must be a strand if several threads run it, except
// set_state(), set_membership_revision_seen() and state().
class member_registration : public std::enable_shared_from_this<member_registration>
{
public:
    static std::shared_ptr<member_registration>
    create(boost::asio::any_io_executor executor, std::shared_ptr<store_client> client,
           membership::member record, registration_options options, registration_hooks hooks);

    // Starts the loop that joins and then renews until the registration is fenced, left or stopped.
    void start();
    // Ends the loop and leaves the record in the store.
    void stop();

    // The steps of the loop. They throw store_unavailable or store_rejected. Each does nothing once the
    // registration is fenced or left. A step of the loop calls join_once() until the member has joined.
    boost::asio::awaitable<void> join_once();
    boost::asio::awaitable<void> renew_once();
    boost::asio::awaitable<void> keep_alive_once();

    // Removes the record, then the liveness key, and ends the loop. Returns false if the store could not be
    // reached or the record is no longer this instance's; the record then stays for a peer to fence.
    boost::asio::awaitable<bool> leave();

    // Take effect with the next renewal.
    void set_state(membership::member_state state);
    void set_membership_revision_seen(std::uint64_t revision);

    registration_state state() const { return m_state.load(); }
    const registration_statistics& statistics() const { return m_statistics; }

private:
    enum class write_status { confirmed, retry, ended };

    member_registration(boost::asio::any_io_executor executor, std::shared_ptr<store_client> client,
                        membership::member record, registration_options options, registration_hooks hooks);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> run_step(std::uint64_t iteration);
    boost::asio::awaitable<write_status> write_record();
    boost::asio::awaitable<write_status> read_back(core::instant sent_at);
    write_status evaluate_changed_record(const std::optional<store_entry>& current, core::instant sent_at);
    boost::asio::awaitable<void> ensure_liveness_key();
    write_status record_confirmation(std::uint64_t revision, core::instant sent_at);
    write_status report_fenced(fence_reason reason);
    std::string next_record_text();
    bool is_active() const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<store_client> m_client;
    registration_options m_options;
    registration_hooks m_hooks;
    stoppable_timer m_timer;
    async_lock m_lock;
    std::atomic<registration_state> m_state{registration_state::joining};
    std::mutex m_record_mutex;
    membership::member m_record;
    // Marks the writes of this registration.
    write_mark m_mark;
    // Texts written since the last confirmation; any of them may have taken effect, even later.
    std::vector<std::string> m_unconfirmed_writes;
    std::uint64_t m_record_revision = 0;
    std::uint64_t m_lease = 0;
    bool m_has_liveness_key = false;
    registration_statistics m_statistics;
};

} // namespace quetzalspan::store
