// Commands that read files or standard input: validate, diff, digest-key.

#pragma once

#include "operator/command.h"

#include <string>
#include <vector>

namespace quetzalspan::admin
{

// Reads and validates both files. Throws core::findings_error if they have errors; adds warnings to the
// findings.
config::configuration read_configuration_files(const command_environment& environment,
                                               const std::string& registry_path,
                                               const std::string& rules_path, core::findings& found);

// Validates the registry and the rules, and each settings file by itself and against the registry.
command_result run_validate(const command_environment& environment, const std::string& registry_path,
                            const std::string& rules_path, const std::vector<std::string>& settings_paths);

// Shows the changes from the configuration in the store to the files.
command_result run_diff(const command_environment& environment, const std::string& registry_path,
                        const std::string& rules_path);

// Reads a key from standard input and outputs its digest. The key appears neither in the output nor in
// errors.
command_result run_digest_key(const command_environment& environment);

// Returns the SHA-256 digest, in hexadecimal, of the key in the text. Line ends after the key are ignored.
// Throws core::findings_error if the key is shorter than 16 characters or cannot be the value of an HTTP
// header.
std::string digest_of_key(std::string text);

} // namespace quetzalspan::admin
