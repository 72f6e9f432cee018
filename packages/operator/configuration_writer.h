// Writes configurations by compare-and-swap and finds out what became of each write.

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
    // The write is in force in the store, or was until a later one that follows it.
    applied,
    // The store already holds this content; nothing was written.
    unchanged,
    // Another write came first and this one certainly took no effect.
    race_lost,
    // The store could not say whether the write took effect.
    unknown,
};

struct apply_result {
    apply_status status = apply_status::unknown;
    // What the store held before, what was written, and what the store holds if another write came.
    std::optional<config::configuration> base;
    config::configuration proposed;
    std::optional<config::configuration> theirs;
    // Warnings about the wanted configuration.
    core::findings warnings;
    // Writes sent, counting repetitions.
    std::uint32_t writes = 0;
};

struct writer_hooks {
    // Returns the highest revision that any reachable instance reports, or 0.
    std::function<std::uint64_t()> highest_instance_revision;
    // Returns a text that no other write has.
    std::function<std::string()> make_nonce;
    std::function<void(core::duration)> sleep_for;
};

// Changes a configuration; it starts as what the store holds, or empty. May throw core::findings_error.
using configuration_edit = std::function<void(config::configuration&)>;

class configuration_writer
{
public:
    configuration_writer(configuration_store store, writer_hooks hooks, std::string author);

    // Applies the edit to what the store holds and writes the result with a revision above the highest known.
    // If the base revision is given, another revision in the store is a lost race. Throws
    // core::findings_error if the result has errors and store_error if nothing was written for lack of a
    // store.
    apply_result apply(const configuration_edit& edit, std::optional<std::uint64_t> base_revision = {});

    // The same, but after a lost race the edit is applied to the newest configuration, up to the given number
    // of times. An edit that changes nothing any more counts as done.
    apply_result apply_with_retries(const configuration_edit& edit, std::uint32_t max_retries);

private:
    struct base_state {
        std::uint64_t store_revision = 0;
        // 0 if there is none; also known where the text cannot be parsed otherwise.
        std::uint64_t revision = 0;
        std::optional<config::configuration> parsed;
    };

    base_state read_base();
    apply_result write(const base_state& base, config::configuration proposed);
    std::optional<apply_status> resolve_from_store(const base_state& base, apply_result& result,
                                                   bool may_have_taken_effect);
    void set_metadata(const base_state& base, std::uint64_t highest, config::configuration& proposed);

    configuration_store m_store;
    writer_hooks m_hooks;
    std::string m_author;
};

// Returns the text of what happened and what to do.
std::string to_text(const apply_result& result);
Json::Value to_json_value(const apply_result& result);

} // namespace quetzalspan::admin
