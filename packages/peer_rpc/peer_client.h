// A client for the JSON-RPC methods of one other instance, over HTTP.

#pragma once

#include "http/client.h"
#include "peer_rpc/message_authenticator.h"
#include "peer_rpc/messages.h"
#include "peer_rpc/rpc/rpc_error.h"

#include <boost/asio/awaitable.hpp>
#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace quetzalspan::peer_rpc
{

struct peer_address {
    // any_receiver if the peer's member id is not known; the peer then accepts only get_configuration().
    std::string member_id;
    // Numeric IP address.
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

struct peer_client_options {
    // Member id of this instance.
    std::string own_id;
    // Returns the present time, which is put into each request.
    std::function<core::wall_time()> now;
    // Time limit for one call. It is short so that a peer that does not answer does not delay the heartbeats
    // to the others.
    core::duration timeout = std::chrono::seconds(1);
};

// Thread-safe. The client must outlive its calls. Every call throws http::transport_error if no reply came
// (of kind refused if no process listens at the address), and rpc_error if the reply is an error, not
// authentic or not valid.
class peer_client
{
public:
    // Throws boost::system::system_error if the host is not a numeric address.
    peer_client(boost::asio::any_io_executor executor, peer_address peer,
                std::shared_ptr<message_authenticator> authenticator, peer_client_options options);

    boost::asio::awaitable<heartbeat_reply> send_heartbeat(heartbeat message);
    boost::asio::awaitable<configuration_reply> get_configuration(configuration_request message);
    boost::asio::awaitable<allowance::share_grant> request_share(allowance::share_request message);
    boost::asio::awaitable<void> acknowledge_grant(allowance::grant_acknowledgement message);
    boost::asio::awaitable<allowance::grant_acknowledgement> hand_over(allowance::share_offer message);

    const peer_address& peer() const { return m_peer; }

private:
    boost::asio::awaitable<Json::Value> call(const char* method, Json::Value parameters);

    peer_address m_peer;
    std::shared_ptr<message_authenticator> m_authenticator;
    peer_client_options m_options;
    http::client m_client;
};

} // namespace quetzalspan::peer_rpc
