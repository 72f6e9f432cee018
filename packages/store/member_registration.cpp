// Joining, renewing, keepalives and leaving, and how a lost response is told apart from fencing.

#include "store/member_registration.h"

#include "core/digest.h"
#include "core/findings.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace quetzalspan::store
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t nonce_bytes = 16;
// Maximum number of unconfirmed writes kept to recognise their late effect. If the store has not responded
// for as many renewals, this instance's authority has long expired.
constexpr std::size_t max_unconfirmed_writes = 64;
// Attempts to delete the record during a planned shutdown.
constexpr int max_leave_attempts = 3;

bool is_suspect(const store_entry& entry)
{
    try {
        return member_from_record(entry.value, entry.key).state == membership::member_state::suspect;
    } catch (const core::findings_error&) {
        return false;
    }
}

std::string member_key(const membership::member& record)
{
    return std::string(member_prefix) + record.id;
}

std::string liveness_key(const membership::member& record)
{
    return std::string(liveness_prefix) + record.id;
}

} // namespace

member_registration::member_registration(asio::any_io_executor executor, std::shared_ptr<store_client> client,
                                         membership::member record, registration_options options,
                                         registration_hooks hooks)
    : m_executor(std::move(executor)),
      m_client(std::move(client)),
      m_options(options),
      m_hooks(std::move(hooks)),
      m_timer(m_executor),
      m_lock(m_executor),
      m_record(std::move(record)),
      m_write_id{core::random_hex(nonce_bytes), 0}
{
}

std::shared_ptr<member_registration>
member_registration::create(asio::any_io_executor executor, std::shared_ptr<store_client> client,
                            membership::member record, registration_options options, registration_hooks hooks)
{
    return std::shared_ptr<member_registration>(new member_registration(
        std::move(executor), std::move(client), std::move(record), options, std::move(hooks)));
}

void member_registration::start()
{
    const std::shared_ptr<member_registration> self = shared_from_this();
    asio::co_spawn(
        m_executor, [self] { return self->run(); }, asio::detached);
}

void member_registration::stop()
{
    const std::shared_ptr<member_registration> self = shared_from_this();
    asio::post(m_executor, [self] { self->m_timer.stop(); });
}

asio::awaitable<void> member_registration::run()
{
    const std::shared_ptr<member_registration> self = shared_from_this();
    for (std::uint64_t iteration = 0; is_active() && !m_timer.is_stopped(); ++iteration) {
        try {
            co_await run_step(iteration);
        } catch (const std::exception& error) {
            ++m_statistics.failures;
            core::debug_event("registration_call_failed")
                .with("member", m_record.id)
                .with("error", error.what());
        }
        co_await m_timer.wait(m_options.renewal_interval);
    }
}

asio::awaitable<void> member_registration::run_step(std::uint64_t iteration)
{
    if (state() == registration_state::joining) {
        co_await join_once();
        co_return;
    }
    co_await renew_once();
    if (iteration % m_options.renewals_per_keepalive == 0) {
        co_await keep_alive_once();
    }
}

asio::awaitable<void> member_registration::join_once()
{
    const async_lock::guard guard = co_await m_lock.acquire();
    if (state() != registration_state::joining) {
        co_return;
    }
    // Create the liveness key before the record, since peers take a member with a record but no key for dead.
    if (m_has_liveness_key) {
        const lease_outcome outcome = co_await m_client->keep_alive(m_lease);
        m_has_liveness_key = outcome != lease_outcome::lost;
    }
    co_await ensure_liveness_key();
    if (!m_has_liveness_key) {
        co_return;
    }
    co_await write_record();
}

asio::awaitable<void> member_registration::renew_once()
{
    const async_lock::guard guard = co_await m_lock.acquire();
    if (state() != registration_state::joined) {
        co_return;
    }
    ++m_statistics.renewals;
    co_await write_record();
}

asio::awaitable<void> member_registration::keep_alive_once()
{
    const async_lock::guard guard = co_await m_lock.acquire();
    if (state() != registration_state::joined) {
        co_return;
    }
    ++m_statistics.keepalives;
    if (m_has_liveness_key) {
        const lease_outcome outcome = co_await m_client->keep_alive(m_lease);
        if (outcome != lease_outcome::lost) {
            co_return;
        }
        ++m_statistics.leases_lost;
        m_has_liveness_key = false;
        core::warning_event("lease_lost").with("member", m_record.id);
    }
    // A peer may have fenced this member while the key was missing, so create the key again only after the
    // record is confirmed to be this member's.
    const write_status status = co_await write_record();
    if (status == write_status::confirmed) {
        co_await ensure_liveness_key();
    }
}

