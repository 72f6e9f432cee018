// Creates the components of an edge instance, connects their hooks, runs the periodic tasks and carries out
// the graceful shutdown.

#include "edge/instance.h"

#include "core/control_signals.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::edge
{

namespace asio = boost::asio;

namespace
{

constexpr core::duration periodic_task_interval = std::chrono::milliseconds(200);
constexpr core::duration maintenance_interval = std::chrono::seconds(1);
constexpr core::duration stop_poll_interval = std::chrono::milliseconds(20);
// Part of the shutdown time that is kept for removing the instance's record and ending the process.
constexpr core::duration shutdown_reserve = std::chrono::milliseconds(250);

// Endpoints close idle connections after several seconds. The pool closes a connection well before that, so
// that a request is seldom written to a connection that the endpoint is just closing.
constexpr core::duration idle_connection_lifetime = std::chrono::seconds(5);
// A connection opens within two round trips of about 25 ms each. A lost packet is retransmitted only after
// one second, which is not worth waiting for.
constexpr core::duration endpoint_connect_timeout = std::chrono::milliseconds(250);
// Larger than usual responses. A longer response is streamed to the caller as it arrives.
constexpr std::size_t response_buffer_bytes = 256 * 1024;

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

// A shorter difference can come from a pause of the process between the readings of the two clocks.
constexpr core::duration min_suspension = std::chrono::milliseconds(100);

// Returns how long the machine has been suspended since it was booted, plus a constant.
core::duration find_suspended_time()
{
    return core::boot_clock::now().time_since_epoch() - current_time().time_since_epoch();
}

asio::awaitable<void> sleep_for(core::duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

balancer_options instance::make_balancer_options(const instance_options& options)
{
    balancer_options result;
    result.own_region = options.region;
    result.cold_rate_factor = options.cold_rate_factor;
    result.cold_rate_slack = options.cold_rate_slack;
    return result;
}

request_rule_options instance::make_rule_options(const instance_options& options)
{
    request_rule_options result;
    result.max_configuration_age_for_keys = options.max_configuration_age_for_keys;
    result.max_configuration_age_for_denials = options.max_configuration_age_for_denials;
    result.retry_budget_fraction = options.retry_budget_fraction;
    result.retry_budget_slack = options.retry_budget_slack;
    return result;
}

quota::quota_options instance::make_quota_options(const instance_options& options)
{
    quota::quota_options result;
    result.window = options.quota_window;
    result.tolerated_excess_fraction = options.quota_tolerated_excess_fraction;
    result.tolerated_excess_requests = options.quota_tolerated_excess_requests;
    result.first_report_sequence = demand_exchange::make_start_sequence();
    return result;
}

instance::instance(instance_options options, deployment_adapter adapter)
    : m_options(std::move(options)),
      m_deployment(std::move(adapter)),
      m_request_context(static_cast<int>(m_options.request_thread_count)),
      m_request_work(m_request_context.get_executor()),
      m_signals(m_control_context, SIGTERM, SIGINT, SIGHUP),
      m_membership({m_options.instance, m_options.peer_timeout}),
      m_fleet_quota(make_quota_options(m_options)),
      m_reserve(make_quota_options(m_options)),
      m_balancer(
          make_balancer_options(m_options), [this] { return m_membership.view(); }, m_metrics),
      m_quarantine(m_control_context.get_executor(), m_options.instance, {}, make_quarantine_hooks(),
                   m_metrics),
      m_rules(
          make_rule_options(m_options), m_state, m_balancer, m_fleet_quota, m_quarantine,
          [this](std::string workspace) { return request_token(std::move(workspace)); },
          [this](std::string endpoint, double rate) {
              return request_endpoint_token(std::move(endpoint), rate);
          },
          [this] { return m_membership.size(); }, m_metrics)
{
}

instance::~instance()
{
    join_request_threads();
}

void instance::join_request_threads()
{
    m_request_context.stop();
    for (std::thread& thread : m_request_threads) {
        thread.join();
    }
    m_request_threads.clear();
}

std::shared_ptr<instance> instance::create(instance_options options, deployment_adapter adapter)
{
    const std::shared_ptr<instance> result(new instance(std::move(options), std::move(adapter)));
    result->create_caller_server();
    result->create_control_plane();
    result->add_metrics();
    return result;
}

void instance::create_caller_server()
{
    upstream::connection_pool_options pool_options;
    pool_options.idle_lifetime = idle_connection_lifetime;
    m_pool = std::make_shared<upstream::connection_pool>(m_request_context.get_executor(), pool_options);
    m_balancer.set_idle_connection_hook(
        [this](const placement::endpoint& target, core::instant opened_until) {
            return m_pool->has_idle({asio::ip::make_address(target.record.host), target.record.port},
                                    opened_until);
        });
    caller::proxy_options options;
    options.profile = m_deployment.profile;
    options.connect_timeout = endpoint_connect_timeout;
    options.response_buffer_bytes = response_buffer_bytes;
    options.drain_linger = m_options.shutdown_linger;
    options.lookup_path.clear();
    m_caller_server =
        caller::proxy_server::create(m_request_context.get_executor(), m_options.caller_address.host,
                                     m_options.caller_address.port, options, m_rules.hooks(), m_pool);
}

instance_record instance::own_record() const
{
    instance_record result;
    result.instance = m_options.instance;
    result.availability_zone = m_options.availability_zone;
    result.region = m_options.region;
    result.caller_address = m_options.caller_address;
    result.peer_address = m_options.peer_address;
    result.phase = m_state.is_stopping ? instance_phase::leaving : instance_phase::serving;
    return result;
}

void instance::create_control_plane()
{
    const asio::any_io_executor executor = m_control_context.get_executor();
    m_store = m_deployment.create_store(executor);
    m_registration = registration::create(
        executor, m_store, own_record(),
        {m_options.lease_time, m_options.lease_renewal_interval, m_options.store_retry_pause});
    m_registration->set_lease_renewed_handler(
        [this](core::boot_instant until) { m_state.confirm_membership(until); });
    m_registration->set_lease_lost_handler([this] {
        m_fleet_quota.discard_tokens(current_time());
        m_reserve.discard_tokens(current_time());
    });
    store_watch_targets targets{
        m_state, m_balancer, m_membership, m_fleet_quota, m_reserve, *m_registration, {}, {}, {}};
    targets.watch_mode = [this] { return find_watch_mode(); };
    targets.ask_peer = [this] { return m_confirmation_client->ask(); };
    targets.on_configured = [this] { core::info_event("ready").with("instance", m_options.instance); };
    m_store_watcher =
        std::make_unique<store_watcher>(executor, m_store, m_deployment, m_options, std::move(targets));
    create_peer_messaging(executor);
}

void instance::create_peer_messaging(const asio::any_io_executor& executor)
{
    demand_exchange::hooks hooks;
    hooks.collectors = [this] { return m_membership.collectors(current_time()); };
    hooks.is_member = [this](const std::string& name) { return m_membership.is_member(name); };
    hooks.make_report = [this] { return m_fleet_quota.make_report(current_time()); };
    hooks.silent_instances = [this] { return m_membership.silent_senders(current_time()); };
    hooks.on_message = [this](const std::string& name) {
        m_membership.record_message_from(name, current_time());
    };
    hooks.on_sums = [this](const demand_sums_message& message) {
        const core::instant now = current_time();
        m_fleet_quota.record_sums(message.instance, message.sums, now);
        if (message.instance != m_options.instance &&
            m_membership.record_silence_report(message.instance, message.silent, now)) {
            core::info_event("silent_instances_reported")
                .with("collector", message.instance)
                .with("silent", message.silent.size())
                .with("reporters", message.sums.reporter_count);
        }
    };
    hooks.grant = [this](const std::string& workspace) { return grant_token(workspace); };
    hooks.grant_endpoint_token = [this](const std::string& endpoint, double rate) {
        return m_rate_limit_granter.take(endpoint, rate, current_time());
    };
    hooks.on_token_answer = [this](const token_answer_message& answer) {
        m_token_client->handle_answer(answer);
    };
    hooks.confirm_copy = [this] { return m_store_watcher->confirmation(); };
    hooks.on_confirmation = [this](const confirmation_message& answer) {
        m_confirmation_client->handle_answer(answer);
    };
    hooks.on_endpoint_end = [this](const endpoint_end_message& message) {
        m_quarantine.handle_end(message, current_time());
    };
    hooks.on_quarantine = [this](const quarantine_message& message) {
        m_quarantine.handle_notice(message, current_time());
    };
    hooks.on_endpoint_loads = [this](const endpoint_loads_message& message) {
        m_load_exchange->handle_message(message, current_time());
    };
    m_demand_exchange = demand_exchange::create(executor, m_options.instance, m_options.peer_address,
                                                m_options.demand_interval, std::move(hooks));
    create_peer_clients(executor);
}

void instance::create_peer_clients(const asio::any_io_executor& executor)
{
    token_client::hooks token_hooks;
    token_hooks.granters = [this](const std::string& workspace) {
        return m_membership.granters(workspace, current_time());
    };
    token_hooks.send = [this](const instance_record& target, const std::string& text) {
        return m_demand_exchange->send(target, text);
    };
    token_hooks.grant = [this](const std::string& workspace) { return grant_token(workspace); };
    token_hooks.endpoint_granter = [this](const std::string& endpoint) {
        return m_membership.find_endpoint_granter(endpoint);
    };
    token_hooks.grant_endpoint_token = [this](const std::string& endpoint, double rate) {
        return m_rate_limit_granter.take(endpoint, rate, current_time());
    };
    m_token_client = std::make_unique<token_client>(executor, m_options.instance, std::move(token_hooks));

    load_exchange::hooks load_hooks;
    load_hooks.is_needed = [this] { return m_balancer.is_load_shared(); };
    load_hooks.take_own_loads = [this](core::instant now) { return m_balancer.take_unshared_loads(now); };
    load_hooks.apply = [this](const load_collector::loads& loads, core::instant now) {
        m_balancer.apply_shared_loads(loads, now);
    };
    load_hooks.collectors = [this](core::instant now) { return m_membership.find_load_collectors(now); };
    load_hooks.zone_members = [this] { return m_membership.others_in_zone(m_options.availability_zone); };
    load_hooks.send = [this](const instance_record& target, const std::string& text) {
        return m_demand_exchange->send(target, text);
    };
    m_load_exchange = std::make_unique<load_exchange>(
        executor, m_options.instance, m_options.availability_zone, std::move(load_hooks), m_metrics);

    confirmation_client::hooks confirmation_hooks;
    confirmation_hooks.relay = [this] {
        return m_membership.find_relay(m_options.region, current_time()).other;
    };
    confirmation_hooks.send = [this](const instance_record& target, const std::string& text) {
        return m_demand_exchange->send(target, text);
    };
    m_confirmation_client =
        std::make_unique<confirmation_client>(executor, m_options.instance, std::move(confirmation_hooks));
}

quarantine_exchange::hooks instance::make_quarantine_hooks()
{
    quarantine_exchange::hooks result;
    result.coordinators = [this](const std::string& key) {
        return m_membership.granters(key, current_time());
    };
    result.others = [this] { return m_membership.others(); };
    result.send = [this](const instance_record& target, const std::string& text) {
        return m_demand_exchange->send(target, text);
    };
    return result;
}

store::watch_mode instance::find_watch_mode() const
{
    const designated_instance relay = m_membership.find_relay(m_options.region, current_time());
    if (relay.is_own) {
        return store::watch_mode::serving;
    }
    return relay.other ? store::watch_mode::asking : store::watch_mode::own;
}

quota::granter_role instance::find_granter_role(const std::string& workspace, core::instant now) const
{
    const std::vector<std::optional<instance_record>> granters = m_membership.granters(workspace, now);
    if (!granters.empty() && !granters.front()) {
        return quota::granter_role::primary;
    }
    return granters.size() > 1 && !granters[1] ? quota::granter_role::secondary : quota::granter_role::none;
}

void instance::update_granter_roles(core::instant now)
{
    for (const std::string& workspace : m_reserve.workspaces()) {
        m_reserve.set_role(workspace, find_granter_role(workspace, now), now);
    }
}

quota::quota_decision instance::grant_token(const std::string& workspace)
{
    const core::instant now = current_time();
    if (!m_state.is_member(core::boot_clock::now()) ||
        2 * m_fleet_quota.reporter_count(now) <= m_membership.size()) {
        return {};
    }
    m_reserve.set_role(workspace, find_granter_role(workspace, now), now);
    return m_reserve.grant(workspace, now);
}

void instance::add_control_server(const socket_address& address, http::request_handler handler)
{
    const std::shared_ptr<http::server> server = http::server::create(
        m_control_context.get_executor(), address.host, address.port, {}, std::move(handler));
    server->start();
    m_control_servers.push_back(server);
}

void instance::add_metrics()
{
    m_metrics.add_gauge_hook("configuration_version", "Version of the configuration in force.", {}, [this] {
        const route_table_pointer table = m_state.table();
        return table ? static_cast<double>(table->version()) : 0.0;
    });
    m_metrics.add_gauge_hook("ready", "Whether the instance takes requests.", {},
                             [this] { return is_ready() ? 1.0 : 0.0; });
    m_metrics.add_gauge_hook("active_requests", "Requests under way.", {},
                             [this] { return static_cast<double>(m_caller_server->active_requests()); });
    m_metrics.add_gauge_hook("caller_connections", "Open connections of callers.", {},
                             [this] { return static_cast<double>(m_caller_server->connections()); });
    m_metrics.add_gauge_hook("known_endpoints", "Endpoints that discovery has named.", {},
                             [this] { return static_cast<double>(m_balancer.size()); });
    m_metrics.add_gauge_hook("known_instances", "Instances of the fleet, this one included.", {},
                             [this] { return static_cast<double>(m_membership.size()); });
    m_metrics.add_counter_hook("upstream_connections_total", "Connections opened to endpoints.", {},
                               [this] { return static_cast<double>(m_pool->created_connections()); });
    if (m_options.metrics_address.port != 0) {
        add_control_server(m_options.metrics_address,
                           [this](http::request) -> asio::awaitable<http::response> {
                               http::response answer;
                               answer.content_type = "text/plain; version=0.0.4";
                               answer.body = m_metrics.to_text();
                               co_return answer;
                           });
    }
}

bool instance::is_ready() const
{
    return !m_state.is_stopping && m_state.table() != nullptr && m_store_watcher->has_listed();
}

std::vector<instance_record> instance::look_up(const std::string& client_region) const
{
    return m_membership.look_up(client_region, own_record(), current_time());
}

void instance::await_signal()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (!error) {
            handle_signal(signal);
            await_signal();
        }
    });
}

