// An edge instance: creates and connects the components that relay requests from callers to endpoints, and
// controls their startup and shutdown.

#pragma once

#include "burn/metrics_registry.h"
#include "caller/proxy_server.h"
#include "edge/confirmation_client.h"
#include "edge/demand_exchange.h"
#include "edge/deployment_adapter.h"
#include "edge/instance_options.h"
#include "edge/load_exchange.h"
#include "edge/request_rules.h"
#include "edge/store_watcher.h"
#include "edge/token_client.h"
#include "http/server.h"
#include "placement/rate_limit.h"
#include "quota/shared_reserve.h"
#include "upstream/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace quetzalspan::edge
{

class instance
{
public:
    // Binds all addresses. Throws boost::system::system_error if one cannot be bound.
    static std::shared_ptr<instance> create(instance_options options, deployment_adapter adapter);

    ~instance();

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Serves an HTTP control interface of the deployment, such as lookups, until the instance ends. Throws
    // boost::system::system_error if the address cannot be bound.
    void add_control_server(const socket_address& address, http::request_handler handler);

    // Sets the function that is called on SIGHUP.
    void set_reload_handler(std::function<void()> on_reload) { m_on_reload = std::move(on_reload); }

    // Runs until a signal stops the instance and its request threads have ended. Unblocks the control
    // signals, of which one may be pending. Returns the exit code.
    int run();

    // Returns whether the instance accepts requests: a configuration is in force, the store has been listed
    // and no shutdown has begun.
    bool is_ready() const;

    // Returns the instances that a client in the region should connect to.
    std::vector<instance_record> look_up(const std::string& client_region) const;

    const instance_options& options() const { return m_options; }

private:
    instance(instance_options options, deployment_adapter adapter);

    void create_caller_server();
    void create_control_plane();
    void add_metrics();
    void await_signal();
    void handle_signal(int signal);
    void create_peer_messaging(const boost::asio::any_io_executor& executor);
    void create_peer_clients(const boost::asio::any_io_executor& executor);
    store::watch_mode find_watch_mode() const;
    quota::granter_role find_granter_role(const std::string& workspace, core::instant now) const;
    // Tells the reserve what this instance is for each workspace.
    void update_granter_roles(core::instant now);
    // Takes a token from the reserve of this instance. Grants only while a majority of the fleet is known to
    // report to a collector that this instance hears, so that in a network partition at most one side uses
    // the reserve.
    quota::quota_decision grant_token(const std::string& workspace);
    // Asks the fleet for a token of the workspace. Called on a request thread; the request itself is sent
    // from the control thread.
    boost::asio::awaitable<quota::quota_decision> request_token(std::string workspace);
    // Asks the granter of the endpoint for a token; see token_client::request_endpoint_token(). Called on a
    // request thread.
    boost::asio::awaitable<std::optional<core::duration>> request_endpoint_token(std::string endpoint,
                                                                                 double rate);
    boost::asio::awaitable<void> run_periodic_tasks();
    boost::asio::awaitable<void> stop();
    void join_request_threads();
    instance_record own_record() const;
    quarantine_exchange::hooks make_quarantine_hooks();
    static balancer_options make_balancer_options(const instance_options& options);
    static request_rule_options make_rule_options(const instance_options& options);
    static quota::quota_options make_quota_options(const instance_options& options);

    instance_options m_options;
    deployment_adapter m_deployment;
    boost::asio::io_context m_control_context{1};
    boost::asio::io_context m_request_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_request_work;
    boost::asio::signal_set m_signals;
    burn::metrics_registry m_metrics;
    traffic_state m_state;
    fleet_membership m_membership;
    quota::fleet_quota m_fleet_quota;
    quota::grantable_reserve m_reserve;
    // Used by the control thread only.
    placement::rate_limit_granter m_rate_limit_granter;
    endpoint_balancer m_balancer;
    quarantine_exchange m_quarantine;
    request_rules m_rules;
    std::shared_ptr<upstream::connection_pool> m_pool;
    std::shared_ptr<store::key_value_store> m_store;
    std::shared_ptr<registration> m_registration;
    std::unique_ptr<store_watcher> m_store_watcher;
    std::shared_ptr<demand_exchange> m_demand_exchange;
    std::unique_ptr<token_client> m_token_client;
    std::unique_ptr<confirmation_client> m_confirmation_client;
    std::unique_ptr<load_exchange> m_load_exchange;
    std::shared_ptr<caller::proxy_server> m_caller_server;
    std::vector<std::shared_ptr<http::server>> m_control_servers;
    std::function<void()> m_on_reload;
    std::vector<std::thread> m_request_threads;
};

} // namespace quetzalspan::edge
