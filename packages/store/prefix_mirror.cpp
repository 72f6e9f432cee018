// The listing and watch loops of a prefix mirror, and how their results are applied to the copy.

#include "store/prefix_mirror.h"

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

// Time-out of a watch after a failed call; the shortest that every store accepts.
constexpr core::duration catch_up_watch_timeout = std::chrono::milliseconds(1);

// Consecutive failures after which the entries are listed instead of watched. After a long outage a watch
// returns every intermediate version of large entries and may exceed its time-out, while a listing returns
// only the current versions.
constexpr unsigned failures_before_listing = 2;

} // namespace

prefix_mirror::prefix_mirror(asio::any_io_executor executor, std::shared_ptr<key_value_store> client,
                             mirror_options options, hooks callbacks)
    : m_executor(std::move(executor)),
      m_client(std::move(client)),
      m_options(std::move(options)),
      m_hooks(std::move(callbacks)),
      m_list_timer(m_executor),
      m_watch_timer(m_executor)
{
}

std::shared_ptr<prefix_mirror> prefix_mirror::create(asio::any_io_executor executor,
                                                     std::shared_ptr<key_value_store> client,
                                                     mirror_options options, hooks callbacks)
{
    return std::shared_ptr<prefix_mirror>(
        new prefix_mirror(std::move(executor), std::move(client), std::move(options), std::move(callbacks)));
}

