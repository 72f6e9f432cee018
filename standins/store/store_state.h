// The state of the stand-in for the key-value store: entries with revisions, leases, the history that watches
// read, and snapshots. It does no I/O and reads no clock; callers pass the time.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::standin_store
{

struct entry {
    std::string key;
    std::string value;
    // Revision of the last change.
    std::uint64_t revision = 0;
    // Revision of the creation. Later writes keep it; it changes when the key is deleted and written again.
    std::uint64_t created_revision = 0;
    // Lease that the last write attached to the key: the key is deleted when the lease ends. 0 means no
    // lease.
    std::uint64_t lease = 0;
};

struct change {
    std::string key;
    std::uint64_t revision = 0;
    // The entry after the change; std::nullopt for a deletion.
    std::optional<entry> current;
};

enum class write_status { applied, conflict, unknown_lease };

struct write_result {
    write_status status = write_status::applied;
    // Revision of the write, or the current revision of the store if the write was not applied.
    std::uint64_t revision = 0;
    // After a conflict, the entry as it is stored; std::nullopt if there is none.
    std::optional<entry> current;
};

struct change_list {
    // Whether changes after the requested revision may have been discarded: the client must list the keys
    // again.
    bool is_discarded = false;
    // Current revision of the store.
    std::uint64_t revision = 0;
    std::vector<change> changes;
};

struct instance_info {
    // The key of the member record without its prefix.
    std::string id;
    // State in the member record: "serving" or "leaving".
    std::string state;
};

struct state_options {
    // Changes kept for watches.
    std::size_t history_limit = 10'000;
    // Age of the list that instances() returns.
    core::duration instances_lag = std::chrono::seconds(2);
};

// Every change of a key increases the revision of the store by one. Not thread-safe.
class store_state
{
public:
    explicit store_state(state_options options = {}) : m_options(options) {}

    std::uint64_t revision() const { return m_revision; }
    std::optional<entry> find_entry(std::string_view key) const;
    // Returns the entries whose keys begin with the prefix, ordered by key.
    std::vector<entry> list(std::string_view prefix) const;

    // Writes the entry if its revision is the expected one; an expected revision of 0 means that it must not
    // exist. A lease of 0 means no lease. Reports a conflict or an unknown lease in the status.
    write_result put(const std::string& key, std::string value, std::uint64_t expected, std::uint64_t lease,
                     core::instant now);
    // Deletes the entry if its revision is the expected one. A missing entry is a conflict.
    write_result erase(const std::string& key, std::uint64_t expected, core::instant now);

    // Returns the changes above the revision to keys that begin with the prefix, in rising order of revision.
    change_list changes_after(std::string_view prefix, std::uint64_t revision) const;
    // Discards all changes, so that a watch from an earlier revision must list the keys again.
    void discard_history();

    std::uint64_t create_lease(core::duration time_to_live, core::instant now);
    // Restarts the time to live of the lease. Returns false if the lease has ended or never existed.
    bool keep_alive(std::uint64_t lease, core::instant now);
    // Ends the lease and deletes its keys. Returns false if there is no such lease.
    bool revoke_lease(std::uint64_t lease, core::instant now);
    // Ends the leases whose time to live has passed and deletes their keys. Returns whether there were any.
    bool expire_leases(core::instant now);

    // Returns the serving and leaving instances as the member records were `instances_lag` ago; empty if
    // there is no record that old. The lag lets tests show faults of readers that rely on an up-to-date list.
    std::vector<instance_info> instances(core::instant now) const;

    // Keeps a copy of the entries, the leases and the revision under a name.
    void take_snapshot(const std::string& name);
    // Replaces the state by a snapshot. The revision goes back as well, the time to live of each lease starts
    // again, and the history is discarded. Returns false if there is no such snapshot.
    bool restore_snapshot(const std::string& name, core::instant now);

private:
    struct lease_record {
        core::duration time_to_live{};
        core::instant deadline;
    };
    struct snapshot {
        std::map<std::string, entry, std::less<>> entries;
        std::map<std::uint64_t, lease_record> leases;
        std::uint64_t revision = 0;
    };
    struct timed_instance_list {
        core::instant time;
        std::vector<instance_info> instances;
    };

    void record_change(change what, core::instant now);
    void record_instances(core::instant now);
    void remove_keys_with_lease(std::uint64_t lease, core::instant now);

    state_options m_options;
    std::uint64_t m_revision = 0;
    std::map<std::string, entry, std::less<>> m_entries;
    // Changes in rising order of revision. It holds every change above m_history_begin.
    std::deque<change> m_history;
    std::uint64_t m_history_begin = 0;
    std::map<std::uint64_t, lease_record> m_leases;
    // Not restored with a snapshot, so that an id is never given to a second lease.
    std::uint64_t m_last_lease = 0;
    // Lists of instances by the time of the change that led to them, oldest first.
    std::deque<timed_instance_list> m_instance_history;
    std::map<std::string, snapshot> m_snapshots;
};

} // namespace quetzalspan::standin_store
