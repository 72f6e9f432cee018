// Creates and renews the lease of the instance's record, and writes the record when it has changed or its
// lease was lost.

#include "edge/registration.h"

#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::edge
{

namespace asio = boost::asio;

registration::registration(const asio::any_io_executor& executor,
                           std::shared_ptr<store::key_value_store> store, instance_record own,
                           registration_options options)
    : m_store(std::move(store)), m_timer(executor), m_own_record(std::move(own)), m_options(options)
{
}

std::shared_ptr<registration> registration::create(const asio::any_io_executor& executor,
                                                   std::shared_ptr<store::key_value_store> store,
                                                   instance_record own, registration_options options)
{
    return std::shared_ptr<registration>(
        new registration(executor, std::move(store), std::move(own), options));
}

void registration::start()
{
    const std::shared_ptr<registration> self = shared_from_this();
    asio::co_spawn(
        m_timer.get_executor(), [self] { return self->run(); },
        [](const std::exception_ptr& thrown) { core::log_task_failure("registration", thrown); });
}

void registration::set_phase(instance_phase phase)
{
    m_own_record.phase = phase;
    m_is_record_current = false;
    m_timer.cancel();
}

void registration::drop_lease()
{
    m_lease = 0;
    m_is_record_current = false;
    m_revision = 0;
}

void registration::handle_restored_store()
{
    if (is_lease_outdated()) {
        m_timer.cancel();
    }
}

void registration::set_known_revision(std::uint64_t revision)
{
    if (revision > m_revision) {
        m_revision = revision;
    }
}

asio::awaitable<void> registration::run()
{
    while (!m_is_stopped) {
        bool has_failed = false;
        try {
            co_await renew_or_register();
        } catch (const std::exception& error) {
            has_failed = true;
            core::debug_event("registration_failed").with("error", error.what());
        }
        if (m_is_record_current || has_failed) {
            m_timer.expires_after(has_failed ? m_options.retry_pause : m_options.renewal_interval);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

asio::awaitable<void> registration::renew_or_register()
{
    if (m_lease != 0 && m_is_record_current && !is_lease_outdated()) {
        const core::boot_instant sent = core::boot_clock::now();
        const store::lease_outcome outcome = co_await m_store->keep_alive(m_lease);
        if (outcome != store::lease_outcome::lost && !is_lease_outdated()) {
            report_lease_renewed(sent);
            co_return;
        }
        if (!is_lease_outdated()) {
            core::warning_event("lease_lost").with("lease", m_lease);
            if (m_on_lease_lost) {
                m_on_lease_lost();
            }
            drop_lease();
        }
    }
    if (is_lease_outdated()) {
        // The other instances keep this one as a member for a while after the restore.
        core::warning_event("lease_outdated").with("lease", m_lease).with("epoch", m_store->epoch());
        drop_lease();
    }
    if (m_lease == 0) {
        const core::boot_instant sent = core::boot_clock::now();
        const std::uint64_t created = co_await m_store->create_lease(m_options.lease_time);
        m_lease = created;
        m_lease_epoch = m_store->epoch();
        report_lease_renewed(sent);
    }
    co_await write_record();
}

void registration::report_lease_renewed(core::boot_instant sent) const
{
    if (m_on_lease_renewed) {
        m_on_lease_renewed(sent + m_options.lease_time);
    }
}

asio::awaitable<void> registration::write_record()
{
    const instance_record written = m_own_record;
    const std::string key = std::string(instance_prefix) + m_own_record.instance;
    const store::write_result result = co_await m_store->write(key, to_text(written), m_revision, m_lease);
    switch (result.outcome) {
    case store::write_outcome::applied:
        m_revision = result.revision;
        m_is_record_current = written == m_own_record && !is_lease_outdated();
        core::info_event("registered")
            .with("phase", instance_phase_names.name(written.phase))
            .with("revision", m_revision)
            .with("lease", m_lease);
        break;
    case store::write_outcome::conflict:
        m_revision = result.current ? result.current->revision : 0;
        break;
    case store::write_outcome::lease_lost:
        m_lease = 0;
        break;
    case store::write_outcome::unknown:
        // The write may have been applied. If it was, the next write fails with a conflict, which returns the
        // present revision.
        throw store::store_unavailable("outcome of writing the instance record is unknown");
    }
}

asio::awaitable<void> registration::withdraw()
{
    m_is_stopped = true;
    m_timer.cancel();
    if (m_lease == 0 || is_lease_outdated()) {
        co_return;
    }
    try {
        co_await m_store->revoke_lease(m_lease);
    } catch (const std::exception& error) {
        core::warning_event("record_not_withdrawn").with("error", error.what());
    }
}

} // namespace quetzalspan::edge
