// The server side of the messages between instances: authenticates each request, dispatches its JSON-RPC call
// to a hook and signs the reply.

#pragma once

#include "http/message.h"
#include "http/server.h"
#include "peer_rpc/message_authenticator.h"
#include "peer_rpc/messages.h"
#include "peer_rpc/rpc/dispatcher.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace quetzalspan::peer_rpc
{

// Functions that the server calls. Several threads may call a hook concurrently; the server holds no lock
// meanwhile. An exception thrown by a hook for a message becomes an error reply.
struct peer_server_hooks {
    // Returns the present time, against which the time of each request is checked.
    std::function<core::wall_time()> now;
    std::function<heartbeat_reply(const heartbeat&)> heartbeat;
    std::function<configuration_reply(const configuration_request&)> get_configuration;
    std::function<allowance::share_grant(const allowance::share_request&)> request_share;
    std::function<void(const allowance::grant_acknowledgement&)> acknowledge_grant;
    // Returns whether the offered shares were applied. The sender can differ from the requester in the
    // transfer id: an unacknowledged grant is resent as an offer under the id of the original request.
    std::function<bool(const std::string& sender, const allowance::share_offer&)> hand_over;
};

// Counts since the server was created.
struct peer_server_statistics {
    // All requests, including those counted below.
    std::uint64_t messages = 0;
    // Requests rejected by path, method or authentication, before their body was parsed.
    std::uint64_t rejected = 0;
    // Requests answered with a JSON-RPC error.
    std::uint64_t failed = 0;
};

// Thread-safe.
class peer_server : public std::enable_shared_from_this<peer_server>
{
public:
    static std::shared_ptr<peer_server> create(std::string member_id,
                                               std::shared_ptr<message_authenticator> authenticator,
                                               peer_server_hooks hooks);

    // Sets the id of a new incarnation of this instance. Requests addressed to the previous id are rejected
    // from then on.
    void set_member_id(const std::string& member_id);

    // Returns the response to one HTTP request. Invalid input never throws: it gets an HTTP or JSON-RPC
    // error.
    http::response handle(const http::request& request);

    // Returns a handler for http::server::create(). The handler shares ownership of this server.
    http::request_handler make_handler();
    // Returns the options for http::server::create(). They accept bodies of up to 2 MB and 64 KB, since a
    // configuration of 1 MB can take up to 2 MB as an escaped JSON string.
    static http::server_options http_server_options();

    peer_server_statistics statistics() const;

private:
    peer_server(std::string member_id, std::shared_ptr<message_authenticator> authenticator,
                peer_server_hooks hooks);

    void add_methods();
    http::response reject(unsigned status, std::string_view reason);
    std::string member_id() const;

    mutable std::mutex m_id_mutex;
    // Guarded by m_id_mutex.
    std::string m_member_id;
    std::shared_ptr<message_authenticator> m_authenticator;
    peer_server_hooks m_hooks;
    dispatcher m_dispatcher;
    std::atomic<std::uint64_t> m_message_count{0};
    std::atomic<std::uint64_t> m_rejected_count{0};
    std::atomic<std::uint64_t> m_failed_count{0};
};

} // namespace quetzalspan::peer_rpc
