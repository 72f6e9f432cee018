// Keeps the configuration up to date from the store.

#pragma once

#include "config/model.h"
#include "store/stoppable_timer.h"
#include "store/store_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace quetzalspan::store
{

struct configuration_options {
    core::duration watch_timeout = std::chrono::seconds(20);
    // Pause after each watch, so that a store that responds at once is not called without end.
    core::duration watch_pause = std::chrono::milliseconds(100);
    // Reads in addition to the watch, which can stall silently.
    core::duration read_interval = std::chrono::seconds(1);
};

struct configuration_hooks {
    // Called with each configuration whose revision is above all before, and its text in the store.
    std::function<void(const config::configuration&, const std::string&)> on_newer;
    // Called with the offered and the known revision when the store offers an older configuration, another
    // one of the same revision, or none (0). Called once for each such offer.
    std::function<void(std::uint64_t, std::uint64_t)> on_regression;
    // Called with the findings of a document that cannot be read.
    std::function<void(const std::string&)> on_invalid;
};

struct configuration_statistics {
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    std::uint64_t accepted = 0;
    std::uint64_t regressions = 0;
    std::uint64_t invalid = 0;
};

// All functions run on the executor given, which must be a strand if several threads run it, except
// note_revision() and known_revision().
class configuration_source : public std::enable_shared_from_this<configuration_source>
{
public:
    static std::shared_ptr<configuration_source> create(boost::asio::any_io_executor executor,
                                                        std::shared_ptr<store_client> client,
                                                        configuration_options options,
                                                        configuration_hooks hooks);

    // Starts the loops. After stop() no hook is called; a pending watch ends by its time-out.
    void start();
    void stop();

    // The steps of the loops. They throw store_unavailable or store_rejected.
    boost::asio::awaitable<void> read_once();
    boost::asio::awaitable<void> watch_once();

    // Tells the source that a configuration of this revision came from a peer: an older one from the store is
    // then a regression. Any thread may call it.
    void note_revision(std::uint64_t revision);
    std::uint64_t known_revision() const { return m_known_revision.load(); }
    const configuration_statistics& statistics() const { return m_statistics; }

private:
    configuration_source(boost::asio::any_io_executor executor, std::shared_ptr<store_client> client,
                         configuration_options options, configuration_hooks hooks);

    boost::asio::awaitable<void> run_reads();
    boost::asio::awaitable<void> run_watches();
    void count_failure(const std::exception& error);
    void process_offered_entry(const std::optional<store_entry>& offered);
    void report_regression(std::uint64_t offered);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<store_client> m_client;
    configuration_options m_options;
    configuration_hooks m_hooks;
    stoppable_timer m_read_timer;
    stoppable_timer m_watch_timer;
    // Never goes back.
    std::atomic<std::uint64_t> m_known_revision{0};
    // Nonce of the configuration accepted last; empty if it came from a peer.
    std::string m_accepted_nonce;
    std::uint64_t m_accepted_revision = 0;
    // The entry that was considered last, so that each is parsed and reported once.
    std::optional<store_entry> m_last_offered;
    bool m_has_last_offered = false;
    // The store's revision that the next watch continues after, and whether one is known.
    std::uint64_t m_store_revision = 0;
    bool m_has_store_revision = false;
    configuration_statistics m_statistics;
};

} // namespace quetzalspan::store
