// Strict parsing and type checks of JSON, based on jsoncpp.

#include "codec/json_reader.h"

#include "core/json_text.h"

namespace quetzalspan::codec
{

namespace
{

// Maximum nesting depth. More than any document of this project needs; deeper nesting could exhaust the
// parser's stack.
constexpr int max_depth = 32;

// Returns the member, or null if it is missing or the value is not an object, for which jsoncpp would throw.
const Json::Value& member_or_null(const Json::Value& object, const char* name)
{
    return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

} // namespace

Json::Value json_reader::parse_object(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_depth;
    core::json_text parsed = core::parse_json(text, builder);
    if (!parsed.value) {
        add_error("document", "is not JSON: " + parsed.error);
    } else if (!parsed.value->isObject()) {
        add_error("document", "must be an object");
    }
    throw_if_errors();
    return std::move(*parsed.value);
}

void json_reader::add_error(const std::string& path, const std::string& message)
{
    m_findings.add_error({m_source, 0, 0}, path + ": " + message);
}

std::string json_reader::read_string(const Json::Value& object, const char* name, const std::string& path)
{
    const Json::Value& value = member_or_null(object, name);
    if (!value.isString()) {
        add_error(path + "." + name, "must be a string");
        return {};
    }
    return value.asString();
}

bool json_reader::read_bool(const Json::Value& object, const char* name, const std::string& path)
{
    const Json::Value& value = member_or_null(object, name);
    if (!value.isBool()) {
        add_error(path + "." + name, "must be true or false");
        return false;
    }
    return value.asBool();
}

std::uint64_t json_reader::read_unsigned(const Json::Value& object, const char* name, const std::string& path,
                                         std::uint64_t max_value)
{
    const Json::Value& value = member_or_null(object, name);
    if (!value.isUInt64() || value.asUInt64() > max_value) {
        add_error(path + "." + name, "must be a whole number from 0 to " + std::to_string(max_value));
        return 0;
    }
    return value.asUInt64();
}

std::int64_t json_reader::read_non_negative(const Json::Value& object, const char* name,
                                            const std::string& path)
{
    return static_cast<std::int64_t>(read_unsigned(
        object, name, path, static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())));
}

std::vector<std::string> json_reader::read_strings(const Json::Value& object, const char* name,
                                                   const std::string& path, std::size_t max_items)
{
    std::vector<std::string> values;
    for_each_item(object, name, path, max_items, [&](const Json::Value& item, const std::string& item_path) {
        if (!item.isString()) {
            add_error(item_path, "must be a string");
            return;
        }
        values.push_back(item.asString());
    });
    return values;
}

const Json::Value& json_reader::read_object(const Json::Value& parent, const char* name,
                                            const std::string& path)
{
    const Json::Value& value = member_or_null(parent, name);
    if (!value.isObject()) {
        add_error(path + "." + name, "must be an object");
        return Json::Value::nullSingleton();
    }
    return value;
}

void json_reader::for_each_item(const Json::Value& object, const char* name, const std::string& path,
                                std::size_t max_items,
                                const std::function<void(const Json::Value&, const std::string&)>& visit)
{
    const std::string list_path = path + "." + name;
    const Json::Value& list = member_or_null(object, name);
    if (!list.isArray()) {
        add_error(list_path, "must be a list");
        return;
    }
    if (list.size() > max_items) {
        add_error(list_path, "must have at most " + std::to_string(max_items) + " items");
        return;
    }
    for (Json::ArrayIndex index = 0; index < list.size(); ++index) {
        visit(list[index], list_path + "[" + std::to_string(index) + "]");
    }
}

void json_reader::check_version(const Json::Value& object, std::uint64_t version, const std::string& path)
{
    const Json::Value& value = member_or_null(object, "version");
    if (!value.isUInt64() || value.asUInt64() != version) {
        add_error(path + ".version", "must be " + std::to_string(version));
    }
}

void json_reader::throw_if_errors()
{
    if (m_findings.has_errors()) {
        throw core::findings_error(m_findings);
    }
}

std::string to_compact_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace quetzalspan::codec
