// Converts configurations to and from JSON. The reader collects the findings of the whole text, so that all
// of them are reported at once.

#include "config/configuration_json.h"

#include "core/findings.h"
#include "core/json_text.h"

#include <json/json.h>

#include <functional>
#include <limits>

namespace quetzalspan::config
{

namespace
{

Json::Value strings_to_json(const std::vector<std::string>& values)
{
    Json::Value list(Json::arrayValue);
    for (const std::string& value : values) {
        list.append(value);
    }
    return list;
}

template <typename Item>
Json::Value list_to_json(const std::vector<Item>& items, Json::Value (*convert)(const Item&))
{
    Json::Value list(Json::arrayValue);
    for (const Item& item : items) {
        list.append(convert(item));
    }
    return list;
}

Json::Value item_to_json(const availability_zone& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["region"] = item.region;
    return value;
}

Json::Value item_to_json(const endpoint& item)
{
    Json::Value value;
    value["id"] = item.id;
    value["availability_zone"] = item.availability_zone;
    value["host"] = item.host;
    value["port"] = item.port;
    value["slots"] = item.slots;
    value["connections"] = item.connections;
    value["draining"] = item.is_draining;
    return value;
}

Json::Value item_to_json(const service& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["endpoints"] = list_to_json<endpoint>(item.endpoints, item_to_json);
    return value;
}

Json::Value item_to_json(const workspace& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["rate_per_second"] = item.rate_per_second;
    value["burst"] = item.burst;
    value["weight"] = item.weight;
    return value;
}

Json::Value item_to_json(const key_entry& item)
{
    Json::Value value;
    value["digest"] = item.digest;
    value["workspace"] = item.workspace;
    value["revoked"] = item.is_revoked;
    return value;
}

Json::Value item_to_json(const client_block& item)
{
    Json::Value value;
    value["prefix"] = item.prefix;
    value["site"] = item.site;
    return value;
}

Json::Value item_to_json(const site& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["regions"] = strings_to_json(item.regions);
    return value;
}

Json::Value item_to_json(const route& item)
{
    Json::Value value;
    value["path_prefix"] = item.path_prefix;
    value["service"] = item.service;
    value["public"] = item.is_public;
    return value;
}

Json::Value item_to_json(const shift_cap& item)
{
    Json::Value value;
    value["from_region"] = item.from_region;
    value["to_region"] = item.to_region;
    value["rate_per_second"] = item.rate_per_second;
    value["burst"] = item.burst;
    return value;
}

Json::Value item_to_json(const link_cap& item)
{
    Json::Value value;
    value["from_region"] = item.from_region;
    value["to_region"] = item.to_region;
    value["bytes_per_second"] = item.bytes_per_second;
    value["burst_bytes"] = Json::UInt64(item.burst_bytes);
    return value;
}

Json::Value item_to_json(const planned_shift& item)
{
    Json::Value value;
    value["service"] = item.service;
    value["from_region"] = item.from_region;
    value["to_region"] = item.to_region;
    value["begin_fraction"] = item.begin_fraction;
    value["end_fraction"] = item.end_fraction;
    value["begin_ms"] = Json::Int64(item.begin.time_since_epoch().count());
    value["end_ms"] = Json::Int64(item.end.time_since_epoch().count());
    return value;
}

Json::Value item_to_json(const objective& item)
{
    Json::Value value;
    value["service"] = item.service;
    value["target"] = item.target;
    value["latency_ms"] = item.latency_milliseconds;
    return value;
}

Json::Value item_to_json(const past_write& item)
{
    Json::Value value;
    value["revision"] = Json::UInt64(item.revision);
    value["author"] = item.author;
    value["nonce"] = item.nonce;
    return value;
}

// Reads members of JSON objects. A member that is missing or has the wrong type gets a finding with its path
// and reads as an empty value.
class configuration_reader
{
public:
    explicit configuration_reader(std::string source) : m_source(std::move(source)) {}

    void add_error(const std::string& path, const std::string& message)
    {
        m_found.add_error({m_source, 0, 0}, path + ": " + message);
    }

    std::string text(const Json::Value& object, const char* member, const std::string& path)
    {
        if (!object.isObject() || !object[member].isString()) {
            add_error(path + "." + member, "must be a string");
            return {};
        }
        return object[member].asString();
    }

    double number(const Json::Value& object, const char* member, const std::string& path)
    {
        if (!object.isObject() || !object[member].isNumeric()) {
            add_error(path + "." + member, "must be a number");
            return 0;
        }
        return object[member].asDouble();
    }

