// Validates configuration and settings files, compares files with the store and computes digests of keys.

#include "operator/file_commands.h"

#include "config/configuration_json.h"
#include "config/settings_yaml.h"
#include "config/validate.h"
#include "core/digest.h"

#include <json/json.h>

#include <algorithm>

namespace quetzalspan::admin
{

namespace
{

// Shorter keys can be recovered from their digests by brute force.
constexpr std::size_t min_key_bytes = 16;

void check_settings_file(const command_environment& environment, const std::string& path,
                         const config::registry& inventory, core::findings& found)
{
    config::source_map positions;
    config::settings value = config::settings_from_yaml(environment.read_file(path), path, found, &positions);
    // The file of the shared secret need not exist on the machine that runs validate; a placeholder takes the
    // place of the secret.
    if (!value.shared_secret_file.empty() && value.shared_secret.empty()) {
        value.shared_secret.assign(64, 'x');
    }
    config::check_settings(value, path, found, positions);
    config::check_settings_against(value, inventory, path, found, positions);
}

} // namespace

config::configuration read_configuration_files(const command_environment& environment,
                                               const std::string& registry_path,
                                               const std::string& rules_path, core::findings& found)
{
    core::findings collected;
    config::configuration result =
        config::configuration_from_yaml({registry_path, environment.read_file(registry_path)},
                                        {rules_path, environment.read_file(rules_path)}, collected);
    if (collected.has_errors()) {
        throw core::findings_error(std::move(collected));
    }
    found.append(collected);
    return result;
}

command_result run_validate(const command_environment& environment, const std::string& registry_path,
                            const std::string& rules_path, const std::vector<std::string>& settings_paths)
{
    core::findings found;
    const config::configuration value =
        config::configuration_from_yaml({registry_path, environment.read_file(registry_path)},
                                        {rules_path, environment.read_file(rules_path)}, found);
    for (const std::string& path : settings_paths) {
        check_settings_file(environment, path, value.inventory, found);
    }
    command_result result;
    result.code = found.has_errors() ? exit_code::findings : exit_code::success;
    add_findings(result, found);
    result.value["valid"] = !found.has_errors();
    if (!found.has_errors()) {
        result.text = "valid\n";
    }
    return result;
}

command_result run_diff(const command_environment& environment, const std::string& registry_path,
                        const std::string& rules_path)
{
    core::findings found;
    const config::configuration files =
        read_configuration_files(environment, registry_path, rules_path, found);
    const std::optional<stored_configuration> stored = environment.store.read();
    config::configuration current;
    if (stored) {
        current = config::configuration_from_json(stored->text, "config/current");
    }
    const std::vector<config::change> changes = config::difference(current, files);
    command_result result;
    add_findings(result, found);
    result.value["revision"] = Json::UInt64(current.revision);
    result.value["author"] = current.author;
    result.value["changes"] = config::to_json_value(changes);
    result.text = stored ? "from revision " + std::to_string(current.revision) + " of " + current.author +
                               " to the files:\n"
                         : "the store holds no configuration; the files add:\n";
    result.text += changes.empty() ? "no differences\n" : config::to_text(changes);
    return result;
}

std::string digest_of_key(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    core::findings found;
    const core::input_position position{"standard input", 0, 0};
    if (text.size() < min_key_bytes) {
        found.add_error(position,
                        "the key must have at least " + std::to_string(min_key_bytes) + " characters");
    }
    // HTTP clients, proxies and servers alter or reject other characters in headers, so the key would never
    // match.
    if (!std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; })) {
        found.add_error(position, "the key must be one line of visible ASCII characters without spaces");
    }
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
    return core::sha256_hex(text);
}

command_result run_digest_key(const command_environment& environment)
{
    const std::string digest = digest_of_key(environment.read_standard_input());
    command_result result;
    result.text = digest + "\n";
    result.value["digest"] = digest;
    return result;
}

} // namespace quetzalspan::admin
