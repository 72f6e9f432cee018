// Reads the registry file that operators write.

#pragma once

#include "config/model.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Parses the text of the file; source names it in findings. Adds the positions of all parts to the source
// map, under "registry". Adds a finding for each fault and leaves the member at its default. Checks only the
// structure and the types; validate() checks the content.
registry registry_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                            source_map& positions);

} // namespace quetzalspan::config
