// Reads the rules file that operators write.

#pragma once

#include "config/model.h"
#include "config/source_map.h"
#include "core/findings.h"

#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Reads the file's text; source names it in findings. The places of all parts are added under "rules". Only
// the shape is checked here, the meaning by validate().
rules rules_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                      source_map& places);

} // namespace quetzalspan::config
