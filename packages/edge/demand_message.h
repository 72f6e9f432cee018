// The message by which an instance tells its peers that it lives and which demand it has: a JSON-RPC
// notification in one datagram.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quetzalspan::edge
{

struct demand_message {
    std::string instance;
    // Rises with each message of one start of the instance, so that one that was overtaken is dropped.
    std::uint64_t sequence = 0;
    // Requests per second by workspace.
    std::map<std::string, double, std::less<>> rates;
};

std::string to_text(const demand_message& message);

// Throws core::findings_error if the text is no such message.
demand_message parse_demand_message(std::string_view text, const std::string& source);

} // namespace quetzalspan::edge
