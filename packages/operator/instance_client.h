// Finds instances and asks their admin interfaces, all at the same time.

#pragma once

#include "config/host_port.h"
#include "core/findings.h"
#include "core/time.h"
#include "operator/store_connection.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::admin
{

struct instance_address {
    // Member id, or the address where no record is known.
    std::string name;
    config::host_port admin;
    // Whether the instance's liveness key exists. Instances named on the command line count as live.
    bool is_live = true;
};

// The response of one instance. Without a body the error says why.
struct instance_reply {
    instance_address address;
    std::optional<std::string> body;
    std::string error;
};

// Reads the member records and liveness keys. Records that cannot be read become warnings. Throws
// store_error.
std::vector<instance_address> find_instances(store_connection& store, core::findings& found);

// Sends GET with the target to every instance and waits at most for the timeout.
std::vector<instance_reply> query_instances(const std::vector<instance_address>& instances,
                                            const std::string& target, core::duration timeout);

} // namespace quetzalspan::admin