    std::uint64_t count(const Json::Value& object, const char* member, const std::string& path,
                        std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
    {
        if (!object.isObject() || !object[member].isUInt64() || object[member].asUInt64() > maximum) {
            add_error(path + "." + member, "must be a whole number from 0 to " + std::to_string(maximum));
            return 0;
        }
        return object[member].asUInt64();
    }

    std::uint32_t count_32(const Json::Value& object, const char* member, const std::string& path)
    {
        return static_cast<std::uint32_t>(
            count(object, member, path, std::numeric_limits<std::uint32_t>::max()));
    }

    core::wall_time time(const Json::Value& object, const char* member, const std::string& path)
    {
        if (!object.isObject() || !object[member].isInt64()) {
            add_error(path + "." + member, "must be a time in milliseconds");
            return {};
        }
        return core::wall_time(std::chrono::milliseconds(object[member].asInt64()));
    }

    bool flag(const Json::Value& object, const char* member, const std::string& path)
    {
        if (!object.isObject() || !object[member].isBool()) {
            add_error(path + "." + member, "must be true or false");
            return false;
        }
        return object[member].asBool();
    }

    std::vector<std::string> texts(const Json::Value& object, const char* member, const std::string& path)
    {
        std::vector<std::string> values;
        each(object, member, path, [&](const Json::Value& item, const std::string& item_path) {
            if (!item.isString()) {
                add_error(item_path, "must be a string");
                return;
            }
            values.push_back(item.asString());
        });
        return values;
    }

    template <typename Item>
    std::vector<Item> items(const Json::Value& object, const char* member, const std::string& path,
                            const std::function<Item(const Json::Value&, const std::string&)>& convert)
    {
        std::vector<Item> values;
        each(object, member, path, [&](const Json::Value& item, const std::string& item_path) {
            values.push_back(convert(item, item_path));
        });
        return values;
    }

    core::findings take_findings() { return std::move(m_found); }

private:
    void each(const Json::Value& object, const char* member, const std::string& path,
              const std::function<void(const Json::Value&, const std::string&)>& visit)
    {
        const std::string list_path = path + "." + member;
        if (!object.isObject() || !object[member].isArray()) {
            add_error(list_path, "must be a list");
            return;
        }
        const Json::Value& list = object[member];
        for (Json::ArrayIndex index = 0; index < list.size(); ++index) {
            visit(list[index], list_path + "[" + std::to_string(index) + "]");
        }
    }

    std::string m_source;
    core::findings m_found;
};

endpoint read_endpoint(configuration_reader& in, const Json::Value& value, const std::string& path)
{
    endpoint item;
    item.id = in.text(value, "id", path);
    item.availability_zone = in.text(value, "availability_zone", path);
    item.host = in.text(value, "host", path);
    item.port =
        static_cast<std::uint16_t>(in.count(value, "port", path, std::numeric_limits<std::uint16_t>::max()));
    item.slots = in.count_32(value, "slots", path);
    item.connections = in.count_32(value, "connections", path);
    item.is_draining = in.flag(value, "draining", path);
    return item;
}

registry read_registry(configuration_reader& in, const Json::Value& value, const std::string& path)
{
    registry result;
    result.regions = in.texts(value, "regions", path);
    result.availability_zones = in.items<availability_zone>(
        value, "availability_zones", path, [&](const Json::Value& item, const std::string& at) {
            return availability_zone{in.text(item, "name", at), in.text(item, "region", at)};
        });
    result.services =
        in.items<service>(value, "services", path, [&](const Json::Value& item, const std::string& at) {
            return service{in.text(item, "name", at),
                           in.items<endpoint>(item, "endpoints", at,
                                              [&](const Json::Value& inner, const std::string& inner_at) {
                                                  return read_endpoint(in, inner, inner_at);
                                              })};
        });
    result.workspaces =
        in.items<workspace>(value, "workspaces", path, [&](const Json::Value& item, const std::string& at) {
            return workspace{in.text(item, "name", at), in.number(item, "rate_per_second", at),
                             in.count_32(item, "burst", at), in.count_32(item, "weight", at)};
        });
    result.keys =
        in.items<key_entry>(value, "keys", path, [&](const Json::Value& item, const std::string& at) {
            return key_entry{in.text(item, "digest", at), in.text(item, "workspace", at),
                             in.flag(item, "revoked", at)};
        });
    result.sites = in.items<site>(value, "sites", path, [&](const Json::Value& item, const std::string& at) {
        return site{in.text(item, "name", at), in.texts(item, "regions", at)};
    });
    result.client_blocks = in.items<client_block>(
        value, "client_blocks", path, [&](const Json::Value& item, const std::string& at) {
            return client_block{in.text(item, "prefix", at), in.text(item, "site", at)};
        });
    return result;
}

rules read_rules(configuration_reader& in, const Json::Value& value, const std::string& path)
{
    rules result;
    result.routes =
        in.items<route>(value, "routes", path, [&](const Json::Value& item, const std::string& at) {
            return route{in.text(item, "path_prefix", at), in.text(item, "service", at),
                         in.flag(item, "public", at)};
        });
    result.shift_caps =
        in.items<shift_cap>(value, "shift_caps", path, [&](const Json::Value& item, const std::string& at) {
            return shift_cap{in.text(item, "from_region", at), in.text(item, "to_region", at),
                             in.number(item, "rate_per_second", at), in.count_32(item, "burst", at)};
        });
    result.link_caps =
        in.items<link_cap>(value, "link_caps", path, [&](const Json::Value& item, const std::string& at) {
            return link_cap{in.text(item, "from_region", at), in.text(item, "to_region", at),
                            in.number(item, "bytes_per_second", at), in.count(item, "burst_bytes", at)};
        });
    result.planned_shifts = in.items<planned_shift>(
        value, "planned_shifts", path, [&](const Json::Value& item, const std::string& at) {
            return planned_shift{in.text(item, "service", at),        in.text(item, "from_region", at),
                                 in.text(item, "to_region", at),      in.number(item, "begin_fraction", at),
                                 in.number(item, "end_fraction", at), in.time(item, "begin_ms", at),
                                 in.time(item, "end_ms", at)};
        });
    result.drained_regions = in.texts(value, "drained_regions", path);
    result.objectives =
        in.items<objective>(value, "objectives", path, [&](const Json::Value& item, const std::string& at) {
            return objective{in.text(item, "service", at), in.number(item, "target", at),
                             in.count_32(item, "latency_ms", at)};
        });
    return result;
}

} // namespace

Json::Value to_json_value(const configuration& value)
{
    Json::Value inventory;
    inventory["regions"] = strings_to_json(value.inventory.regions);
    inventory["availability_zones"] =
        list_to_json<availability_zone>(value.inventory.availability_zones, item_to_json);
    inventory["services"] = list_to_json<service>(value.inventory.services, item_to_json);
    inventory["workspaces"] = list_to_json<workspace>(value.inventory.workspaces, item_to_json);
    inventory["keys"] = list_to_json<key_entry>(value.inventory.keys, item_to_json);
    inventory["sites"] = list_to_json<site>(value.inventory.sites, item_to_json);
    inventory["client_blocks"] = list_to_json<client_block>(value.inventory.client_blocks, item_to_json);

    Json::Value policy;
    policy["routes"] = list_to_json<route>(value.policy.routes, item_to_json);
    policy["shift_caps"] = list_to_json<shift_cap>(value.policy.shift_caps, item_to_json);
    policy["link_caps"] = list_to_json<link_cap>(value.policy.link_caps, item_to_json);
    policy["planned_shifts"] = list_to_json<planned_shift>(value.policy.planned_shifts, item_to_json);
    policy["drained_regions"] = strings_to_json(value.policy.drained_regions);
    policy["objectives"] = list_to_json<objective>(value.policy.objectives, item_to_json);

    Json::Value root;
    root["revision"] = Json::UInt64(value.revision);
    root["author"] = value.author;
    root["nonce"] = value.nonce;
    root["history"] = list_to_json<past_write>(value.history, item_to_json);
    root["registry"] = inventory;
    root["rules"] = policy;
    return root;
}

std::string to_json(const configuration& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, to_json_value(value));
}

configuration configuration_from_json(std::string_view text, const std::string& source)
{
    configuration_reader in(source);
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const core::json_text parsed = core::parse_json(text, builder);
    if (!parsed.value) {
        in.add_error("configuration", "is not JSON: " + parsed.error);
        throw core::findings_error(in.take_findings());
    }
    const Json::Value& root = *parsed.value;
    configuration result;
    result.revision = in.count(root, "revision", "configuration");
    result.author = in.text(root, "author", "configuration");
    result.nonce = in.text(root, "nonce", "configuration");
    if (root.isObject() && root.isMember("history")) {
        result.history = in.items<past_write>(
            root, "history", "configuration", [&](const Json::Value& item, const std::string& at) {
                return past_write{in.count(item, "revision", at), in.text(item, "author", at),
                                  in.text(item, "nonce", at)};
            });
    }
    if (root.isObject()) {
        result.inventory = read_registry(in, root["registry"], "registry");
        result.policy = read_rules(in, root["rules"], "rules");
    }
    core::findings found = in.take_findings();
    if (found.has_errors()) {
        throw core::findings_error(std::move(found));
    }
    return result;
}

} // namespace quetzalspan::config
