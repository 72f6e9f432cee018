// Reads the rules file: one function lists the members of each kind of part.

#include "config/rules_yaml.h"

#include "config/yaml_reader.h"

namespace quetzalspan::config
{

namespace
{

void read_route(yaml_reader& reader, const YAML::Node& node, const std::string& path, route& item)
{
    reader.mapping(node, path,
                   {{"path_prefix", true, reader.into(item.path_prefix)},
                    {"service", true, reader.into(item.service)},
                    {"public", false, reader.into(item.is_public)}});
}

void read_shift_cap(yaml_reader& reader, const YAML::Node& node, const std::string& path, shift_cap& item)
{
    reader.mapping(node, path,
                   {{"from_region", true, reader.into(item.from_region)},
                    {"to_region", true, reader.into(item.to_region)},
                    {"rate_per_second", true, reader.into(item.rate_per_second)},
                    {"burst", true, reader.into(item.burst)}});
}

void read_link_cap(yaml_reader& reader, const YAML::Node& node, const std::string& path, link_cap& item)
{
    reader.mapping(node, path,
                   {{"from_region", true, reader.into(item.from_region)},
                    {"to_region", true, reader.into(item.to_region)},
                    {"bytes_per_second", true, reader.into(item.bytes_per_second)},
                    {"burst_bytes", true, reader.into(item.burst_bytes)}});
}

void read_planned_shift(yaml_reader& reader, const YAML::Node& node, const std::string& path,
                        planned_shift& item)
{
    reader.mapping(node, path,
                   {{"service", true, reader.into(item.service)},
                    {"from_region", true, reader.into(item.from_region)},
                    {"to_region", true, reader.into(item.to_region)},
                    {"begin_fraction", true, reader.into(item.begin_fraction)},
                    {"end_fraction", true, reader.into(item.end_fraction)},
                    {"begin", true, reader.into(item.begin)},
                    {"end", true, reader.into(item.end)}});
}

void read_objective(yaml_reader& reader, const YAML::Node& node, const std::string& path, objective& item)
{
    reader.mapping(node, path,
                   {{"service", true, reader.into(item.service)},
                    {"target", true, reader.into(item.target)},
                    {"latency_ms", true, reader.into(item.latency_milliseconds)}});
}

// Returns a reader of a list whose items the function reads.
template <typename Item>
yaml_value_reader list_of(yaml_reader& reader, std::vector<Item>& target,
                          void (*read)(yaml_reader&, const YAML::Node&, const std::string&, Item&))
{
    return reader.into_list<Item>(target, [&reader, read](const YAML::Node& node, const std::string& path,
                                                          Item& item) { read(reader, node, path, item); });
}

} // namespace

rules rules_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                      source_map& positions)
{
    rules result;
    yaml_reader reader(source, found, positions);
    const YAML::Node root = reader.parse(text);
    if (!root.IsDefined()) {
        positions.mark_reported("rules");
        return result;
    }
    reader.mapping(root, "rules",
                   {{"routes", true, list_of(reader, result.routes, read_route)},
                    {"shift_caps", false, list_of(reader, result.shift_caps, read_shift_cap)},
                    {"link_caps", false, list_of(reader, result.link_caps, read_link_cap)},
                    {"planned_shifts", false, list_of(reader, result.planned_shifts, read_planned_shift)},
                    {"drained_regions", false, reader.into(result.drained_regions)},
                    {"objectives", false, list_of(reader, result.objectives, read_objective)}});
    return result;
}

} // namespace quetzalspan::config
