// Keeps the record of this instance in the store under a lease, so that the record expires when the instance
// ends.

#pragma once

#include "core/boot_clock.h"
#include "edge/instance_record.h"
#include "store/key_value_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace quetzalspan::edge
{

struct registration_options {
    core::duration lease_time{0};
    core::duration renewal_interval{0};
    core::duration retry_pause{0};
};

// Runs on the given executor, which must be single-threaded or a strand.
class registration : public std::enable_shared_from_this<registration>
{
public:
    static std::shared_ptr<registration> create(const boost::asio::any_io_executor& executor,
                                                std::shared_ptr<store::key_value_store> store,
                                                instance_record own, registration_options options);

    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

    void start();

    // Sets the function that is called when the lease has expired: for a while the other instances did not
    // count this one as a member.
    void set_lease_lost_handler(std::function<void()> on_lease_lost)
    {
        m_on_lease_lost = std::move(on_lease_lost);
    }

    // Sets the function that is called when the lease was created or renewed, with the time at which it ends
    // at the earliest unless it is renewed again.
    void set_lease_renewed_handler(std::function<void(core::boot_instant)> on_lease_renewed)
    {
        m_on_lease_renewed = std::move(on_lease_renewed);
    }

    // Sets the phase and has the record written at once rather than at the next renewal.
    void set_phase(instance_phase phase);

    // Has the record written anew under a new lease, because the store was restored from an older copy, which
    // may have lost both.
    void handle_restored_store();

    // Stops the renewals and revokes the lease, which removes the record. A failed call is logged and not
    // repeated; the lease then expires by itself.
    boost::asio::awaitable<void> withdraw();

    // Records the revision of the record as last seen in the store, for example when an earlier start of this
    // instance has written it, so that the next write replaces it. A lower revision than the known one is
    // ignored.
    void set_known_revision(std::uint64_t revision);

    const instance_record& own_record() const { return m_own_record; }

private:
    registration(const boost::asio::any_io_executor& executor, std::shared_ptr<store::key_value_store> store,
                 instance_record own, registration_options options);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> renew_or_register();
    boost::asio::awaitable<void> write_record();
    // sent is when the call that created or renewed the lease was sent.
    void report_lease_renewed(core::boot_instant sent) const;

    std::shared_ptr<store::key_value_store> m_store;
    boost::asio::steady_timer m_timer;
    instance_record m_own_record;
    registration_options m_options;
    // Returns whether the store has been restored since the lease was created. Its id may since have been
    // assigned to another instance.
    bool is_lease_outdated() const { return m_lease != 0 && m_store->epoch() != m_lease_epoch; }
    void drop_lease();

    // The identity of the lease; 0 while there is none.
    std::uint64_t m_lease = 0;
    // The epoch of the store in which the lease was created.
    std::uint64_t m_lease_epoch = 0;
    // The last known revision of the record in the store; 0 if there is none.
    std::uint64_t m_revision = 0;
    // Whether the store holds m_own_record in its present state under the lease.
    bool m_is_record_current = false;
    bool m_is_stopped = false;
    std::function<void()> m_on_lease_lost;
    std::function<void(core::boot_instant)> m_on_lease_renewed;
};

} // namespace quetzalspan::edge