void prefix_mirror::start()
{
    const std::shared_ptr<prefix_mirror> self = shared_from_this();
    asio::co_spawn(
        m_executor, [self] { return self->run_lists(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self] { return self->run_watches(); }, asio::detached);
}

void prefix_mirror::stop()
{
    const std::shared_ptr<prefix_mirror> self = shared_from_this();
    asio::post(m_executor, [self] {
        self->m_list_timer.stop();
        self->m_watch_timer.stop();
    });
}

asio::awaitable<void> prefix_mirror::run_lists()
{
    const std::shared_ptr<prefix_mirror> self = shared_from_this();
    while (!m_list_timer.is_stopped()) {
        try {
            co_await list_once();
        } catch (const std::exception& error) {
            count_failure(error);
        }
        if (m_has_listed && m_options.list_interval == core::duration(0)) {
            co_return;
        }
        // The copy is unusable until the first listing succeeds, so retry sooner.
        co_await m_list_timer.wait(m_has_listed ? m_options.list_interval : m_options.retry_pause);
    }
}

asio::awaitable<void> prefix_mirror::run_watches()
{
    const std::shared_ptr<prefix_mirror> self = shared_from_this();
    while (!m_watch_timer.is_stopped()) {
        core::duration pause = m_options.retry_pause;
        try {
            if (m_has_listed) {
                pause = co_await update_once();
            }
        } catch (const std::exception& error) {
            count_failure(error);
        }
        co_await m_watch_timer.wait(pause);
    }
}

asio::awaitable<core::duration> prefix_mirror::update_once()
{
    const watch_mode mode = m_hooks.mode ? m_hooks.mode() : watch_mode::own;
    m_is_behind_peer = false;
    if (mode == watch_mode::asking) {
        const std::optional<core::boot_instant> confirmed = co_await ask_peer();
        if (m_watch_timer.is_stopped()) {
            co_return m_options.ask_pause;
        }
        if (confirmed) {
            co_return compute_ask_pause(*confirmed, core::boot_clock::now());
        }
    }
    if (m_consecutive_failures >= failures_before_listing) {
        co_await list_once();
        m_watched_revision = m_revision;
    } else if (mode == watch_mode::serving) {
        co_await watch(m_options.serving_watch_timeout);
        co_return m_options.serving_watch_pause;
    } else {
        co_await watch_once();
    }
    co_return m_is_behind_peer ? m_options.ask_pause : m_options.watch_pause;
}

asio::awaitable<std::optional<core::boot_instant>> prefix_mirror::ask_peer()
{
    const std::optional<peer_confirmation> answer = co_await m_hooks.ask_peer();
    if (!answer || m_watch_timer.is_stopped()) {
        co_return std::nullopt;
    }
    if (answer->epoch < m_epoch) {
        // The peer has not noticed yet that the store was restored.
        co_return std::nullopt;
    }
    m_is_behind_peer = answer->epoch > m_epoch || answer->revision > m_revision;
    if (m_is_behind_peer) {
        co_return std::nullopt;
    }
    if (m_hooks.on_call_succeeded) {
        m_hooks.on_call_succeeded(answer->as_of);
    }
    report_confirmed(answer->as_of);
    co_return answer->as_of;
}

core::duration prefix_mirror::compute_ask_pause(core::boot_instant as_of, core::boot_instant now) const
{
    const core::duration until_old = m_options.max_confirmation_age - (now - as_of);
    return std::clamp(until_old, core::duration(0), m_options.ask_pause);
}

std::optional<peer_confirmation> prefix_mirror::confirmation() const
{
    return m_has_listed ? std::optional<peer_confirmation>({m_epoch, m_revision, m_confirmed_as_of})
                        : std::nullopt;
}

asio::awaitable<void> prefix_mirror::list_once()
{
    const std::uint64_t known = m_revision;
    ++m_statistics.lists;
    const core::boot_instant sent_at = core::boot_clock::now();
    const list_result found = co_await m_client->list(m_options.prefix);
    if (m_list_timer.is_stopped()) {
        co_return;
    }
    if (m_hooks.on_call_succeeded) {
        m_hooks.on_call_succeeded(sent_at);
    }
    if (found.epoch < m_epoch) {
        // A response from before the store was restored.
        co_return;
    }
    const bool is_restored = m_has_listed && found.epoch > m_epoch;
    const bool is_regression = m_has_listed && found.revision < known;
    if (is_restored) {
        core::warning_event("store_restored")
            .with("prefix", m_options.prefix)
            .with("epoch", found.epoch)
            .with("known_epoch", m_epoch)
            .with("revision", found.revision)
            .with("known_revision", m_revision);
        if (m_hooks.on_restored) {
            m_hooks.on_restored();
        }
    } else if (is_regression) {
        ++m_statistics.regressions;
        core::warning_event("store_revision_went_back")
            .with("prefix", m_options.prefix)
            .with("offered", found.revision)
            .with("known", known);
        if (m_hooks.on_regression) {
            m_hooks.on_regression(found.revision, known);
        }
    } else if (m_has_listed && found.revision < m_revision) {
        // A watch that returned during the listing has already brought the copy to a newer revision.
        co_return;
    }
    std::map<std::string, store_entry> entries;
    for (const store_entry& item : found.entries) {
        entries.emplace(item.key, item);
    }
    // After a restore the store can reach the known revision again with different entries.
    const bool is_updated =
        !m_has_listed || is_restored || found.revision != m_revision || entries != m_entries;
    if (!m_has_listed || is_restored || is_regression) {
        m_watched_revision = found.revision;
    }
    m_epoch = found.epoch;
    replace_entries(std::move(entries));
    m_revision = found.revision;
    m_has_listed = true;
    if (is_updated) {
        m_hooks.on_update();
    }
    report_confirmed(sent_at);
}

void prefix_mirror::replace_entries(std::map<std::string, store_entry> entries)
{
    const std::map<std::string, store_entry> previous = std::exchange(m_entries, std::move(entries));
    if (!m_hooks.on_entry) {
        return;
    }
    for (const auto& [key, entry] : previous) {
        if (!m_entries.contains(key)) {
            m_hooks.on_entry(key, nullptr);
        }
    }
    for (const auto& [key, entry] : m_entries) {
        const std::map<std::string, store_entry>::const_iterator known = previous.find(key);
        if (known == previous.end() || !(known->second == entry)) {
            m_hooks.on_entry(key, &entry);
        }
    }
}

void prefix_mirror::apply_change(const store_change& change)
{
    const std::map<std::string, store_entry>::iterator known = m_entries.find(change.key);
    // Entries of a listing can be newer than its revision, so a watch may repeat changes that the copy
    // already contains.
    if (known != m_entries.end() && known->second.revision >= change.revision) {
        return;
    }
    if (change.entry) {
        const store_entry& entry = m_entries.insert_or_assign(change.key, *change.entry).first->second;
        if (m_hooks.on_entry) {
            m_hooks.on_entry(change.key, &entry);
        }
    } else if (known != m_entries.end()) {
        m_entries.erase(known);
        if (m_hooks.on_entry) {
            m_hooks.on_entry(change.key, nullptr);
        }
    }
}

void prefix_mirror::report_confirmed(core::boot_instant sent_at)
{
    m_consecutive_failures = 0;
    m_confirmed_as_of = std::max(m_confirmed_as_of, sent_at);
    if (std::exchange(m_is_failing, false)) {
        core::info_event("store_regained").with("prefix", m_options.prefix).with("revision", m_revision);
    }
    if (m_hooks.on_confirmed) {
        m_hooks.on_confirmed(sent_at);
    }
}

asio::awaitable<void> prefix_mirror::watch_once()
{
    co_await watch(m_options.watch_timeout);
}

asio::awaitable<void> prefix_mirror::watch(core::duration timeout)
{
    const std::uint64_t after = m_watched_revision;
    ++m_statistics.watches;
    const core::boot_instant sent_at = core::boot_clock::now();
    // After a failure or an answer of a peer the copy may be out of date, so the watch should return
    // immediately.
    const core::duration used_timeout =
        m_is_failing || m_is_behind_peer ? std::min(timeout, catch_up_watch_timeout) : timeout;
    const watch_result found = co_await m_client->watch(m_options.prefix, after, used_timeout);
    if (m_watch_timer.is_stopped()) {
        co_return;
    }
    if (m_hooks.on_call_succeeded) {
        m_hooks.on_call_succeeded(sent_at);
    }
    if (found.is_history_discarded) {
        core::info_event("store_history_discarded").with("prefix", m_options.prefix).with("after", after);
        co_await list_once();
        m_watched_revision = m_revision;
        co_return;
    }
    if (found.epoch > m_epoch) {
        // Changes of the restored store up to the revision of the copy would be missing.
        co_await list_once();
        co_return;
    }
    if (found.epoch < m_epoch || m_watched_revision != after) {
        // While this watch was waiting, a listing found that the store had been restored. The changes may
        // belong to the state before the restore.
        co_return;
    }
    m_watched_revision = found.revision;
    for (const store_change& item : found.changes) {
        // A listing may already have supplied this change and later ones.
        if (item.revision <= m_revision) {
            continue;
        }
        apply_change(item);
    }
    if (found.revision > m_revision) {
        m_revision = found.revision;
        m_hooks.on_update();
    }
    report_confirmed(sent_at);
}

void prefix_mirror::count_failure(const std::exception& error)
{
    ++m_statistics.failures;
    ++m_consecutive_failures;
    if (!std::exchange(m_is_failing, true)) {
        core::warning_event("store_lost").with("prefix", m_options.prefix).with("error", error.what());
    }
    core::debug_event("store_mirror_failed").with("prefix", m_options.prefix).with("error", error.what());
}

} // namespace quetzalspan::store
