// Entries, changes, results and errors of the key-value store interface.

#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace quetzalspan::store
{

struct store_entry {
    std::string key;
    std::string value;
    // The store's revisions at which the entry was last changed and at which it was created.
    std::uint64_t revision = 0;
    std::uint64_t created_revision = 0;
    // The id of the lease to which the entry is attached, or 0 if there is none. The store deletes the entry
    // when the lease expires.
    std::uint64_t lease = 0;

    friend bool operator==(const store_entry&, const store_entry&) = default;
};

struct read_result {
    // The store's revision at the time of the read.
    std::uint64_t revision = 0;
    // Empty if the key does not exist.
    std::optional<store_entry> entry;
};

struct list_result {
    // How often the store has been restored from an older copy of itself, as far as it tells. Revisions and
    // leases of different epochs cannot be compared: a restored store assigns them again.
    std::uint64_t epoch = 0;
    // The store's revision at the time of the listing. A watch that starts after it misses no change.
    std::uint64_t revision = 0;
    std::vector<store_entry> entries;
};

// A write or deletion of one key, as reported by a watch.
struct store_change {
    std::string key;
    // The store's revision of the change.
    std::uint64_t revision = 0;
    // The entry as written; empty if the key was deleted.
    std::optional<store_entry> entry;
};

struct watch_result {
    // See list_result.
    std::uint64_t epoch = 0;
    // The store has discarded changes after the requested revision, so the caller must list the entries
    // again.
    bool is_history_discarded = false;
    // The revision after which the next watch continues.
    std::uint64_t revision = 0;
    // In ascending order of revision; empty if the watch timed out without a change.
    std::vector<store_change> changes;
};

enum class write_outcome {
    applied,
    // The entry's revision was not the expected one; nothing was written.
    conflict,
    // The lease has expired; nothing was written.
    lease_lost,
    // The response was lost or timed out. The caller must read the key to learn whether the write was
    // applied.
    unknown,
};

struct write_result {
    write_outcome outcome = write_outcome::unknown;
    // The entry's revision after the write, if it was applied.
    std::uint64_t revision = 0;
    // The existing entry in case of a conflict; empty if the key does not exist.
    std::optional<store_entry> current;
};

// Outcome of a keepalive or revocation. Lost means that the lease does not exist any more, unknown that the
// response was lost or timed out.
enum class lease_outcome { applied, lost, unknown };

// An item of the platform's list of instances.
struct instance_entry {
    std::string id;
    // The state in the member record: "serving" or "leaving".
    std::string state;
};

// Thrown if the store did not respond, responded with status 429 or 5xx, or sent a malformed response. A
// write throws it only if it was certainly not executed.
class store_unavailable : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Thrown if the store rejects a request as invalid, such as a value above its size limit.
class store_rejected : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace quetzalspan::store
