// Reads the registry file: one function lists the members of each kind of part.

#include "config/registry_yaml.h"

#include "config/yaml_reader.h"

#include <array>

namespace quetzalspan::config
{

namespace
{

void read_availability_zone(yaml_reader& reader, const YAML::Node& node, const std::string& path,
                            availability_zone& item)
{
    reader.mapping(node, path,
                   {{"name", true, reader.into(item.name)}, {"region", true, reader.into(item.region)}});
}

void read_endpoint(yaml_reader& reader, const YAML::Node& node, const std::string& path, endpoint& item)
{
    reader.mapping(node, path,
                   {{"id", true, reader.into(item.id)},
                    {"availability_zone", true, reader.into(item.availability_zone)},
                    {"host", true, reader.into(item.host)},
                    {"port", true, reader.into(item.port)},
                    {"slots", false, reader.into(item.slots)},
                    {"connections", false, reader.into(item.connections)},
                    {"draining", false, reader.into(item.is_draining)}});
}

void read_service(yaml_reader& reader, const YAML::Node& node, const std::string& path, service& item)
{
    reader.mapping(
        node, path,
        {{"name", true, reader.into(item.name)},
         {"endpoints", true,
          reader.into_list<endpoint>(
              item.endpoints, [&reader](const YAML::Node& inner, const std::string& at, endpoint& value) {
                  read_endpoint(reader, inner, at, value);
              })}});
}

void read_workspace(yaml_reader& reader, const YAML::Node& node, const std::string& path, workspace& item)
{
    reader.mapping(node, path,
                   {{"name", true, reader.into(item.name)},
                    {"rate_per_second", true, reader.into(item.rate_per_second)},
                    {"burst", true, reader.into(item.burst)},
                    {"weight", false, reader.into(item.weight)}});
}

// Returns a reader that reports a plaintext key written instead of its digest. The key must not appear in any
// output, so its value is left out.
yaml_value_reader reject_plaintext(yaml_reader& reader)
{
    return [&reader](const YAML::Node& node, const std::string& path) {
        reader.add_error(
            node, path,
            "keys are never written in plaintext; write digest: with the output of \"quetzalctl "
            "digest-key\", which reads the key from standard input, and replace the exposed key");
    };
}

void read_key(yaml_reader& reader, const YAML::Node& node, const std::string& path, key_entry& item)
{
    std::vector<yaml_member> members{{"digest", true, reader.into(item.digest)},
                                     {"workspace", true, reader.into(item.workspace)},
                                     {"revoked", false, reader.into(item.is_revoked)}};
    constexpr std::array<std::string_view, 6> plaintext_members{"key",   "plaintext", "secret",
                                                                "token", "value",     "password"};
    for (const std::string_view name : plaintext_members) {
        members.push_back({name, false, reject_plaintext(reader)});
    }
    reader.mapping(node, path, members, false);
}

void read_site(yaml_reader& reader, const YAML::Node& node, const std::string& path, site& item)
{
    reader.mapping(node, path,
                   {{"name", true, reader.into(item.name)}, {"regions", true, reader.into(item.regions)}});
}

void read_client_block(yaml_reader& reader, const YAML::Node& node, const std::string& path,
                       client_block& item)
{
    reader.mapping(node, path,
                   {{"prefix", true, reader.into(item.prefix)}, {"site", true, reader.into(item.site)}});
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

registry registry_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                            source_map& positions)
{
    registry result;
    yaml_reader reader(source, found, positions);
    const YAML::Node root = reader.parse(text);
    if (!root.IsDefined()) {
        positions.mark_reported("registry");
        return result;
    }
    reader.mapping(
        root, "registry",
        {{"regions", true, reader.into(result.regions)},
         {"availability_zones", true, list_of(reader, result.availability_zones, read_availability_zone)},
         {"services", true, list_of(reader, result.services, read_service)},
         {"workspaces", true, list_of(reader, result.workspaces, read_workspace)},
         {"keys", true, list_of(reader, result.keys, read_key)},
         {"sites", false, list_of(reader, result.sites, read_site)},
         {"client_blocks", false, list_of(reader, result.client_blocks, read_client_block)}});
    return result;
}

} // namespace quetzalspan::config
