// The components of an entry instance and the lifecycle of its process.

#pragma once

#include "caller/proxy_server.h"
#include "config/settings.h"
#include "http/server.h"
#include "node/control_loop.h"
#include "node/endpoint_prober.h"
#include "node/idempotency_claims.h"
#include "node/request_policy.h"
#include "operator/admin_handler.h"
#include "peer_rpc/peer_directory.h"
#include "peer_rpc/peer_server.h"
#include "upstream/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace quetzalspan::quetzald
{

// Owns the components of an entry instance. Requests run on a pool of threads. Control work runs on a thread
// of its own, so that a busy request path does not delay heartbeats, lease renewals and transfers of shares.
class daemon
{
public:
    // Binds all ports. Throws boost::system::system_error if one cannot be bound.
    static std::shared_ptr<daemon> create(const config::settings& settings);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    // Runs until a graceful shutdown, requested by SIGTERM or SIGINT, is complete. Returns the exit code of
    // the process.
    int run();

private:
    explicit daemon(const config::settings& settings);

    void create_proxy_server();
    void create_peer_server();
    void create_admin_server();
    void create_control_loop();
    node::node_options make_node_options() const;
    node::peer_calls make_peer_calls();
    void add_metrics();
    void wait_for_stop_signal();
    // Shuts down gracefully: leaves the lookups, waits for active requests, hands over shares, then stops
    // run().
    boost::asio::awaitable<void> stop();
    // Asks the peers in the settings for a configuration until one is in force.
    boost::asio::awaitable<void> request_configuration_from_peers();
    admin::instance_status make_status() const;

    config::settings m_settings;
    // Run by the control thread, which is the one that calls run().
    boost::asio::io_context m_control_context;
    // Run by the request threads.
    boost::asio::io_context m_request_context;
    boost::asio::signal_set m_signals;

    burn::metrics_registry m_metrics;
    burn::burn_monitor m_burn;
    node::state_cell m_state;
    node::directory_cell m_directory;
    node::token_wait_queues m_token_wait_queues;
    node::endpoint_allocator m_endpoint_allocator;
    node::request_policy m_policy;
    std::shared_ptr<upstream::connection_pool> m_pool;

    std::shared_ptr<store::store_client> m_store;
    // Null if the settings pass non-idempotent requests without a claim.
    std::unique_ptr<node::idempotency_claims> m_claims;
    std::unique_ptr<node::endpoint_prober> m_prober;
    std::unique_ptr<peer_rpc::peer_directory> m_peer_directory;
    std::shared_ptr<node::control_loop> m_control_loop;
    std::shared_ptr<caller::proxy_server> m_proxy_server;
    std::shared_ptr<peer_rpc::message_authenticator> m_authenticator;
    std::shared_ptr<peer_rpc::peer_server> m_peer_handler;
    std::shared_ptr<http::server> m_peer_server;
    std::shared_ptr<http::server> m_admin_server;
    std::vector<std::thread> m_request_threads;
};

} // namespace quetzalspan::quetzald
