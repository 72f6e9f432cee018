// What all commands of quetzalctl share: their environment, their result and the exit codes.

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
    // The input has errors.
    findings = 1,
    usage = 2,
    race_lost = 3,
    // The store or the instances do not answer, or the outcome of a write is not known.
    unreachable = 4,
    timeout = 5,
};

struct command_result {
    exit_code code = exit_code::success;
    // For standard output in the text form.
    std::string text;
    // For standard error in the text form: warnings, and what went wrong with what to do about it.
    std::string diagnostics;
    // For standard output in the JSON form.
    Json::Value value{Json::objectValue};
};

// Everything outside the commands, so that tests can replace it.
struct command_environment {
    // Without hooks if no address was given; only status, wait for a named revision and report run then.
    configuration_store store;
    // Returns the instances of the fleet. May throw store_error.
    std::function<std::vector<instance_address>(core::findings&)> find_instances;
    std::function<std::vector<instance_reply>(const std::vector<instance_address>&,
                                              const std::string& target)>
        query_instances;
    // Returns the content of a file or throws std::runtime_error.
    std::function<std::string(const std::string& path)> read_file;
    std::function<std::string()> read_standard_input;
    std::function<std::string()> make_nonce;
    std::function<core::instant()> now;
    std::function<void(core::duration)> sleep_for;
    std::string author;
};

// Returns the writer of the environment. Its highest revision comes from the instances that answer.
configuration_writer make_writer(const command_environment& environment);

// Adds the findings to the notes and to the JSON form.
void add_findings(command_result& result, const core::findings& found);

// Returns a result that only says what is wrong.
command_result fail(exit_code code, const std::string& message);

// Runs the command and turns its exceptions into results: findings_error, store_error and other errors.
command_result run_catching_errors(const std::function<command_result()>& command);

} // namespace quetzalspan::admin
