// Cross-checks of a whole configuration, and the reading of the registry and rules files with all their
// findings.

#pragma once

#include "config/model.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Checks what the types cannot express: references to missing names, duplicates, addresses, ranges and rules
// that contradict each other. Adds a finding for each fault. A configuration with errors must not be applied.
void validate(const configuration& value, const source_map& positions, const std::string& source,
              core::findings& found);

// Does the same for a configuration that was not read from files, such as one from the store. Returns the
// findings.
core::findings validate(const configuration& value, const std::string& source);

// The text of a file, and the name that findings give it.
struct source_file {
    std::string name;
    std::string text;
};

// Parses both files and validates the result. Adds findings in the order of files and lines. Revision,
// author, nonce and history are left empty.
configuration configuration_from_yaml(const source_file& registry_file, const source_file& rules_file,
                                      core::findings& found);

} // namespace quetzalspan::config
