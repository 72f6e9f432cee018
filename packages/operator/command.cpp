// Creates configuration writers and turns findings and exceptions into command results.

#include "operator/command.h"

#include "operator/instance_status.h"

#include <json/json.h>

#include <algorithm>

namespace quetzalspan::admin
{

namespace
{

std::uint64_t highest_instance_revision(const command_environment& environment)
{
    std::uint64_t highest = 0;
    core::findings ignored;
    // Throws if the list of instances cannot be read, so that the write fails: the store would accept a
    // revision that is too low, and the instances would ignore it.
    const std::vector<instance_address> instances = environment.find_instances(ignored);
    for (const instance_reply& reply : environment.query_instances(instances, "/status")) {
        if (!reply.body) {
            continue;
        }
        try {
            highest = std::max(highest, instance_status_from_json(*reply.body, reply.address.name).revision);
        } catch (const core::findings_error&) {
            // An instance of another version may report a status that cannot be parsed. The revision is taken
            // from the other instances.
        }
    }
    return highest;
}

} // namespace

configuration_writer make_writer(const command_environment& environment)
{
    writer_hooks hooks;
    hooks.highest_instance_revision = [&environment] { return highest_instance_revision(environment); };
    hooks.make_nonce = environment.make_nonce;
    hooks.sleep_for = environment.sleep_for;
    return {environment.store, std::move(hooks), environment.author};
}

void add_findings(command_result& result, const core::findings& found)
{
    result.diagnostics += found.to_text();
    Json::Value& list = result.value["findings"];
    if (list.isNull()) {
        list = Json::Value(Json::arrayValue);
    }
    for (const core::finding& entry : found.entries()) {
        Json::Value item;
        item["severity"] = std::string(core::severity_names.name(entry.level));
        item["file"] = entry.where.source;
        item["line"] = Json::UInt64(entry.where.line);
        item["column"] = Json::UInt64(entry.where.column);
        item["message"] = entry.message;
        list.append(item);
    }
}

command_result fail(exit_code code, const std::string& message)
{
    command_result result;
    result.code = code;
    result.diagnostics = "error: " + message + "\n";
    result.value["error"] = message;
    return result;
}

command_result run_catching_errors(const std::function<command_result()>& command)
{
    try {
        return command();
    } catch (const core::findings_error& error) {
        command_result result;
        result.code = exit_code::findings;
        add_findings(result, error.found());
        return result;
    } catch (const store_error& error) {
        return fail(exit_code::unreachable,
                    std::string(error.what()) +
                        ". Check --store and whether the store is up. To query instances "
                        "without the store, use --instances=host:adminport,...");
    } catch (const std::exception& error) {
        return fail(exit_code::findings, error.what());
    }
}

} // namespace quetzalspan::admin
