// Calls the parser of jsoncpp and turns its exceptions into results.

#include "core/json_text.h"

#include <memory>

namespace quetzalspan::core
{

json_text parse_json(std::string_view text, const Json::CharReaderBuilder& builder)
{
    const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
    json_text result;
    Json::Value value;
    try {
        if (parser->parse(text.data(), text.data() + text.size(), &value, &result.error)) {
            result.value = std::move(value);
        }
    } catch (const Json::Exception& error) {
        result.error = error.what();
    }
    return result;
}

std::optional<Json::Value> parse_json_object(std::string_view text)
{
    json_text parsed = parse_json(text);
    if (!parsed.value || !parsed.value->isObject()) {
        return std::nullopt;
    }
    return std::move(parsed.value);
}

} // namespace quetzalspan::core
