// The environment, the result and the exit codes of the commands of quetzalctl.

#pragma once

#include "core/findings.h"
#include "core/time.h"
#include "operator/configuration_store.h"
#include "operator/configuration_writer.h"
#include "operator/instance_client.h"

#include <json/value.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::admin
{

enum class exit_code {
    success = 0,
    // The input has errors, or a local operation such as reading a file failed.
    findings = 1,
    // The command line is malformed.
    usage = 2,
    // Another write came first; nothing was written.
    race_lost = 3,
    // The store or the instances do not answer, or the outcome of a write is unknown.
    unreachable = 4,
    // The awaited revision was not in force on all live instances in time.
    timeout = 5,
};

// The outcome of a command, in both forms of output.
struct command_result {
    exit_code code = exit_code::success;
    // Written to standard output in the text form.
    std::string text;
    // Written to standard error in the text form: warnings, and errors with what the operator can do about
    // them.
    std::string diagnostics;
    // Written to standard output in the JSON form.
    Json::Value value{Json::objectValue};
};

// The store, the instances, files, time and randomness that commands use. Tests replace them.
struct command_environment {
    // Its hooks are empty if no store address was given. Only validate, digest-key, status, report and wait
    // for a given revision can run then.
    configuration_store store;
    // Returns the instances of the fleet and adds a warning for each unreadable member record. May throw
    // store_error.
    std::function<std::vector<instance_address>(core::findings&)> find_instances;
    // Sends GET with the target to the admin interface of each instance. Returns a reply for each instance,
    // in order.
    std::function<std::vector<instance_reply>(const std::vector<instance_address>&,
                                              const std::string& target)>
        query_instances;
    // Returns the content of a file. Throws std::runtime_error if it cannot be read.
    std::function<std::string(const std::string& path)> read_file;
    std::function<std::string()> read_standard_input;
    // Returns a text that identifies one write; no two calls return the same.
    std::function<std::string()> make_nonce;
    std::function<core::instant()> now;
    std::function<void(core::duration)> sleep_for;
    // Recorded as the author of written configurations.
    std::string author;
};

// Returns a writer on the store of the environment, which must outlive it. The writer takes the highest
// revision in force from the instances that answer.
configuration_writer make_writer(const command_environment& environment);

// Adds the findings to the diagnostics and to the JSON form.
void add_findings(command_result& result, const core::findings& found);

// Returns a result that holds nothing but the exit code and the error message.
command_result fail(exit_code code, const std::string& message);

// Runs the command. Exceptions become results: findings_error and other errors with exit_code::findings,
// store_error with exit_code::unreachable.
command_result run_catching_errors(const std::function<command_result()>& command);

} // namespace quetzalspan::admin
