// Wires the packages into the process of an entry instance.

#pragma once

#include "caller/proxy_server.h"
#include "config/settings.h"
#include "fellow/fellow_directory.h"
#include "fellow/fellow_server.h"
#include "http/server.h"
#include "node/control_loop.h"
#include "node/endpoint_prober.h"
#include "node/idempotency_claims.h"
#include "node/request_policy.h"
#include "operator/admin_handler.h"
#include "upstream/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace quetzalspan::quetzald
{

// Requests run on a pool of threads. Control work has a thread of its own, so that a busy request path does
// not delay heartbeats, renewals and transfers.
class daemon
{
public:
    // Binds all ports. Throws boost::system::system_error if one cannot be bound.
    static std::shared_ptr<daemon> create(const config::settings& settings);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    // Runs until SIGTERM or SIGINT has led to a planned stop. Returns the exit code of the process.
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
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> request_configuration_from_peers();
    admin::instance_status make_status() const;

    config::settings m_settings;
    boost::asio::io_context m_control_context;
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
    std::unique_ptr<node::idempotency_claims> m_claims;
    std::unique_ptr<node::endpoint_prober> m_prober;
    std::unique_ptr<fellow::fellow_directory> m_peer_directory;
    std::shared_ptr<node::control_loop> m_control_loop;
    std::shared_ptr<caller::proxy_server> m_proxy_server;
    std::shared_ptr<fellow::authentication> m_authentication;
    std::shared_ptr<fellow::fellow_server> m_peer_handler;
    std::shared_ptr<http::server> m_peer_server;
    std::shared_ptr<http::server> m_admin_server;
    std::vector<std::thread> m_request_threads;
};

} // namespace quetzalspan::quetzald
