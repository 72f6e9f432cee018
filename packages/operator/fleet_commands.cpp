// Queries the instances, then shows their status, waits for a revision or sums their burn reports.

#include "operator/fleet_commands.h"

#include "burn/burn_report.h"
#include "config/configuration_json.h"
#include "core/json_text.h"
#include "operator/instance_status.h"

#include <absl/strings/str_format.h>
#include <json/json.h>

#include <map>
#include <set>

namespace quetzalspan::admin
{

namespace
{

constexpr std::chrono::milliseconds wait_interval{200};

// The status of one instance. Without a status the error says why.
struct instance_snapshot {
    instance_address address;
    std::optional<instance_status> status;
    std::string error;
};

std::vector<instance_snapshot> fetch_snapshots(const command_environment& environment, core::findings& found)
{
    std::vector<instance_snapshot> snapshots;
    for (const instance_reply& reply :
         environment.query_instances(environment.find_instances(found), "/status")) {
        instance_snapshot snapshot{reply.address, std::nullopt, reply.error};
        if (reply.body) {
            try {
                snapshot.status = instance_status_from_json(*reply.body, reply.address.name);
            } catch (const core::findings_error&) {
                snapshot.error =
                    "the status cannot be parsed; is this the admin port of an instance of this version?";
            }
        }
        snapshots.push_back(std::move(snapshot));
    }
    return snapshots;
}

std::string format_line(const instance_snapshot& snapshot)
{
    if (!snapshot.status) {
        return absl::StrFormat("%-32s %-22s %s: %s\n", snapshot.address.name,
                               config::to_text(snapshot.address.admin),
                               snapshot.address.is_live ? "unreachable" : "not live", snapshot.error);
    }
    const instance_status& status = *snapshot.status;
    std::string refused;
    if (status.older_offers + status.conflicts + status.invalid_offers > 0) {
        refused = absl::StrFormat(", offers refused: %d older, %d conflicting, %d invalid",
                                  status.older_offers, status.conflicts, status.invalid_offers);
    }
    return absl::StrFormat("%-32s %-22s %-16s %-10s revision %-8d %s, %s%s\n", status.member,
                           config::to_text(snapshot.address.admin), status.availability_zone, status.state,
                           status.revision, status.has_authority ? "authority" : "NO AUTHORITY",
                           status.is_ready ? "ready" : "not ready", refused);
}

Json::Value to_json_value(const instance_snapshot& snapshot)
{
    Json::Value value = snapshot.status ? to_json_value(*snapshot.status) : Json::Value(Json::objectValue);
    value["name"] = snapshot.address.name;
    value["address"] = config::to_text(snapshot.address.admin);
    value["live"] = snapshot.address.is_live;
    value["reachable"] = snapshot.status.has_value();
    if (!snapshot.status) {
        value["error"] = snapshot.error;
    }
    return value;
}

// Adds the configuration in the store to the result, or the error if it cannot be read.
void add_store_status(const command_environment& environment, command_result& result)
{
    Json::Value& value = result.value["store"];
    value["reachable"] = false;
    if (!environment.store.read) {
        result.text += "store: not queried, since no address was given\n";
        return;
    }
    try {
        const std::optional<stored_configuration> stored = environment.store.read();
        value["reachable"] = true;
        if (!stored) {
            result.text += "store: no configuration yet; write one with \"quetzalctl apply\"\n";
            return;
        }
        const config::configuration current = config::configuration_from_json(stored->text, "config/current");
        value["revision"] = Json::UInt64(current.revision);
        value["author"] = current.author;
        value["nonce"] = current.nonce;
        result.text += "store: revision " + std::to_string(current.revision) + " by " + current.author +
                       ", nonce " + current.nonce + "\n";
    } catch (const store_error& error) {
        result.code = exit_code::unreachable;
        result.diagnostics += std::string("error: ") + error.what() + "\n";
        value["error"] = error.what();
    } catch (const core::findings_error& error) {
        result.code = exit_code::findings;
        result.diagnostics +=
            "error: the configuration in the store is damaged; write it again with \"quetzalctl "
            "apply\"\n";
        add_findings(result, error.found());
    }
}

// Warns if instances have different configurations of the same revision in force. They stay different until a
// higher revision is written.
void add_conflict_warning(const std::vector<instance_snapshot>& snapshots, command_result& result)
{
    std::map<std::uint64_t, std::set<std::string>> nonces;
    for (const instance_snapshot& snapshot : snapshots) {
        if (snapshot.status) {
            nonces[snapshot.status->revision].insert(snapshot.status->nonce);
        }
    }
    for (const auto& [revision, writes] : nonces) {
        if (writes.size() > 1) {
            result.diagnostics += "warning: revision " + std::to_string(revision) + " is in force in " +
                                  std::to_string(writes.size()) +
                                  " different forms; apply again to write a higher revision\n";
            result.value["conflicting_revision"] = Json::UInt64(revision);
        }
    }
}

// Returns the instances that a wait must consider and that have a lower revision or do not answer.
std::vector<instance_snapshot> find_lagging(const std::vector<instance_snapshot>& snapshots,
                                            std::uint64_t revision)
{
    std::vector<instance_snapshot> lagging;
    for (const instance_snapshot& snapshot : snapshots) {
        const bool has_revision = snapshot.status && snapshot.status->revision >= revision;
        // An instance that has no liveness key and does not answer is dead. Its member record stays until it
        // is fenced.
        const bool counts = snapshot.address.is_live || snapshot.status;
        if (counts && !has_revision) {
            lagging.push_back(snapshot);
        }
    }
    return lagging;
}

std::uint64_t stored_revision(const command_environment& environment)
{
    const std::optional<stored_configuration> stored = environment.store.read();
    if (!stored) {
        return 0;
    }
    return config::configuration_from_json(stored->text, "config/current").revision;
}

// The result of one poll of the fleet during a wait. The error is set if the instances could not be listed.
struct fleet_snapshot {
    std::vector<instance_snapshot> all;
    std::vector<instance_snapshot> lagging;
    std::string error;
};

fleet_snapshot take_fleet_snapshot(const command_environment& environment, std::uint64_t revision)
{
    fleet_snapshot snapshot;
    core::findings ignored;
    try {
        snapshot.all = fetch_snapshots(environment, ignored);
        snapshot.lagging = find_lagging(snapshot.all, revision);
    } catch (const store_error& error) {
        snapshot.error = error.what();
    }
    return snapshot;
}

command_result to_result(const fleet_snapshot& snapshot, std::uint64_t revision)
{
    command_result result;
    result.value["revision"] = Json::UInt64(revision);
    result.value["lagging"] = Json::Value(Json::arrayValue);
    for (const instance_snapshot& lagging : snapshot.lagging) {
        result.diagnostics += "lags: " + format_line(lagging);
        result.value["lagging"].append(to_json_value(lagging));
    }
    result.value["instances"] = Json::UInt64(snapshot.all.size());
    return result;
}

} // namespace

command_result run_status(const command_environment& environment)
{
    command_result result;
    add_store_status(environment, result);
    core::findings found;
    std::vector<instance_snapshot> snapshots;
    try {
        snapshots = fetch_snapshots(environment, found);
    } catch (const store_error&) {
        result.diagnostics += "To query instances without the store, use --instances=host:adminport,...\n";
    }
    result.value["instances"] = Json::Value(Json::arrayValue);
    for (const instance_snapshot& snapshot : snapshots) {
        result.text += format_line(snapshot);
        result.value["instances"].append(to_json_value(snapshot));
    }
    add_conflict_warning(snapshots, result);
    add_findings(result, found);
    return result;
}

command_result run_wait(const command_environment& environment, std::optional<std::uint64_t> revision,
                        core::duration timeout)
{
    const std::uint64_t target_revision = revision ? *revision : stored_revision(environment);
    if (target_revision == 0) {
        return fail(exit_code::usage,
                    "there is no revision to wait for; give one or write one with \"quetzalctl apply\"");
    }
    const core::instant end = environment.now() + timeout;
    while (true) {
        const fleet_snapshot snapshot = take_fleet_snapshot(environment, target_revision);
        // A revision is not in force in a fleet without instances.
        if (snapshot.error.empty() && snapshot.lagging.empty() && !snapshot.all.empty()) {
            command_result result = to_result(snapshot, target_revision);
            result.text = "revision " + std::to_string(target_revision) +
                          " is in force on all live instances (" + std::to_string(snapshot.all.size()) +
                          ")\n";
            return result;
        }
        if (environment.now() >= end) {
            command_result result = to_result(snapshot, target_revision);
            result.code = snapshot.error.empty() ? exit_code::timeout : exit_code::unreachable;
            const std::string reason = !snapshot.error.empty() ? snapshot.error
                                       : snapshot.all.empty()
                                           ? "no instance was found"
                                           : std::to_string(snapshot.lagging.size()) + " of " +
                                                 std::to_string(snapshot.all.size()) + " instances lag";
            result.diagnostics += "error: revision " + std::to_string(target_revision) +
                                  " is not in force everywhere: " + reason +
                                  ". Check the listed instances, or wait again\n";
            result.value["error"] = reason;
            return result;
        }
        environment.sleep_for(wait_interval);
    }
}

command_result run_report(const command_environment& environment)
{
    command_result result;
    core::findings found;
    std::vector<burn::burn_report> reports;
    result.value["missing"] = Json::Value(Json::arrayValue);
    std::size_t queried = 0;
    for (const instance_reply& reply :
         environment.query_instances(environment.find_instances(found), "/burn")) {
        ++queried;
        std::string reason = reply.error;
        if (reply.body) {
            try {
                const Json::Value body = core::parse_json_object(*reply.body).value_or(Json::Value());
                reports.push_back(burn::burn_report_from_json(body, reply.address.name));
                continue;
            } catch (const core::findings_error&) {
                reason = "the report cannot be parsed";
            }
        }
        result.diagnostics +=
            "warning: " + reply.address.name + " is missing from the sums: " + reason + "\n";
        result.value["missing"].append(reply.address.name);
    }
    add_findings(result, found);
    if (reports.empty()) {
        result.code = exit_code::unreachable;
        result.diagnostics += "error: no instance answered (" + std::to_string(queried) +
                              " queried); give addresses with --instances=host:adminport,...\n";
        result.value["error"] = "no instance answered";
        return result;
    }
    const burn::burn_report sum = burn::merge(reports);
    result.value["instances"] = Json::UInt64(reports.size());
    result.value["rows"] = burn::to_json_value(sum)["rows"];
    result.text = burn::to_text(sum);
    return result;
}

} // namespace quetzalspan::admin
