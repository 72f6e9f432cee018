// Reads YAML into typed variables and collects a finding with file, line and column for each fault.

#pragma once

#include "config/source_map.h"
#include "core/findings.h"
#include "core/time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::config
{

// Reads the value of one member. The path names the member in findings and in the source map.
using yaml_value_reader = std::function<void(const YAML::Node&, const std::string& path)>;

// A member that a mapping may have.
struct yaml_member {
    std::string_view name;
    bool is_required = false;
    yaml_value_reader read;
};

// Reads one file. Findings never contain values, since a value may be a secret written to the wrong member.
// The findings and the source map must outlive the reader.
class yaml_reader
{
public:
    yaml_reader(std::string source, core::findings& found, source_map& positions);

    // Parses a text that must hold exactly one document. Otherwise adds a finding and returns an undefined
    // node.
    YAML::Node parse(std::string_view text);

    // Reads the members of a mapping and adds their positions to the source map. Adds a finding for each
    // unknown or repeated member and each missing required one. shows_unknown_names is false where the name
    // of an unknown member may be a secret; the finding then leaves it out.
    void mapping(const YAML::Node& node, const std::string& path, const std::vector<yaml_member>& members,
                 bool shows_unknown_names = true);

    // Reads each item of a list and adds its position to the source map.
    void sequence(const YAML::Node& node, const std::string& path, const yaml_value_reader& read_item);

    // Return readers that assign a value of the target's type. After a finding the target keeps its value.
    // The target and this object must outlive the returned reader.
    yaml_value_reader into(std::string& target);
    yaml_value_reader into(bool& target);
    yaml_value_reader into(double& target);
    yaml_value_reader into(std::uint16_t& target);
    yaml_value_reader into(std::uint32_t& target);
    yaml_value_reader into(std::uint64_t& target);
    // Reads a time in RFC 3339 form, such as 2026-03-01T18:00:00Z.
    yaml_value_reader into(core::wall_time& target);
    // Appends each item of a list of strings to the target.
    yaml_value_reader into(std::vector<std::string>& target);

    // Returns a reader that appends an item to the target for each item of a list; the function fills it. The
    // target and this object must outlive the returned reader.
    template <typename Item>
    yaml_value_reader into_list(std::vector<Item>& target,
                                std::function<void(const YAML::Node&, const std::string&, Item&)> read_item)
    {
        return [this, &target, read_item](const YAML::Node& node, const std::string& path) {
            sequence(node, path, [&](const YAML::Node& item_node, const std::string& item_path) {
                Item item;
                read_item(item_node, item_path, item);
                target.push_back(std::move(item));
            });
        };
    }

    // Adds an error at the position of the node and marks the path as reported in the source map.
    void add_error(const YAML::Node& node, const std::string& path, const std::string& message);

    core::input_position position_of(const YAML::Node& node) const;

private:
    template <typename Integer>
    yaml_value_reader into_integer(Integer& target);

    std::string m_source;
    core::findings& m_found;
    source_map& m_positions;
};

} // namespace quetzalspan::config
