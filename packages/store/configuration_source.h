// Follows the configuration in the store and reports new, older and invalid versions.

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
    // Pause after each watch, so that a store whose watches return at once is not called in a busy loop.
    core::duration watch_pause = std::chrono::milliseconds(100);
    // Interval of the reads in addition to the watch, which can stall without an error. Also the pause after
    // a failed watch.
    core::duration read_interval = std::chrono::seconds(1);
};

struct configuration_hooks {
    // Called with each configuration whose revision is higher than every known one, and with its text in the
    // store. Required; the other hooks may be empty.
    std::function<void(const config::configuration&, const std::string&)> on_new_configuration;
    // Called with the offered and the known revision when the store holds an older configuration, a different
    // one with the same revision, or none (offered is 0). Called once for each such entry.
    std::function<void(std::uint64_t, std::uint64_t)> on_regression;
    // Called with the findings for a document that cannot be parsed.
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

// All functions must run on the given executor, which must be a strand if several threads run it, except
// raise_known_revision() and known_revision(), which are thread-safe.
class configuration_source : public std::enable_shared_from_this<configuration_source>
{
public:
    static std::shared_ptr<configuration_source> create(boost::asio::any_io_executor executor,
                                                        std::shared_ptr<store_client> client,
                                                        configuration_options options,
                                                        configuration_hooks hooks);

    // Starts the read and watch loops. No hook is called once stop() has taken effect; a watch under way
    // still runs until it returns or times out.
    void start();
    void stop();

    // One iteration of each loop. They throw store_unavailable or store_rejected. A watch does nothing before
    // the first successful read.
    boost::asio::awaitable<void> read_once();
    boost::asio::awaitable<void> watch_once();

    // Records that a peer supplied a configuration with this revision. An older one in the store then counts
    // as a regression.
    void raise_known_revision(std::uint64_t revision);
    // Returns the highest revision of a configuration from the store or a peer, or 0 before the first one.
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
    // Never decreases.
    std::atomic<std::uint64_t> m_known_revision{0};
    // Nonce and revision of the last configuration accepted from the store. A configuration with a higher
    // known revision came from a peer, and its nonce is not known here.
    std::string m_accepted_nonce;
    std::uint64_t m_accepted_revision = 0;
    // The entry processed last, or empty if the key did not exist, so that each entry is parsed and reported
    // once. Valid if m_has_last_offered.
    std::optional<store_entry> m_last_offered;
    bool m_has_last_offered = false;
    // The store's revision after which the next watch continues. Valid if m_has_store_revision.
    std::uint64_t m_store_revision = 0;
    bool m_has_store_revision = false;
    configuration_statistics m_statistics;
};

} // namespace quetzalspan::store
