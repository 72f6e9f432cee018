// Edits of the configuration by apply, drain and revoke-key, and the results of their writes.

#include "operator/write_commands.h"

#include "operator/file_commands.h"

#include <json/json.h>

#include <algorithm>
#include <set>

namespace quetzalspan::admin
{

namespace
{

constexpr std::uint32_t max_drain_retries = 10;
// A revocation must get through however many ordinary edits race with it. The limit only ends a command that
// fails for another reason.
constexpr std::uint32_t max_revoke_retries = 200;
constexpr std::size_t min_digest_digits = 12;

exit_code to_exit_code(apply_status status)
{
    switch (status) {
    case apply_status::applied:
    case apply_status::unchanged:
        return exit_code::success;
    case apply_status::race_lost:
        return exit_code::race_lost;
    case apply_status::unknown:
        return exit_code::unreachable;
    }
    return exit_code::unreachable;
}

command_result to_result(const apply_result& applied)
{
    command_result result;
    result.code = to_exit_code(applied.status);
    result.value = to_json_value(applied);
    if (result.code == exit_code::success) {
        result.text = to_text(applied);
    } else {
        result.diagnostics = to_text(applied);
    }
    return result;
}

// Returns the result of an edit, with the warnings about the whole edited configuration.
command_result to_edit_result(const apply_result& applied)
{
    command_result result = to_result(applied);
    add_findings(result, applied.warnings);
    return result;
}

[[noreturn]] void throw_command_line_error(const std::string& message)
{
    core::findings found;
    found.add_error({"command line", 0, 0}, message);
    throw core::findings_error(std::move(found));
}

void drain_region(config::configuration& value, const std::string& name, bool ends_drain)
{
    const std::vector<std::string>& regions = value.inventory.regions;
    if (std::find(regions.begin(), regions.end(), name) == regions.end()) {
        throw_command_line_error("there is no region \"" + name + "\"");
    }
    std::vector<std::string>& drained = value.policy.drained_regions;
    std::erase(drained, name);
    if (!ends_drain) {
        drained.push_back(name);
    }
}

void drain_endpoint(config::configuration& value, const std::string& name, bool ends_drain)
{
    for (config::service& service : value.inventory.services) {
        for (config::endpoint& endpoint : service.endpoints) {
            if (service.name + "/" + endpoint.id == name) {
                endpoint.is_draining = !ends_drain;
                return;
            }
        }
    }
    throw_command_line_error("there is no endpoint \"" + name + "\"; an endpoint is given as service/id");
}

void revoke_key(config::configuration& value, const std::string& digest)
{
    config::key_entry* match = nullptr;
    for (config::key_entry& entry : value.inventory.keys) {
        if (!entry.digest.starts_with(digest)) {
            continue;
        }
        if (match != nullptr) {
            throw_command_line_error("several digests begin with these digits; give more digits");
        }
        match = &entry;
    }
    if (match == nullptr) {
        throw_command_line_error(
            "the configuration has no key with this digest. If the key was removed from the registry "
            "it has stopped working as well");
    }
    match->is_revoked = true;
}

void reject_reinstated_keys(const config::registry& current, const config::registry& proposed,
                            const std::string& source)
{
    std::set<std::string> revoked;
    for (const config::key_entry& entry : current.keys) {
        if (entry.is_revoked) {
            revoked.insert(entry.digest);
        }
    }
    core::findings found;
    for (const config::key_entry& entry : proposed.keys) {
        if (!entry.is_revoked && revoked.contains(entry.digest)) {
            found.add_error({source, 0, 0},
                            "key " + entry.digest +
                                " is revoked in the store; write \"revoked: true\" in the file, "
                                "or apply with --reinstate_keys to let it work again");
        }
    }
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
}

} // namespace

command_result run_apply(const command_environment& environment, const std::string& registry_path,
                         const std::string& rules_path, const apply_options& options)
{
    core::findings found;
    const config::configuration files =
        read_configuration_files(environment, registry_path, rules_path, found);
    configuration_writer writer = make_writer(environment);
    command_result result = to_result(writer.apply(
        [&](config::configuration& value) {
            if (!options.may_reinstate_keys) {
                reject_reinstated_keys(value.inventory, files.inventory, registry_path);
            }
            value.inventory = files.inventory;
            value.policy = files.policy;
        },
        options.base_revision));
    add_findings(result, found);
    return result;
}

command_result run_drain(const command_environment& environment, drain_kind kind, const std::string& name,
                         bool ends_drain)
{
    configuration_writer writer = make_writer(environment);
    return to_edit_result(writer.apply_with_retries(
        [&](config::configuration& value) {
            switch (kind) {
            case drain_kind::region:
                drain_region(value, name, ends_drain);
                break;
            case drain_kind::endpoint:
                drain_endpoint(value, name, ends_drain);
                break;
            }
        },
        max_drain_retries));
}

command_result run_revoke_key(const command_environment& environment, const std::string& digest)
{
    const std::string digest_prefix =
        digest.empty() ? digest_of_key(environment.read_standard_input()) : digest;
    // The message does not repeat the argument, which may be a key given by mistake in place of its digest.
    if (digest_prefix.size() < min_digest_digits ||
        digest_prefix.find_first_not_of("0123456789abcdef") != std::string::npos) {
        throw_command_line_error(
            "the argument must be at least " + std::to_string(min_digest_digits) +
            " lower-case hexadecimal digits of a digest; to revoke by the key itself, give no "
            "argument and the key on standard input");
    }
    configuration_writer writer = make_writer(environment);
    return to_edit_result(writer.apply_with_retries(
        [&](config::configuration& value) { revoke_key(value, digest_prefix); }, max_revoke_retries));
}

} // namespace quetzalspan::admin
