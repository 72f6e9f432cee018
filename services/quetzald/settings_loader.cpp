// Reads the settings file, applies the overrides, resolves the shared secret and checks the result.

#include "quetzald/settings_loader.h"

#include "config/settings_yaml.h"
#include "core/findings.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace quetzalspan::quetzald
{

namespace
{

std::string read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        throw std::runtime_error("cannot read the file");
    }
    return text.str();
}

void apply_override_text(config::settings& target, const std::string& text, core::findings& found)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        found.add_error({"--set", 0, 0}, "an override must have the form name=value");
        return;
    }
    config::apply_override(target, text.substr(0, equals), text.substr(equals + 1), found);
}

} // namespace

config::settings load_settings(const std::string& file, const std::vector<std::string>& overrides)
{
    core::findings found;
    config::settings result;
    try {
        result = config::settings_from_yaml(read_file(file), file, found);
    } catch (const std::runtime_error& error) {
        found.add_error({file, 0, 0}, error.what());
    }
    for (const std::string& text : overrides) {
        apply_override_text(result, text, found);
    }
    config::resolve_shared_secret(result, read_file, found);
    if (!found.has_errors()) {
        config::check_settings(result, file, found);
    }
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
    return result;
}

} // namespace quetzalspan::quetzald
