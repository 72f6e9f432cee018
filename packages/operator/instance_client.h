// Finds the instances in the store and queries their admin interfaces concurrently.

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

// The admin address of an instance.
struct instance_address {
    // The member id, or the address if it was given on the command line.
    std::string name;
    config::host_port admin;
    // Whether the liveness key of the instance exists in the store. Instances given on the command line count
    // as live.
    bool is_live = true;
};

// The reply of one instance. Without a body the error says why. The body is that of a response with status
// 200.
struct instance_reply {
    instance_address address;
    std::optional<std::string> body;
    std::string error;
};

// Reads the member records and the liveness keys. Skips records that cannot be parsed and adds a warning for
// each. Throws store_error.
std::vector<instance_address> find_instances(store_connection& store, core::findings& found);

// Sends GET with the target to all instances at the same time. Returns a reply for each instance, in order.
// An instance that does not answer within the timeout has an error in its reply.
std::vector<instance_reply> query_instances(const std::vector<instance_address>& instances,
                                            const std::string& target, core::duration timeout);

} // namespace quetzalspan::admin
