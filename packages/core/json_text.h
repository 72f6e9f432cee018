// Parses JSON texts that come from other processes.

#pragma once

#include <json/reader.h>
#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::core
{

struct json_text {
    // Empty if the text is not JSON.
    std::optional<Json::Value> value;
    // Why the text is not JSON.
    std::string error;
};

// Parses a text with the options of the builder. Unlike jsoncpp, which throws Json::Exception if a text is
// nested more deeply than the builder allows, this treats such a text as any other that is not JSON.
json_text parse_json(std::string_view text, const Json::CharReaderBuilder& builder = {});

// Returns the value, or no value if the text is not a JSON object.
std::optional<Json::Value> parse_json_object(std::string_view text);

} // namespace quetzalspan::core
