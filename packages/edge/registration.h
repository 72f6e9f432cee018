// Keeps the own record in the store under a lease, so that it goes when the instance does.

#pragma once

#include "edge/instance_record.h"
#include "store/key_value_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace quetzalspan::edge
{

struct registration_options {
    core::duration lease_time{0};
    core::duration renewal_interval{0};
    core::duration retry_pause{0};
};

// Runs on the executor given, which must be one thread or a strand.
class registration : public std::enable_shared_from_this<registration>
{
public:
    static std::shared_ptr<registration> create(const boost::asio::any_io_executor& executor,
                                                std::shared_ptr<store::key_value_store> store,
                                                instance_record own, registration_options options);

    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

    void start();

    // Writes the phase soon.
    void set_phase(instance_phase phase);

    // Ends the lease, which removes the record. Gives up after the time.
    boost::asio::awaitable<void> withdraw();

    // The revision at which another writer, such as an earlier start of this instance, left the record; the
    // next write replaces it.
    void set_known_revision(std::uint64_t revision);

    const instance_record& own_record() const { return m_own_record; }

private:
    registration(const boost::asio::any_io_executor& executor, std::shared_ptr<store::key_value_store> store,
                 instance_record own, registration_options options);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> renew_or_register();
    boost::asio::awaitable<void> write_record();

    std::shared_ptr<store::key_value_store> m_store;
    boost::asio::steady_timer m_timer;
    instance_record m_own_record;
    registration_options m_options;
    // 0 while there is none.
    std::uint64_t m_lease = 0;
    // Revision of the record in the store, as far as known; 0 if there is none.
    std::uint64_t m_revision = 0;
    bool m_is_record_current = false;
    bool m_is_stopped = false;
};

} // namespace quetzalspan::edge
