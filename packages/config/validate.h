// Cross-checks of a whole configuration, and the reading of the two files with all findings together.

#pragma once

#include "config/model.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Checks what the types cannot: names that do not exist, duplicates, addresses, ranges and rules that
// contradict each other. A configuration with errors must not be applied.
void validate(const configuration& value, const source_map& places, const std::string& source,
              core::findings& found);

// The same for a configuration without places in files, such as one from the store.
core::findings validate(const configuration& value, const std::string& source);

struct source_file {
    std::string name;
    std::string text;
};

// Reads both files and validates the result. Findings are in the order of the files and lines. Revision,
// author and nonce are left empty.
configuration configuration_from_yaml(const source_file& registry_file, const source_file& rules_file,
                                      core::findings& found);

} // namespace quetzalspan::config