void instance::handle_signal(int signal)
{
    if (signal == SIGHUP) {
        core::info_event("reload_requested").with("signal", signal);
        if (m_on_reload) {
            m_on_reload();
        }
        return;
    }
    if (m_state.is_stopping.exchange(true)) {
        return;
    }
    core::info_event("stop_requested").with("signal", signal);
    asio::co_spawn(
        m_control_context, [this] { return stop(); },
        [](const std::exception_ptr& thrown) { core::log_task_failure("stop", thrown); });
}

asio::awaitable<quota::quota_decision> instance::request_token(std::string workspace)
{
    // Answered on the request's own thread, because a workspace far above its limit is rejected thousands of
    // times a second.
    if (const std::optional<core::duration> pause = m_token_client->find_pause(workspace, current_time())) {
        quota::quota_decision rejected;
        rejected.retry_after = *pause;
        co_return rejected;
    }
    const quota::quota_decision result = co_await asio::co_spawn(
        m_control_context, m_token_client->request_token(std::move(workspace)), asio::use_awaitable);
    co_return result;
}

asio::awaitable<std::optional<core::duration>> instance::request_endpoint_token(std::string endpoint,
                                                                                double rate)
{
    const std::optional<core::duration> result = co_await asio::co_spawn(
        m_control_context, m_token_client->request_endpoint_token(std::move(endpoint), rate),
        asio::use_awaitable);
    co_return result;
}

