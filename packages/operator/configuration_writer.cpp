// Compare-and-swap writes. After a conflict or a lost response the configuration in the store, its nonce and
// its history tell whether the write took effect.

#include "operator/configuration_writer.h"

#include "config/configuration_json.h"
#include "config/validate.h"
#include "core/json_text.h"

#include <json/json.h>

#include <algorithm>

namespace quetzalspan::admin
{

namespace
{

// Size limit of the store for one value.
constexpr std::size_t max_value_bytes = 1024 * 1024;
// Resolving a lost response takes a few seconds; the history must reach back past all writes of that time.
constexpr std::size_t max_history_entries = 16;
// With a backoff that doubles, the attempts span about 6 s, longer than a usual leader election or restart of
// the store.
constexpr std::uint32_t max_write_attempts = 7;
constexpr std::chrono::milliseconds initial_backoff{50};
// Unknown outcomes and failed store calls after which retries stop. An unknown outcome takes the time of all
// write attempts; a store that is unavailable for longer is reported to the operator.
constexpr std::uint32_t max_unresolved_attempts = 3;

// Returns the revision in a text that is not a valid configuration, so that the next revision still exceeds
// it. Returns 0 if the text has none.
std::uint64_t revision_of_invalid_text(const std::string& text)
{
    const std::optional<Json::Value> root = core::parse_json_object(text);
    return root && (*root)["revision"].isUInt64() ? (*root)["revision"].asUInt64() : 0;
}

bool history_contains(const config::configuration& value, const std::string& nonce)
{
    return std::any_of(value.history.begin(), value.history.end(),
                       [&](const config::past_write& entry) { return entry.nonce == nonce; });
}

// Whether the current configuration proves that the proposed one never took effect. Requires that the nonce
// of the proposed one is neither the current one nor in the history. Every write has a higher revision than
// the one it follows. If the proposed one had taken effect, the current revision would therefore be higher,
// and an entry with a revision that is not higher could not be in the history without the proposed one above
// it.
bool proves_not_applied(const config::configuration& value, const config::configuration& proposed)
{
    return value.revision <= proposed.revision ||
           std::any_of(value.history.begin(), value.history.end(),
                       [&](const config::past_write& entry) { return entry.revision <= proposed.revision; });
}

std::optional<config::configuration> try_parse(const std::string& text)
{
    try {
        return config::configuration_from_json(text, "config/current");
    } catch (const core::findings_error&) {
        return std::nullopt;
    }
}

} // namespace

configuration_writer::configuration_writer(configuration_store store, writer_hooks hooks, std::string author)
    : m_store(std::move(store)), m_hooks(std::move(hooks)), m_author(std::move(author))
{
}

configuration_writer::base_state configuration_writer::read_base()
{
    const std::optional<stored_configuration> stored = m_store.read();
    if (!stored) {
        return {};
    }
    base_state base;
    base.store_revision = stored->store_revision;
    base.parsed = try_parse(stored->text);
    base.revision = base.parsed ? base.parsed->revision : revision_of_invalid_text(stored->text);
    return base;
}

void configuration_writer::set_metadata(const base_state& base, std::uint64_t highest,
                                        config::configuration& proposed)
{
    proposed.revision = std::max(base.revision, highest) + 1;
    proposed.author = m_author;
    proposed.nonce = m_hooks.make_nonce();
    proposed.history.clear();
    if (base.parsed) {
        proposed.history = base.parsed->history;
        proposed.history.insert(proposed.history.begin(),
                                {base.parsed->revision, base.parsed->author, base.parsed->nonce});
    }
    if (proposed.history.size() > max_history_entries) {
        proposed.history.resize(max_history_entries);
    }
}

apply_result configuration_writer::apply(const configuration_edit& edit,
                                         std::optional<std::uint64_t> base_revision)
{
    const base_state base = read_base();
    apply_result result;
    result.base = base.parsed;
    if (base.parsed) {
        result.proposed = *base.parsed;
    }
    edit(result.proposed);
    core::findings found = config::validate(result.proposed, "configuration");
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
    if (base_revision && *base_revision != base.revision) {
        result.base.reset();
        result.theirs = base.parsed;
        result.status = apply_status::race_lost;
        return result;
    }
    const std::uint64_t highest = m_hooks.highest_instance_revision();
    const bool is_same = base.parsed && config::difference(*base.parsed, result.proposed).empty();
    // A store that was restored from a backup may hold a lower revision than the instances, which ignore it
    // until it exceeds theirs. Such a configuration is written again even if the edit changes nothing.
    if (is_same && highest <= base.revision) {
        result.status = apply_status::unchanged;
        return result;
    }
    set_metadata(base, highest, result.proposed);
    result = write(base, std::move(result.proposed));
    result.warnings = std::move(found);
    return result;
}

apply_result configuration_writer::write(const base_state& base, config::configuration proposed)
{
    apply_result result;
    result.base = base.parsed;
    result.proposed = std::move(proposed);
    const std::string text = config::to_json(result.proposed);
    if (text.size() > max_value_bytes) {
        core::findings found;
        found.add_error({"configuration", 0, 0}, "has " + std::to_string(text.size()) +
                                                     " bytes; the store holds at most " +
                                                     std::to_string(max_value_bytes));
        throw core::findings_error(std::move(found));
    }
    bool may_have_taken_effect = false;
    core::duration backoff = initial_backoff;
    while (result.writes < max_write_attempts) {
        write_outcome outcome = write_outcome::unknown;
        try {
            // Repeating the write is safe: once one of the writes has taken effect, the store's revision of
            // the key is no longer the expected one.
            outcome = m_store.write(text, base.store_revision);
        } catch (const store_error&) {
            if (!may_have_taken_effect) {
                throw;
            }
        }
        ++result.writes;
        if (outcome == write_outcome::applied) {
            result.status = apply_status::applied;
            return result;
        }
        may_have_taken_effect = may_have_taken_effect || outcome == write_outcome::unknown;
        const std::optional<apply_status> resolved = resolve_from_store(base, result, may_have_taken_effect);
        if (resolved) {
            result.status = *resolved;
            return result;
        }
        m_hooks.sleep_for(backoff);
        backoff *= 2;
    }
    result.status = may_have_taken_effect ? apply_status::unknown : apply_status::race_lost;
    return result;
}

std::optional<apply_status> configuration_writer::resolve_from_store(const base_state& base,
                                                                     apply_result& result,
                                                                     bool may_have_taken_effect)
{
    std::optional<stored_configuration> stored;
    try {
        stored = m_store.read();
    } catch (const store_error&) {
        return std::nullopt;
    }
    const std::uint64_t store_revision = stored ? stored->store_revision : 0;
    if (!stored || store_revision == base.store_revision) {
        return std::nullopt;
    }
    const std::optional<config::configuration> found = try_parse(stored->text);
    if (found && found->nonce == result.proposed.nonce) {
        return apply_status::applied;
    }
    result.theirs = found;
    if (found && history_contains(*found, result.proposed.nonce)) {
        return apply_status::applied;
    }
    if (!may_have_taken_effect || (found && proves_not_applied(*found, result.proposed))) {
        return apply_status::race_lost;
    }
    return apply_status::unknown;
}

apply_result configuration_writer::apply_with_retries(const configuration_edit& edit,
                                                      std::uint32_t max_retries)
{
    apply_result result = apply(edit);
    std::uint32_t writes = result.writes;
    std::uint32_t unresolved_attempts = result.status == apply_status::unknown ? 1 : 0;
    for (std::uint32_t retry = 0; retry < max_retries && unresolved_attempts < max_unresolved_attempts;
         ++retry) {
        if (result.status == apply_status::applied || result.status == apply_status::unchanged) {
            break;
        }
        m_hooks.sleep_for(initial_backoff);
        try {
            result = apply(edit);
            writes += result.writes;
            unresolved_attempts += result.status == apply_status::unknown ? 1 : 0;
        } catch (const store_error&) {
            // Without a write of unknown outcome, nothing was written and the error is reported. Otherwise a
            // later attempt may still find out whether the earlier write took effect.
            if (unresolved_attempts == 0) {
                throw;
            }
            ++unresolved_attempts;
        }
    }
    result.writes = writes;
    return result;
}

std::string to_text(const apply_result& result)
{
    const std::string revision = std::to_string(result.proposed.revision);
    std::string text;
    switch (result.status) {
    case apply_status::applied:
        text = "applied as revision " + revision + "\n";
        if (result.theirs) {
            text += "replaced since by revision " + std::to_string(result.theirs->revision) + " of " +
                    result.theirs->author + "\n";
        }
        return text + config::to_text(
                          config::difference(result.base.value_or(config::configuration()), result.proposed));
    case apply_status::unchanged:
        return "nothing to change: revision " + revision + " of the store already has this content\n";
    case apply_status::race_lost:
        break;
    case apply_status::unknown:
        return "the store did not confirm revision " + revision + " (nonce " + result.proposed.nonce +
               "); it may be in force or take effect later. Run \"quetzalctl status\" when the store answers "
               "and apply again if the store has another nonce\n";
    }
    if (!result.theirs) {
        return "another write came first; nothing of yours was written. Compare with \"quetzalctl diff\" and "
               "apply again\n";
    }
    text = "race lost: " + result.theirs->author + " wrote revision " +
           std::to_string(result.theirs->revision) + " first; nothing of yours was written\n";
    if (!result.base) {
        return text + "from theirs to yours:\n" +
               config::to_text(config::difference(*result.theirs, result.proposed)) +
               "Merge their changes into your files and apply again\n";
    }
    const std::vector<config::change> theirs = config::difference(*result.base, *result.theirs);
    const std::vector<config::change> yours = config::difference(*result.base, result.proposed);
    text += "changed by them:\n" + config::to_text(theirs) + "changed by you:\n" + config::to_text(yours);
    const std::vector<config::change> conflicts = config::conflicting_changes(yours, theirs);
    text += conflicts.empty() ? "no part is changed by both\n"
                              : "changed by both in different ways:\n" + config::to_text(conflicts);
    return text + "Merge their changes into your files and apply again\n";
}

Json::Value to_json_value(const apply_result& result)
{
    Json::Value value;
    switch (result.status) {
    case apply_status::applied:
        value["status"] = "applied";
        break;
    case apply_status::unchanged:
        value["status"] = "unchanged";
        break;
    case apply_status::race_lost:
        value["status"] = "race_lost";
        break;
    case apply_status::unknown:
        value["status"] = "unknown";
        break;
    }
    value["revision"] = Json::UInt64(result.proposed.revision);
    value["nonce"] = result.proposed.nonce;
    value["writes"] = result.writes;
    if (result.base) {
        value["base_revision"] = Json::UInt64(result.base->revision);
        value["base_to_yours"] = config::to_json_value(config::difference(*result.base, result.proposed));
    }
    if (result.theirs) {
        value["their_revision"] = Json::UInt64(result.theirs->revision);
        value["their_author"] = result.theirs->author;
        value["theirs_to_yours"] = config::to_json_value(config::difference(*result.theirs, result.proposed));
    }
    if (result.base && result.theirs) {
        const std::vector<config::change> theirs = config::difference(*result.base, *result.theirs);
        value["base_to_theirs"] = config::to_json_value(theirs);
        value["conflicts"] = config::to_json_value(
            config::conflicting_changes(config::difference(*result.base, result.proposed), theirs));
    }
    return value;
}

} // namespace quetzalspan::admin
