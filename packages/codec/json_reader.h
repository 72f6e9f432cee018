// Strict reader of JSON documents written by other processes. Every violation is reported as a finding.

#pragma once

#include "core/findings.h"

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::codec
{

// Reads members of JSON objects. A member that is missing or has the wrong type or range adds a finding with
// its path, and an empty value (zero, false, an empty string or list) is returned. The path given to each
// function is that of the enclosing object.
class json_reader
{
public:
    // source is the name by which findings refer to the document.
    explicit json_reader(std::string source) : m_source(std::move(source)) {}

    // Parses the text. Throws core::findings_error if it is not a JSON object.
    Json::Value parse_object(std::string_view text);

    // Adds an error to the findings.
    void add_error(const std::string& path, const std::string& message);

    std::string read_string(const Json::Value& object, const char* name, const std::string& path);
    bool read_bool(const Json::Value& object, const char* name, const std::string& path);
    std::uint64_t read_unsigned(const Json::Value& object, const char* name, const std::string& path,
                                std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max());
    // Reads an integer from 0 to the maximum of std::int64_t, usually an amount in millionths.
    std::int64_t read_non_negative(const Json::Value& object, const char* name, const std::string& path);
    std::vector<std::string> read_strings(const Json::Value& object, const char* name,
                                          const std::string& path, std::size_t max_items);
    // Returns the member, which must be an object. Otherwise adds a finding and returns null.
    const Json::Value& read_object(const Json::Value& parent, const char* name, const std::string& path);
    // Calls visit with each item of an array and the item's path. If the array has more than max_items items,
    // adds one finding and visits none.
    void for_each_item(const Json::Value& object, const char* name, const std::string& path,
                       std::size_t max_items,
                       const std::function<void(const Json::Value&, const std::string&)>& visit);

    // Adds a finding unless the member "version" has the given value.
    void check_version(const Json::Value& object, std::uint64_t version, const std::string& path);

    // Throws core::findings_error with all findings if any was added.
    void throw_if_errors();

private:
    std::string m_source;
    core::findings m_findings;
};

// Returns the document as JSON without whitespace.
std::string to_compact_text(const Json::Value& value);

} // namespace quetzalspan::codec
