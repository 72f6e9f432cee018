// Keeps a copy of all entries under a prefix of the store, by listing, watching and listing again.

#pragma once

#include "core/boot_clock.h"
#include "store/key_value_store.h"
#include "store/stoppable_timer.h"

#include <functional>
#include <map>
#include <memory>

namespace quetzalspan::store
{

struct mirror_options {
    std::string prefix;
    // Longest wait of one watch.
    core::duration watch_timeout = std::chrono::seconds(20);
    // Pause after each watch. Changes that come meanwhile arrive together, so that n members that renew their
    // records do not cost each member n calls per second.
    core::duration watch_pause = std::chrono::milliseconds(500);
    // Pause after a call that failed.
    core::duration retry_pause = std::chrono::milliseconds(500);
    // A watch can stall silently; listing again bounds for how long the copy can be out of date. Zero lists
    // only at the start and when the history was discarded; then the time-out of the watch is the bound.
    core::duration list_interval = std::chrono::seconds(5);
};

struct mirror_statistics {
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    // Listings whose revision was below one seen before: the store was restored to an older state.
    std::uint64_t regressions = 0;
};

// All functions run on the executor given, which must be a strand if several threads run it.
class prefix_mirror : public std::enable_shared_from_this<prefix_mirror>
{
public:
    struct hooks {
        // Called when the copy or its revision has changed, and after the first listing.
        std::function<void()> on_update;
        // Called for each entry that is new, changed or, without a value, gone, before on_update.
        std::function<void(const std::string& key, const store_entry*)> on_entry;
        // Called when a call has succeeded, before its changes are reported.
        std::function<void()> on_call_succeeded;
        // Called after each call that succeeded, with the time at which it was sent: the copy holds every
        // change that the store acknowledged before that time.
        std::function<void(core::boot_instant)> on_confirmed;
        // Called with the offered and the known revision before the older state is taken over.
        std::function<void(std::uint64_t, std::uint64_t)> on_regression;
    };

    static std::shared_ptr<prefix_mirror> create(boost::asio::any_io_executor executor,
                                                 std::shared_ptr<key_value_store> client,
                                                 mirror_options options, hooks callbacks);

    // Starts the loops. After stop() no hook is called; a pending watch ends by its time-out.
    void start();
    void stop();

    // The steps of the loops. They throw store_unavailable or store_rejected.
    boost::asio::awaitable<void> list_once();
    boost::asio::awaitable<void> watch_once();

    // Whether a listing has succeeded; until then the copy is empty.
    bool has_listed() const { return m_has_listed; }
    const std::map<std::string, store_entry>& entries() const { return m_entries; }
    // The copy holds all changes up to this revision.
    std::uint64_t revision() const { return m_revision; }
    const mirror_statistics& statistics() const { return m_statistics; }

private:
    prefix_mirror(boost::asio::any_io_executor executor, std::shared_ptr<key_value_store> client,
                  mirror_options options, hooks callbacks);

    boost::asio::awaitable<void> run_lists();
    boost::asio::awaitable<void> run_watches();
    void count_failure(const std::exception& error);
    void report_confirmed(core::boot_instant sent_at);
    void replace_entries(std::map<std::string, store_entry> entries);
    void apply_change(const store_change& change);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<key_value_store> m_client;
    mirror_options m_options;
    hooks m_hooks;
    stoppable_timer m_list_timer;
    stoppable_timer m_watch_timer;
    std::map<std::string, store_entry> m_entries;
    bool m_has_listed = false;
    // Whether the last call failed.
    bool m_is_failing = false;
    unsigned m_consecutive_failures = 0;
    std::uint64_t m_revision = 0;
    // Where the next watch continues; differs from m_revision when a listing was newer than the watch.
    std::uint64_t m_watched_revision = 0;
    mirror_statistics m_statistics;
};

} // namespace quetzalspan::store