asio::awaitable<bool> member_registration::leave()
{
    const std::shared_ptr<member_registration> self = shared_from_this();
    const async_lock::guard guard = co_await m_lock.acquire();
    m_timer.stop();
    if (state() == registration_state::fenced) {
        co_return false;
    }
    const std::string key = member_key(m_record);
    for (int attempt = 0; attempt < max_leave_attempts && state() != registration_state::left; ++attempt) {
        try {
            const read_result present = co_await m_client->read(key);
            if (!present.entry) {
                m_state = registration_state::left;
                break;
            }
            const bool is_own_record =
                present.entry->revision == m_record_revision ||
                std::ranges::find(m_unconfirmed_writes, present.entry->value) != m_unconfirmed_writes.end();
            if (!is_own_record) {
                report_fenced(is_suspect(*present.entry) ? fence_reason::suspect : fence_reason::changed);
                co_return false;
            }
            const write_result erased = co_await m_client->erase(key, present.entry->revision);
            if (erased.outcome == write_outcome::applied) {
                m_state = registration_state::left;
            }
        } catch (const store_unavailable& error) {
            ++m_statistics.failures;
            core::warning_event("leave_failed").with("member", m_record.id).with("error", error.what());
        }
    }
    if (state() != registration_state::left) {
        co_return false;
    }
    try {
        co_await m_client->revoke_lease(m_lease);
    } catch (const store_unavailable& error) {
        // The lease expires without being revoked.
        core::debug_event("lease_not_revoked").with("member", m_record.id).with("error", error.what());
    }
    co_return true;
}

void member_registration::set_state(membership::member_state state)
{
    const std::lock_guard<std::mutex> guard(m_record_mutex);
    m_record.state = state;
}

void member_registration::set_membership_revision_seen(std::uint64_t revision)
{
    const std::lock_guard<std::mutex> guard(m_record_mutex);
    m_record.membership_revision_seen = revision;
}

asio::awaitable<member_registration::write_status> member_registration::write_record()
{
    const std::string text = next_record_text();
    if (m_unconfirmed_writes.size() == max_unconfirmed_writes) {
        m_unconfirmed_writes.erase(m_unconfirmed_writes.begin());
    }
    m_unconfirmed_writes.push_back(text);
    const core::instant sent_at = m_hooks.now();
    const write_result written = co_await m_client->write(member_key(m_record), text, m_record_revision);
    switch (written.outcome) {
    case write_outcome::applied:
        co_return record_confirmation(written.revision, sent_at);
    case write_outcome::conflict:
        co_return evaluate_changed_record(written.current, sent_at);
    case write_outcome::lease_lost:
    case write_outcome::unknown:
        break;
    }
    co_return co_await read_back(sent_at);
}

asio::awaitable<member_registration::write_status> member_registration::read_back(core::instant sent_at)
{
    const read_result found = co_await m_client->read(member_key(m_record));
    const std::uint64_t present = found.entry ? found.entry->revision : 0;
    if (present == m_record_revision) {
        // The write has not been applied, but still may be, so its text stays in m_unconfirmed_writes.
        co_return write_status::retry;
    }
    co_return evaluate_changed_record(found.entry, sent_at);
}

// Decides whether a record whose revision is not the expected one is an own write or means that this member
// was fenced.
member_registration::write_status
member_registration::evaluate_changed_record(const std::optional<store_entry>& current, core::instant sent_at)
{
    if (!current) {
        return report_fenced(fence_reason::gone);
    }
    if (std::ranges::find(m_unconfirmed_writes, current->value) != m_unconfirmed_writes.end()) {
        ++m_statistics.recognised_writes;
        return record_confirmation(current->revision, sent_at);
    }
    return report_fenced(is_suspect(*current) ? fence_reason::suspect : fence_reason::changed);
}

asio::awaitable<void> member_registration::ensure_liveness_key()
{
    if (m_has_liveness_key) {
        co_return;
    }
    m_lease = co_await m_client->create_lease(m_options.lease_time);
    const std::string key = liveness_key(m_record);
    write_result written = co_await m_client->write(key, m_write_id.nonce, 0, m_lease);
    if (written.outcome == write_outcome::conflict && written.current) {
        // The key belongs to an earlier lease of this member that has not expired yet, or was created by a
        // write whose response was lost.
        written = co_await m_client->write(key, m_write_id.nonce, written.current->revision, m_lease);
    }
    if (written.outcome == write_outcome::unknown) {
        const read_result found = co_await m_client->read(key);
        m_has_liveness_key = found.entry && found.entry->lease == m_lease;
        co_return;
    }
    m_has_liveness_key = written.outcome == write_outcome::applied;
}

member_registration::write_status member_registration::record_confirmation(std::uint64_t revision,
                                                                           core::instant sent_at)
{
    const bool is_joining = state() == registration_state::joining;
    m_record_revision = revision;
    m_unconfirmed_writes.clear();
    m_state = registration_state::joined;
    if (is_joining) {
        core::info_event("member_joined").with("member", m_record.id).with("revision", revision);
        if (m_hooks.on_joined) {
            m_hooks.on_joined(revision);
        }
    }
    m_hooks.on_confirmed(sent_at);
    return write_status::confirmed;
}

member_registration::write_status member_registration::report_fenced(fence_reason reason)
{
    m_state = registration_state::fenced;
    m_timer.stop();
    core::warning_event("member_fenced")
        .with("member", m_record.id)
        .with("reason", fence_reason_names.name(reason));
    m_hooks.on_fenced(reason);
    return write_status::ended;
}

std::string member_registration::next_record_text()
{
    ++m_write_id.sequence;
    const std::lock_guard<std::mutex> guard(m_record_mutex);
    return to_record(m_record, m_write_id);
}

bool member_registration::is_active() const
{
    return state() == registration_state::joining || state() == registration_state::joined;
}

} // namespace quetzalspan::store
