// Valid example messages for the tests of this package.

#pragma once

#include "peer_rpc/messages.h"

namespace quetzalspan::peer_rpc
{

// Returns a complete heartbeat of the member with this id and with demands for so many limits.
inline heartbeat example_heartbeat(const std::string& id, std::size_t limits = 1)
{
    heartbeat message;
    message.sender.id = id;
    message.sender.instance = id.substr(0, id.find('.'));
    message.sender.availability_zone = "perth-1";
    message.sender.region = "perth";
    message.sender.host = "127.0.0.1";
    message.sender.peer_port = 9000;
    message.sender.joined_revision = 17;
    message.configuration_revision = 5;
    message.round = 2;
    message.is_confirmed_by_store = true;
    message.is_complete = true;
    for (std::size_t index = 0; index < limits; ++index) {
        message.demands.push_back({"workspace/milliner-" + std::to_string(index),
                                   12'500'000,
                                   {25'000'000, 50'000'000, 48'123'456}});
    }
    return message;
}

inline allowance::share_request example_share_request(const std::string& requester)
{
    return {{requester, 7}, 2, 5, true, {{"workspace/a", {1, 2, 2}}, {"slots/b", {0, 3, 3}}}};
}

inline allowance::share_offer example_offer(const std::string& requester)
{
    return {{requester, 8}, 2, 5, {{"workspace/a", {1, 2, 2}}}};
}

} // namespace quetzalspan::peer_rpc