asio::awaitable<void> instance::run_periodic_tasks()
{
    core::instant maintained_at = current_time();
    core::duration suspended_time = find_suspended_time();
    while (true) {
        co_await sleep_for(periodic_task_interval);
        const core::instant now = current_time();
        const core::duration suspension = find_suspended_time() - suspended_time;
        if (suspension >= min_suspension) {
            suspended_time += suspension;
            m_balancer.record_suspension(suspension);
        }
        m_balancer.update_periodically(now);
        m_fleet_quota.rebalance(now);
        if (now - maintained_at >= maintenance_interval) {
            maintained_at = now;
            m_pool->close_expired(now);
            update_granter_roles(now);
            m_rate_limit_granter.remove_idle(now);
            m_quarantine.repeat_notices(now);
        }
    }
}

asio::awaitable<void> instance::stop()
{
    const core::instant stop_start = current_time();
    m_registration->set_phase(instance_phase::leaving);
    m_caller_server->send_connection_close();
    const core::instant end = stop_start + m_options.shutdown_timeout - shutdown_reserve;
    co_await sleep_for(std::min(m_options.shutdown_long_request_delay, m_options.shutdown_reject_delay));
    m_state.set_last_deadline(end);
    co_await sleep_for(stop_start + m_options.shutdown_reject_delay - current_time());
    m_state.is_rejecting_requests = true;
    core::info_event("refusing_new_requests").with("active", m_caller_server->active_requests());
    co_await sleep_for(stop_start + m_options.shutdown_drain_delay - current_time());
    std::atomic<bool> is_idle{false};
    m_caller_server->drain([&is_idle] { is_idle = true; });
    while (!is_idle && current_time() < end) {
        co_await sleep_for(stop_poll_interval);
    }
    if (!is_idle) {
        core::warning_event("requests_cut").with("active", m_caller_server->active_requests());
    }
    m_store_watcher->stop();
    m_demand_exchange->stop();
    co_await m_registration->withdraw();
    core::info_event("stopped").with("instance", m_options.instance);
    m_request_context.stop();
    m_control_context.stop();
}

int instance::run()
{
    await_signal();
    core::unblock_control_signals();
    m_registration->start();
    m_store_watcher->start();
    m_demand_exchange->start();
    m_caller_server->start();
    asio::co_spawn(
        m_control_context, [this] { return run_periodic_tasks(); },
        [](const std::exception_ptr& thrown) { core::log_task_failure("tick", thrown); });
    asio::co_spawn(
        m_control_context, [this] { return m_load_exchange->run(); },
        [](const std::exception_ptr& thrown) { core::log_task_failure("load_exchange", thrown); });
    core::info_event("started")
        .with("instance", m_options.instance)
        .with("region", m_options.region)
        .with("availability_zone", m_options.availability_zone)
        .with("callers", m_options.caller_address.host + ":" + std::to_string(m_options.caller_address.port));
    for (std::uint32_t index = 0; index < m_options.request_thread_count; ++index) {
        m_request_threads.emplace_back([this] { m_request_context.run(); });
    }
    m_control_context.run();
    join_request_threads();
    return 0;
}

} // namespace quetzalspan::edge
