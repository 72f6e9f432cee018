// The read and watch loops of a configuration source, and the checks of each configuration offered by the
// store.

#include "store/configuration_source.h"

#include "config/configuration_json.h"
#include "core/findings.h"
#include "core/log_event.h"
#include "store/records.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace quetzalspan::store
{

namespace asio = boost::asio;

configuration_source::configuration_source(asio::any_io_executor executor,
                                           std::shared_ptr<store_client> client,
                                           configuration_options options, configuration_hooks hooks)
    : m_executor(std::move(executor)),
      m_client(std::move(client)),
      m_options(options),
      m_hooks(std::move(hooks)),
      m_read_timer(m_executor),
      m_watch_timer(m_executor)
{
}

std::shared_ptr<configuration_source> configuration_source::create(asio::any_io_executor executor,
                                                                   std::shared_ptr<store_client> client,
                                                                   configuration_options options,
                                                                   configuration_hooks hooks)
{
    return std::shared_ptr<configuration_source>(
        new configuration_source(std::move(executor), std::move(client), options, std::move(hooks)));
}

void configuration_source::start()
{
    const std::shared_ptr<configuration_source> self = shared_from_this();
    asio::co_spawn(
        m_executor, [self] { return self->run_reads(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self] { return self->run_watches(); }, asio::detached);
}

void configuration_source::stop()
{
    const std::shared_ptr<configuration_source> self = shared_from_this();
    asio::post(m_executor, [self] {
        self->m_read_timer.stop();
        self->m_watch_timer.stop();
    });
}

asio::awaitable<void> configuration_source::run_reads()
{
    const std::shared_ptr<configuration_source> self = shared_from_this();
    while (!m_read_timer.is_stopped()) {
        try {
            co_await read_once();
        } catch (const std::exception& error) {
            count_failure(error);
        }
        co_await m_read_timer.wait(m_options.read_interval);
    }
}

asio::awaitable<void> configuration_source::run_watches()
{
    const std::shared_ptr<configuration_source> self = shared_from_this();
    while (!m_watch_timer.is_stopped()) {
        bool has_failed = false;
        try {
            co_await watch_once();
        } catch (const std::exception& error) {
            count_failure(error);
            has_failed = true;
        }
        co_await m_watch_timer.wait(has_failed ? m_options.read_interval : m_options.watch_pause);
    }
}

asio::awaitable<void> configuration_source::read_once()
{
    ++m_statistics.reads;
    const read_result found = co_await m_client->read(std::string(configuration_key));
    if (m_read_timer.is_stopped()) {
        co_return;
    }
    if (!m_has_store_revision) {
        m_store_revision = found.revision;
        m_has_store_revision = true;
    }
    process_offered_entry(found.entry);
}

asio::awaitable<void> configuration_source::watch_once()
{
    if (!m_has_store_revision) {
        // The read loop supplies the first revision.
        co_return;
    }
    ++m_statistics.watches;
    const watch_result found =
        co_await m_client->watch(std::string(configuration_key), m_store_revision, m_options.watch_timeout);
    if (m_watch_timer.is_stopped()) {
        co_return;
    }
    m_store_revision = found.revision;
    if (found.is_history_discarded) {
        co_await read_once();
        co_return;
    }
    for (const store_change& item : found.changes) {
        if (item.key == configuration_key) {
            process_offered_entry(item.entry);
        }
    }
}

void configuration_source::raise_known_revision(std::uint64_t revision)
{
    std::uint64_t known = m_known_revision.load();
    while (known < revision && !m_known_revision.compare_exchange_weak(known, revision)) {
    }
}

void configuration_source::count_failure(const std::exception& error)
{
    ++m_statistics.failures;
    core::debug_event("configuration_call_failed").with("error", error.what());
}

void configuration_source::process_offered_entry(const std::optional<store_entry>& offered)
{
    const bool is_unchanged = m_has_last_offered && offered.has_value() == m_last_offered.has_value() &&
                              (!offered || (offered->revision == m_last_offered->revision &&
                                            offered->value == m_last_offered->value));
    if (is_unchanged) {
        return;
    }
    m_has_last_offered = true;
    m_last_offered = offered;
    if (!offered) {
        if (known_revision() > 0) {
            report_regression(0);
        }
        return;
    }
    config::configuration document;
    try {
        document = config::configuration_from_json(offered->value, offered->key);
    } catch (const core::findings_error& error) {
        ++m_statistics.invalid;
        core::error_event("configuration_invalid").with("error", error.what());
        if (m_hooks.on_invalid) {
            m_hooks.on_invalid(error.what());
        }
        return;
    }
    if (document.revision > known_revision()) {
        raise_known_revision(document.revision);
        m_accepted_revision = document.revision;
        m_accepted_nonce = document.nonce;
        ++m_statistics.accepted;
        m_hooks.on_new_configuration(document, offered->value);
        return;
    }
    const bool matches_known =
        document.revision == known_revision() &&
        (document.revision != m_accepted_revision || document.nonce == m_accepted_nonce);
    if (!matches_known) {
        report_regression(document.revision);
    }
}

void configuration_source::report_regression(std::uint64_t offered)
{
    ++m_statistics.regressions;
    core::error_event("configuration_went_back").with("offered", offered).with("known", known_revision());
    if (m_hooks.on_regression) {
        m_hooks.on_regression(offered, known_revision());
    }
}

} // namespace quetzalspan::store
