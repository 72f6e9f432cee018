// Maintains a local copy of all store entries under a key prefix, by watches and periodic listings.

#pragma once

#include "core/boot_clock.h"
#include "store/key_value_store.h"
#include "store/stoppable_timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace quetzalspan::store
{

struct mirror_options {
    std::string prefix;
    // Time-out of one watch.
    core::duration watch_timeout = std::chrono::seconds(20);
    // Pause after each watch. The next watch returns all changes made during the pause at once, so that n
    // members that renew their records do not cause n calls per second from each member.
    core::duration watch_pause = std::chrono::milliseconds(500);
    // The same two in the mode watch_mode::serving.
    core::duration serving_watch_timeout = std::chrono::milliseconds(400);
    core::duration serving_watch_pause = std::chrono::milliseconds(200);
    // Pause after each question to a peer.
    core::duration ask_pause = std::chrono::milliseconds(900);
    // The next question follows sooner if what the peer has confirmed would otherwise become older than this.
    // It bounds how long a peer that has lost the store can hide a change.
    core::duration max_confirmation_age = std::chrono::milliseconds(1400);
    // Pause after a call that failed.
    core::duration retry_pause = std::chrono::milliseconds(500);
    // A watch can stall without an error; periodic listings bound how long the copy can then be out of date.
    // With zero, listings happen only at the start, after repeated failures and when the store has discarded
    // the history; the bound is then the time-out of the watch.
    core::duration list_interval = std::chrono::seconds(5);
};

// What another holder of a copy says about the store: at the time as_of, its revision was the given one or a
// lower one, in the given epoch.
struct peer_confirmation {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    core::boot_instant as_of;
};

// How a mirror learns of changes.
enum class watch_mode {
    // By its own watches.
    own,
    // By its own watches, at the shorter intervals of a copy that others ask for confirmations.
    serving,
    // By asking a peer, with a call to the store only if the peer knows a newer revision or epoch, or does
    // not
    // answer.
    asking,
};

struct mirror_statistics {
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    // Listings with a lower revision than one seen before, because the store was restored to an older state.
    std::uint64_t regressions = 0;
};

// All functions must run on the given executor, which must be a strand if several threads run it.
class prefix_mirror : public std::enable_shared_from_this<prefix_mirror>
{
public:
    struct hooks {
        // Called after the copy or its revision has changed, and after the first listing. Required; the other
        // hooks may be empty.
        std::function<void()> on_update;
        // Called before on_update for each entry that was created or changed, and with a null pointer for
        // each that was deleted.
        std::function<void(const std::string& key, const store_entry*)> on_entry;
        // Called after each successful call, before its changes are reported, with the time up to which its
        // result is complete.
        std::function<void(core::boot_instant)> on_call_succeeded;
        // Called after the result of a call was applied, with the time at which the call was sent. The copy
        // then contains every change that the store acknowledged before that time.
        std::function<void(core::boot_instant)> on_confirmed;
        // Returns the present mode. Without this hook, it is watch_mode::own.
        std::function<watch_mode()> mode;
        // Asks a peer in the mode watch_mode::asking. Returns no value if it does not answer or knows nothing
        // recent.
        std::function<boost::asio::awaitable<std::optional<peer_confirmation>>()> ask_peer;
        // Called with the revision of the listing and the highest one known before the copy is replaced by an
        // older state of the store.
        std::function<void(std::uint64_t, std::uint64_t)> on_regression;
        // Called before the copy is replaced by the entries of a store that has been restored, after which
        // on_entry and on_update are called as for any listing.
        std::function<void()> on_restored;
    };

    static std::shared_ptr<prefix_mirror> create(boost::asio::any_io_executor executor,
                                                 std::shared_ptr<key_value_store> client,
                                                 mirror_options options, hooks callbacks);

    // Starts the listing and watch loops. No hook is called once stop() has taken effect; a watch under way
    // still runs until it returns or times out.
    void start();
    void stop();

    // One iteration of each loop. They throw store_unavailable or store_rejected.
    boost::asio::awaitable<void> list_once();
    boost::asio::awaitable<void> watch_once();

    // Returns what this copy can confirm to a peer: its revision, and the time up to which it contains all
    // changes. No value before the first listing has succeeded.
    std::optional<peer_confirmation> confirmation() const;

    // Returns whether a listing has succeeded. Until then the copy is empty.
    bool has_listed() const { return m_has_listed; }
    const std::map<std::string, store_entry>& entries() const { return m_entries; }
    // Returns the store's revision up to which the copy contains all changes.
    std::uint64_t revision() const { return m_revision; }
    const mirror_statistics& statistics() const { return m_statistics; }

private:
    prefix_mirror(boost::asio::any_io_executor executor, std::shared_ptr<key_value_store> client,
                  mirror_options options, hooks callbacks);

    boost::asio::awaitable<void> run_lists();
    boost::asio::awaitable<void> run_watches();
    // Brings the copy up to date in the present mode. Returns the pause before the next time.
    boost::asio::awaitable<core::duration> update_once();
    // Returns the time up to which a peer has confirmed the copy, so that no call to the store is needed; no
    // value if it has not.
    boost::asio::awaitable<std::optional<core::boot_instant>> ask_peer();
    // Returns the pause after a confirmation by a peer.
    core::duration compute_ask_pause(core::boot_instant as_of, core::boot_instant now) const;
    boost::asio::awaitable<void> watch(core::duration timeout);
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
    // The epoch of the store to which the copy and its revisions belong.
    std::uint64_t m_epoch = 0;
    // The copy contains every change that the store acknowledged before this time.
    core::boot_instant m_confirmed_as_of;
    // Whether the last answer of a peer named a newer revision or epoch.
    bool m_is_behind_peer = false;
    // The revision after which the next watch continues. Lower than m_revision if a listing was newer than
    // the last watch.
    std::uint64_t m_watched_revision = 0;
    mirror_statistics m_statistics;
};

} // namespace quetzalspan::store
