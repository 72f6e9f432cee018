// Reading, overriding, checking and printing of an instance's settings. The functions are called in this
// order: settings_from_yaml(), apply_override() for each override, resolve_shared_secret(), check_settings().

#pragma once

#include "config/model.h"
#include "config/settings.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <functional>
#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Parses the text of the file; source names it in findings. Settings that are missing or have findings keep
// their defaults. If positions is not null, the positions of the settings are added to it, so that
// check_settings() can report their lines.
settings settings_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                            source_map* positions = nullptr);

// Sets the setting with this name, which is the same as in the file. The items of a list are separated by
// commas. An unknown name or an invalid value adds a finding and leaves the settings unchanged.
void apply_override(settings& target, std::string_view name, std::string_view value, core::findings& found,
                    source_map* positions = nullptr);

// Reads the shared secret from its file, if one is given, and removes line ends after it. read_file returns
// the content of a file or throws an exception derived from std::exception, which becomes a finding. A secret
// that is given both ways is a finding.
void resolve_shared_secret(settings& target, const std::function<std::string(const std::string&)>& read_file,
                           core::findings& found);

// Adds a finding for each required setting that is missing and for settings that are invalid or contradict
// each other.
void check_settings(const settings& value, const std::string& source, core::findings& found,
                    const source_map& positions = {});

// Adds a finding if the registry lacks the instance's availability zone or has it in another region.
void check_settings_against(const settings& value, const registry& inventory, const std::string& source,
                            core::findings& found, const source_map& positions = {});

// Returns one line "name: value" for each setting. Of a secret only whether it is set is shown.
std::string to_text(const settings& value);

} // namespace quetzalspan::config
