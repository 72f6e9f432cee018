// The state that every request reads: the configuration in force, when the store last confirmed it, and
// whether the instance is stopping.

#pragma once

#include "core/boot_clock.h"
#include "core/rcu_cell.h"
#include "routing/route_table.h"

#include <atomic>
#include <limits>
#include <memory>

namespace quetzalspan::edge
{

using route_table_pointer = std::shared_ptr<const routing::route_table>;

// Written by the control thread only, read by all threads.
class traffic_state
{
public:
    traffic_state() : m_table(std::make_unique<const route_table_pointer>()) {}

    traffic_state(const traffic_state&) = delete;
    traffic_state& operator=(const traffic_state&) = delete;

    // Returns the route table of the configuration in force; null until one has been published.
    route_table_pointer table() const
    {
        const core::rcu_read_section section;
        return m_table.read(section);
    }

    // Publishes a table if its version is higher than that of the present one. Returns whether it was
    // published.
    bool publish(route_table_pointer next)
    {
        const route_table_pointer present = table();
        if (present && next->version() <= present->version()) {
            return false;
        }
        m_table.publish(std::make_unique<const route_table_pointer>(std::move(next)));
        return true;
    }

    // Records that the table includes every change that the store acknowledged before the given time. An
    // earlier time than the recorded one is ignored.
    void confirm(core::boot_instant sent)
    {
        const std::int64_t value = sent.time_since_epoch().count();
        if (value > m_confirmed.load(std::memory_order_acquire)) {
            m_confirmed.store(value, std::memory_order_release);
        }
    }

    // Returns the time since the last confirmation of the table; the maximum duration if there was none.
    core::boot_clock::duration age(core::boot_instant now) const
    {
        const std::int64_t confirmed = m_confirmed.load(std::memory_order_acquire);
        return confirmed == 0 ? core::boot_clock::duration::max()
                              : now.time_since_epoch() - core::boot_clock::duration(confirmed);
    }

    // Records that the other instances count this one as a member of the fleet until the given time, at which
    // its lease ends unless it is renewed.
    void confirm_membership(core::boot_instant until)
    {
        m_member_until.store(until.time_since_epoch().count(), std::memory_order_release);
    }

    // Returns whether the other instances still count this one as a member, so that its shares of limits are
    // its own. True before the first lease, when it has no tokens yet.
    bool is_member(core::boot_instant now) const
    {
        return now.time_since_epoch().count() < m_member_until.load(std::memory_order_acquire);
    }

    // Sets the time after which this instance serves no more requests, so that none is taken that may take
    // longer.
    void set_last_deadline(core::instant deadline)
    {
        m_last_deadline.store(deadline.time_since_epoch().count(), std::memory_order_release);
    }

    // Returns whether a request with this deadline can be served before the instance ends.
    bool can_finish_by(core::instant deadline) const
    {
        return deadline.time_since_epoch().count() <= m_last_deadline.load(std::memory_order_acquire);
    }

    // Whether new requests are rejected because the instance is stopping. Set some time after is_stopping.
    std::atomic<bool> is_rejecting_requests{false};
    // Whether the instance has been told to stop.
    std::atomic<bool> is_stopping{false};

private:
    core::rcu_cell<route_table_pointer> m_table;
    // Time of the last confirmation in nanoseconds of the boot clock; 0 if there was none. Never decreases.
    std::atomic<std::int64_t> m_confirmed{0};
    // In nanoseconds of the steady clock.
    std::atomic<std::int64_t> m_last_deadline{std::numeric_limits<std::int64_t>::max()};
    // The end of the lease in nanoseconds of the boot clock.
    std::atomic<std::int64_t> m_member_until{std::numeric_limits<std::int64_t>::max()};
};

} // namespace quetzalspan::edge
