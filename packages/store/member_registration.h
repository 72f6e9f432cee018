// Registers this instance as a member: creates and renews its member record and its liveness key in the
// store.

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

// How the instance found that its registration has ended.
enum class fence_reason {
    // A peer set the state in the record to suspect.
    suspect,
    // The record is not the last one that this instance wrote, for example because the store was restored.
    changed,
    // The record no longer exists.
    gone,
};

inline constexpr core::name_table fence_reason_names{std::array<core::named_value<fence_reason>, 3>{{
    {fence_reason::suspect, "suspect"},
    {fence_reason::changed, "changed"},
    {fence_reason::gone, "gone"},
}}};

struct registration_options {
    // Interval between renewals of the record. A third of the authority lifetime, so that two renewals may
    // fail before authority ends.
    core::duration renewal_interval = std::chrono::seconds(1);
    // Time to live of the lease of the liveness key.
    core::duration lease_time = std::chrono::seconds(6);
    // Number of renewals per keepalive of the lease.
    std::uint32_t renewals_per_keepalive = 2;
};

struct registration_hooks {
    // The clock from which the times passed to on_confirmed are read.
    std::function<core::instant()> now;
    // Called with the store's revision at which the record was created. May be empty.
    std::function<void(std::uint64_t)> on_joined;
    // Called when the store has confirmed the record, with the time just before the write or the renewal that
    // found it confirmed was sent. Authority is counted from this time.
    std::function<void(core::instant)> on_confirmed;
    // Called when the registration has ended. The instance must drop its shares and join again under a new
    // member id.
    std::function<void(fence_reason)> on_fenced;
};

enum class registration_state { joining, joined, fenced, left };

struct registration_statistics {
    std::uint64_t renewals = 0;
    std::uint64_t keepalives = 0;
    // Writes without a response that a later read or write found to have been applied.
    std::uint64_t recognised_writes = 0;
    std::uint64_t leases_lost = 0;
    // Iterations of the loop and attempts to leave that failed.
    std::uint64_t failures = 0;
};

// All functions must run on the given executor, which must be a strand if several threads run it, except
// set_state(), set_membership_revision_seen() and state().
class member_registration : public std::enable_shared_from_this<member_registration>
{
public:
    static std::shared_ptr<member_registration>
    create(boost::asio::any_io_executor executor, std::shared_ptr<store_client> client,
           membership::member record, registration_options options, registration_hooks hooks);

    // Starts the loop that joins and then renews the registration until the member is fenced, leaves or
    // stop() is called.
    void start();
    // Ends the loop. The record stays in the store.
    void stop();

    // The operations of the loop, which calls join_once() until the member has joined and then the other two.
    // They throw store_unavailable or store_rejected, and do nothing once the member was fenced or has left.
    boost::asio::awaitable<void> join_once();
    boost::asio::awaitable<void> renew_once();
    boost::asio::awaitable<void> keep_alive_once();

    // Deletes the record, then the liveness key, and ends the loop. Returns false if the store could not be
    // reached or the record was changed by someone else. The record then stays in the store, and a peer
    // fences the member.
    boost::asio::awaitable<bool> leave();

    // Change the record. The change is written to the store with the next renewal.
    void set_state(membership::member_state state);
    void set_membership_revision_seen(std::uint64_t revision);

    registration_state state() const { return m_state.load(); }
    const registration_statistics& statistics() const { return m_statistics; }

private:
    // confirmed: the record in the store is one that this registration wrote; retry: the write has not been
    // applied, but may still be; ended: the member was fenced.
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
    // Protects m_record's state and membership_revision_seen.
    std::mutex m_record_mutex;
    membership::member m_record;
    // Identifies the writes of this registration; the sequence number is that of the last one.
    write_id m_write_id;
    // Record texts written since the last confirmation. Each may have been applied or may still be.
    std::vector<std::string> m_unconfirmed_writes;
    // The store's revision of the record as last confirmed; 0 before the member has joined.
    std::uint64_t m_record_revision = 0;
    // The id of the lease of the liveness key; 0 before the first one.
    std::uint64_t m_lease = 0;
    bool m_has_liveness_key = false;
    registration_statistics m_statistics;
};

} // namespace quetzalspan::store
