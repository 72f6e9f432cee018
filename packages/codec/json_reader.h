// Strict reading of JSON documents that other processes wrote: every fault becomes a finding.

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

// Reads members of JSON objects. A faulty member gets a finding with its path and reads as an empty value.
class json_reader
{
public:
    // The source names the document in findings.
    explicit json_reader(std::string source) : m_source(std::move(source)) {}

    // Parses a text. Throws core::findings_error if it is not a JSON object.
    Json::Value parse_object(std::string_view text);

    void add_fault(const std::string& path, const std::string& message);

    std::string text(const Json::Value& object, const char* name, const std::string& path);
    bool flag(const Json::Value& object, const char* name, const std::string& path);
    std::uint64_t count(const Json::Value& object, const char* name, const std::string& path,
                        std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max());
    // A whole number of millionths, at least 0.
    std::int64_t micro(const Json::Value& object, const char* name, const std::string& path);
    std::vector<std::string> texts(const Json::Value& object, const char* name, const std::string& path,
                                   std::size_t max_items);
    // Returns the member, which must be an object, or null with a finding.
    const Json::Value& object(const Json::Value& parent, const char* name, const std::string& path);
    // Visits the items of a list. A list with more items than allowed gets one finding and is not visited.
    void each(const Json::Value& object, const char* name, const std::string& path, std::size_t max_items,
              const std::function<void(const Json::Value&, const std::string&)>& visit);

    // Adds a finding unless the member "version" has this value.
    void check_version(const Json::Value& object, std::uint64_t version, const std::string& path);

    // Throws core::findings_error with all findings if there are errors.
    void finish();

private:
    std::string m_source;
    core::findings m_findings;
};

// Returns the compact text of a document.
std::string to_compact_text(const Json::Value& value);

} // namespace quetzalspan::codec
