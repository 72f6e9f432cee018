// Loads the settings of the daemon from a file and from overrides on the command line.

#pragma once

#include "config/settings.h"

#include <string>
#include <vector>

namespace quetzalspan::quetzald
{

// Returns the checked settings with the shared secret. Each override has the form "name=value" and replaces
// the value in the file. Throws core::findings_error with all findings if a setting has an error.
config::settings load_settings(const std::string& file, const std::vector<std::string>& overrides);

} // namespace quetzalspan::quetzald
