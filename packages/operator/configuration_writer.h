// Writes configurations to the store by compare-and-swap and determines the outcome of each write.

#pragma once

#include "config/difference.h"
#include "config/model.h"
#include "core/findings.h"
#include "core/time.h"
#include "operator/configuration_store.h"

#include <json/forwards.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quetzalspan::admin
{

enum class apply_status {
    // The write took effect. A later write may have replaced it since.
    applied,
    // The store already holds this content; nothing was written.
    unchanged,
    // Another write came first; this one took no effect and cannot take effect later.
    race_lost,
    // It could not be determined whether the write took effect; it may still take effect later.
    unknown,
};

struct apply_result {
    apply_status status = apply_status::unknown;
    // The configuration that the edit was applied to. Empty if the store held none or an invalid one, or held
    // another revision than the requested base revision.
    std::optional<config::configuration> base;
    // The configuration that was written or, without a write, the outcome of the edit.
    config::configuration proposed;
    // The configuration of another writer that the store held instead, if any.
    std::optional<config::configuration> theirs;
    // Warnings about the proposed configuration.
    core::findings warnings;
    // Number of writes sent, including repetitions.
    std::uint32_t writes = 0;
};

struct writer_hooks {
    // Returns the highest revision that an instance reports, or 0 if none answers.
    std::function<std::uint64_t()> highest_instance_revision;
    // Returns a text that identifies one write; no two calls return the same.
    std::function<std::string()> make_nonce;
    std::function<void(core::duration)> sleep_for;
};

// Changes the given configuration, which is the one in the store, or empty if the store holds none or an
// invalid one. May throw core::findings_error.
using configuration_edit = std::function<void(config::configuration&)>;

class configuration_writer
{
public:
    configuration_writer(configuration_store store, writer_hooks hooks, std::string author);

    // Applies the edit to the configuration in the store and writes the result. Its revision is one above the
    // highest revision in the store or on an instance. If a base revision is given and the store holds
    // another one, nothing is written and the status is race_lost. Throws core::findings_error if the result
    // has errors, and store_error if the store does not answer and nothing was written.
    apply_result apply(const configuration_edit& edit, std::optional<std::uint64_t> base_revision = {});

    // Like apply() without a base revision, but after a lost race or an unknown outcome the edit is applied
    // again to the configuration then in the store, at most max_retries times. If the store already holds the
    // result of the edit, the status is unchanged.
    apply_result apply_with_retries(const configuration_edit& edit, std::uint32_t max_retries);

private:
    // The state of the store that a write is based on.
    struct base_state {
        // 0 if the key does not exist.
        std::uint64_t store_revision = 0;
        // Revision of the configuration; 0 if there is none. Also read from a text that is not a valid
        // configuration.
        std::uint64_t revision = 0;
        // Empty if there is no configuration or it is invalid.
        std::optional<config::configuration> parsed;
    };

    base_state read_base();
    apply_result write(const base_state& base, config::configuration proposed);
    // Reads the store to find out whether the proposed configuration took effect. Returns nothing if the
    // store cannot be read or still holds the base; the write must be repeated then.
    std::optional<apply_status> resolve_from_store(const base_state& base, apply_result& result,
                                                   bool may_have_taken_effect);
    // Sets the revision, the author, the nonce and the history.
    void set_metadata(const base_state& base, std::uint64_t highest, config::configuration& proposed);

    configuration_store m_store;
    writer_hooks m_hooks;
    std::string m_author;
};

// Returns the outcome, the differences and what the operator can do, for people.
std::string to_text(const apply_result& result);
Json::Value to_json_value(const apply_result& result);

} // namespace quetzalspan::admin
