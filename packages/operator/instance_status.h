// The status that an instance reports at /status, and its JSON form.

#pragma once

#include "core/findings.h"

#include <json/forwards.h>

#include <cstdint>
#include <map>
#include <string>

namespace quetzalspan::admin
{

struct instance_status {
    std::string member;
    std::string instance;
    std::string availability_zone;
    std::string region;
    std::string state;
    // Revision and nonce of the configuration in force; 0 and empty before the first one.
    std::uint64_t revision = 0;
    std::string nonce;
    // Number of configurations refused since the start: older than the one in force, conflicting with it, or
    // invalid.
    std::uint64_t older_offers = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t invalid_offers = 0;
    bool has_authority = false;
    bool is_ready = false;
    // Number of members that the instance knows, and the ledger round in which it takes part; 0 before it has
    // joined.
    std::uint64_t members = 0;
    std::uint64_t round = 0;
    // Further values by name, shown to operators and not used by commands.
    std::map<std::string, std::string> details;
};

Json::Value to_json_value(const instance_status& status);

// Parses the JSON form of to_json_value(). Throws core::findings_error, with the source as the place, if a
// field that commands need is missing or has the wrong type.
instance_status instance_status_from_json(std::string_view text, const std::string& source);

} // namespace quetzalspan::admin
