// Commands that query the instances: status, wait, report.

#pragma once

#include "operator/command.h"

#include <cstdint>
#include <optional>

namespace quetzalspan::admin
{

// Shows the configuration in the store and the status of each instance, with the revision that it has in
// force. If the configuration cannot be read, instances with known addresses are queried all the same; the
// exit code is then unreachable, or findings for an invalid configuration.
command_result run_status(const command_environment& environment);

// Waits until the revision or a higher one is in force on every live instance. Without a revision it waits
// for the one in the store. After the timeout the result lists the instances that have a lower revision or do
// not answer.
command_result run_wait(const command_environment& environment, std::optional<std::uint64_t> revision,
                        core::duration timeout);

// Sums the service-level burn reports of all instances and lists the instances that are missing from the
// sums. The exit code is unreachable if no instance answers.
command_result run_report(const command_environment& environment);

} // namespace quetzalspan::admin
