// The calls by which the control loop sends messages to its peers. The daemon binds them to the clients of
// the package peer_rpc.

#pragma once

#include "peer_rpc/messages.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace quetzalspan::node
{

// The calls throw http::transport_error if a peer gives no response, and std::runtime_error if the peer
// rejects the message. A member is given by its member id.
struct peer_calls {
    std::function<boost::asio::awaitable<peer_rpc::heartbeat_reply>(std::string member,
                                                                    peer_rpc::heartbeat message)>
        heartbeat;
    std::function<boost::asio::awaitable<peer_rpc::configuration_reply>(
        std::string member, peer_rpc::configuration_request message)>
        get_configuration;
    std::function<boost::asio::awaitable<allowance::share_grant>(std::string member,
                                                                 allowance::share_request message)>
        request_share;
    std::function<boost::asio::awaitable<void>(std::string member, allowance::grant_acknowledgement message)>
        acknowledge_grant;
    std::function<boost::asio::awaitable<allowance::grant_acknowledgement>(std::string member,
                                                                           allowance::share_offer message)>
        hand_over;
    // Replaces the members that can be reached by the other calls.
    std::function<void(const std::vector<membership::member>&)> set_members;
};

} // namespace quetzalspan::node
