// Converts instance records to JSON, and parses and validates them.

#include "edge/instance_record.h"

#include "codec/json_reader.h"

namespace quetzalspan::edge
{

namespace
{

constexpr std::uint64_t record_version = 1;
constexpr std::uint64_t max_port = 65535;

Json::Value to_json(const socket_address& address)
{
    Json::Value value;
    value["host"] = address.host;
    value["port"] = address.port;
    return value;
}

socket_address read_address(codec::json_reader& in, const Json::Value& parent, const char* member)
{
    const Json::Value& value = in.read_object(parent, member, "record");
    socket_address result;
    result.host = in.read_string(value, "host", member);
    result.port = static_cast<std::uint16_t>(in.read_unsigned(value, "port", member, max_port));
    return result;
}

} // namespace

std::string to_text(const instance_record& record)
{
    Json::Value value;
    value["version"] = Json::UInt64(record_version);
    value["instance"] = record.instance;
    value["availability_zone"] = record.availability_zone;
    value["region"] = record.region;
    value["callers"] = to_json(record.caller_address);
    value["peers"] = to_json(record.peer_address);
    value["phase"] = std::string(instance_phase_names.name(record.phase));
    return codec::to_compact_text(value);
}

instance_record parse_instance_record(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value value = in.parse_object(text);
    in.check_version(value, record_version, "record");
    instance_record result;
    result.instance = in.read_string(value, "instance", "record");
    result.availability_zone = in.read_string(value, "availability_zone", "record");
    result.region = in.read_string(value, "region", "record");
    result.caller_address = read_address(in, value, "callers");
    result.peer_address = read_address(in, value, "peers");
    const std::optional<instance_phase> phase =
        instance_phase_names.find_value(in.read_string(value, "phase", "record"));
    if (!phase) {
        in.add_error("record.phase", "is not a phase of an instance");
    }
    in.throw_if_errors();
    result.phase = *phase;
    return result;
}

} // namespace quetzalspan::edge
