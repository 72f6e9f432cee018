// Conversion of a configuration to and from JSON, the form in which it is stored and sent between instances.

#pragma once

#include "config/model.h"

#include <json/forwards.h>

#include <string>
#include <string_view>

namespace quetzalspan::config
{

// Returns the JSON form as a document tree.
Json::Value to_json_value(const configuration& value);

// Returns the JSON form as text without line breaks or indentation.
std::string to_json(const configuration& value);

// Parses the JSON text; source names it in findings. Checks only types, ranges of integers and missing
// members; validate() checks the content. Throws core::findings_error with all findings if the text is not
// JSON or a member other than the history is missing or has the wrong type.
configuration configuration_from_json(std::string_view text, const std::string& source);

} // namespace quetzalspan::config
