// Typed results of the store client.

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
    // The store's revision of the last change and of the creation.
    std::uint64_t revision = 0;
    std::uint64_t created_revision = 0;
    // The lease that the key was written under, or 0.
    std::uint64_t lease = 0;

    friend bool operator==(const store_entry&, const store_entry&) = default;
};

struct read_result {
    // The store's revision at the read.
    std::uint64_t revision = 0;
    std::optional<store_entry> entry;
};

struct listing {
    // The store's revision at the listing; a watch continues after it.
    std::uint64_t revision = 0;
    std::vector<store_entry> entries;
};

struct store_change {
    std::string key;
    std::uint64_t revision = 0;
    // Empty for a deletion.
    std::optional<store_entry> entry;
};

struct watch_result {
    // The store no longer has the changes after the revision asked for: list again.
    bool is_history_discarded = false;
    // The next watch continues after this revision.
    std::uint64_t revision = 0;
    // In rising order of revision; empty at the time-out.
    std::vector<store_change> changes;
};

enum class write_outcome {
    applied,
    // Another revision than the expected one is in force; nothing was written.
    conflict,
    // The lease has expired; nothing was written.
    lease_lost,
    // The response was lost or timed out: read back to find out.
    unknown,
};

struct write_result {
    write_outcome outcome = write_outcome::unknown;
    // The revision of the write, if it was applied.
    std::uint64_t revision = 0;
    // The entry in force after a conflict; empty if there is none.
    std::optional<store_entry> current;
};

enum class lease_outcome { applied, lost, unknown };

struct instance_entry {
    std::string id;
    // The state in the member record: "serving" or "leaving".
    std::string state;
};

// The store gave no response that can be relied on. After a write this is thrown only if it was certainly not
// executed.
class store_unavailable : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The store refuses the request itself, such as a value above its size limit.
class store_rejected : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace quetzalspan::store
