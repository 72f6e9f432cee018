// Reads YAML into typed members and collects a finding with file, line and column for each fault.

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

// Reads the value of one member; the path names it in the source map.
using yaml_value_reader = std::function<void(const YAML::Node&, const std::string& path)>;

struct yaml_member {
    std::string_view name;
    bool is_required = false;
    yaml_value_reader read;
};

// One reader reads one file. Findings never contain values, since a value may be a secret in the wrong place.
class yaml_reader
{
public:
    yaml_reader(std::string source, core::findings& found, source_map& places);

    // Parses a text that holds exactly one document. An undefined result means that findings were added.
    YAML::Node parse(std::string_view text);

    // Reads the members of a mapping. Unknown, repeated and missing members are findings. Names of unknown
    // members are left out of the finding where they may be secrets.
    void mapping(const YAML::Node& node, const std::string& path, const std::vector<yaml_member>& members,
                 bool shows_unknown_names = true);

    // Reads each item of a list.
    void sequence(const YAML::Node& node, const std::string& path, const yaml_value_reader& read_item);

    // Readers of scalars. The target must outlive the reader that is returned.
    yaml_value_reader into(std::string& target);
    yaml_value_reader into(bool& target);
    yaml_value_reader into(double& target);
    yaml_value_reader into(std::uint16_t& target);
    yaml_value_reader into(std::uint32_t& target);
    yaml_value_reader into(std::uint64_t& target);
    // Reads a time in RFC 3339 form, such as 2026-03-01T18:00:00Z.
    yaml_value_reader into(core::wall_time& target);
    yaml_value_reader into(std::vector<std::string>& target);

    // Reads a list of items with the function, which fills a new item.
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

    // Adds an error at the place of the node and marks the path as faulted.
    void add_fault(const YAML::Node& node, const std::string& path, const std::string& message);

    core::place place_of(const YAML::Node& node) const;

private:
    template <typename Integer>
    yaml_value_reader into_integer(Integer& target);

    std::string m_source;
    core::findings& m_found;
    source_map& m_places;
};

} // namespace quetzalspan::config
