// Creates and connects the components of an instance, and shuts it down gracefully.

#include "quetzald/daemon.h"

#include "core/control_signals.h"
#include "core/digest.h"
#include "core/log_event.h"
#include "operator/admin_handler.h"

#include <absl/random/random.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace quetzalspan::quetzald
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds peer_call_timeout(1);
constexpr std::chrono::milliseconds bootstrap_retry_delay(500);
constexpr std::chrono::milliseconds drain_poll_interval(20);
// Longest time that a graceful shutdown waits until its shares are handed over. Shares still held after that
// cannot be used by any instance until the next ledger round.
constexpr std::chrono::seconds hand_over_timeout(5);
// The control loop ticks every 10 ms. If the last tick is older than this, the process needs a restart.
constexpr std::chrono::seconds liveness_timeout(10);

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

core::wall_time current_wall_time()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// Throws std::runtime_error if the member is no longer in the directory.
std::shared_ptr<peer_rpc::peer_client> find_peer_client(const peer_rpc::peer_directory& directory,
                                                        const std::string& member)
{
    std::shared_ptr<peer_rpc::peer_client> client = directory.find(member);
    if (!client) {
        throw std::runtime_error("the member is not known");
    }
    return client;
}

std::uint64_t random_bits()
{
    thread_local absl::InsecureBitGen generator;
    return absl::Uniform<std::uint64_t>(generator);
}

asio::awaitable<void> sleep_for(core::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

node::request_policy_options make_policy_options(const config::settings& settings)
{
    node::request_policy_options options;
    options.max_borrow_wait = settings.borrow_wait;
    options.lookup_ttl = settings.lookup_ttl;
    options.requires_idempotency_key = settings.idempotency == config::idempotency_policy::require;
    return options;
}

caller::proxy_options make_proxy_options(const config::settings& settings)
{
    caller::proxy_options options;
    options.connection_limit = settings.connection_limit;
    options.header_limit_bytes = settings.header_limit_bytes;
    options.body_limit_bytes = settings.body_limit_bytes;
    options.header_timeout = settings.header_timeout;
    options.idle_timeout = settings.idle_timeout;
    options.deadline_limit = settings.request_timeout;
    options.default_deadline = std::min(options.default_deadline, options.deadline_limit);
    options.retry.max_retries = settings.retry_limit;
    options.retry_budget.retries_per_request = settings.retry_budget_fraction;
    return options;
}

store::store_options make_store_options(const config::settings& settings)
{
    store::store_options options;
    for (const config::host_port& address : settings.store_addresses) {
        options.addresses.push_back({address.host, address.port});
    }
    return options;
}

} // namespace

daemon::daemon(const config::settings& settings)
    : m_settings(settings),
      m_control_context(1),
      m_request_context(static_cast<int>(settings.threads)),
      m_signals(m_control_context, SIGTERM, SIGINT),
      m_state(std::make_unique<const std::shared_ptr<const node::published_state>>()),
      m_directory(
          std::make_unique<const steering::entry_directory>(std::vector<steering::directory_candidate>())),
      m_token_wait_queues([this] { m_control_loop->schedule_serving(); }),
      m_endpoint_allocator({}, [this] { m_control_loop->schedule_serving(); }),
      m_policy(make_policy_options(settings), m_state, m_directory, m_token_wait_queues, m_endpoint_allocator,
               m_metrics),
      m_pool(std::make_shared<upstream::connection_pool>(m_request_context.get_executor(),
                                                         upstream::connection_pool_options{}))
{
}

daemon::~daemon()
{
    m_request_context.stop();
    for (std::thread& thread : m_request_threads) {
        thread.join();
    }
}

std::shared_ptr<daemon> daemon::create(const config::settings& settings)
{
    const std::shared_ptr<daemon> result(new daemon(settings));
    result->create_proxy_server();
    result->create_peer_server();
    result->create_admin_server();
    result->create_control_loop();
    result->add_metrics();
    return result;
}

node::node_options daemon::make_node_options() const
{
    node::node_options options;
    options.self.instance = m_settings.instance;
    options.self.availability_zone = m_settings.availability_zone;
    options.self.region = m_settings.region;
    options.self.host = m_settings.host;
    options.self.caller_port = m_proxy_server->port();
    options.self.peer_port = m_peer_server->port();
    options.self.admin_port = m_admin_server->port();
    options.authority.authority_lifetime = m_settings.authority_lifetime;
    options.authority.isolation_limit = m_settings.isolation_limit;
    options.authority.autonomy_limit = m_settings.autonomy_limit;
    options.authority.max_request_duration = m_settings.request_timeout;
    options.heartbeat_interval = m_settings.heartbeat_interval;
    options.lease_time = m_settings.lease_time;
    options.configuration_poll_interval = m_settings.configuration_poll_interval;
    options.max_borrow_wait = m_settings.borrow_wait;
    options.lookup_ttl = m_settings.lookup_ttl;
    return options;
}

void daemon::create_proxy_server()
{
    m_store = std::make_shared<store::store_client>(m_control_context.get_executor(),
                                                    make_store_options(m_settings));
    if (m_settings.idempotency != config::idempotency_policy::pass) {
        m_claims = std::make_unique<node::idempotency_claims>(m_control_context.get_executor(), m_store);
    }
    m_proxy_server = caller::proxy_server::create(m_request_context.get_executor(), m_settings.host,
                                                  m_settings.caller_port, make_proxy_options(m_settings),
                                                  m_policy.hooks(m_claims.get()), m_pool);
}

void daemon::create_peer_server()
{
    m_authenticator = std::make_shared<peer_rpc::message_authenticator>(m_settings.shared_secret);
    peer_rpc::peer_client_options client_options;
    client_options.own_id = m_settings.instance;
    client_options.now = current_wall_time;
    client_options.timeout = peer_call_timeout;
    m_peer_directory = std::make_unique<peer_rpc::peer_directory>(m_control_context.get_executor(),
                                                                  m_authenticator, client_options);

    // The peer server runs on the control thread, so its hooks may call the control loop directly.
    peer_rpc::peer_server_hooks hooks;
    hooks.now = current_wall_time;
    hooks.heartbeat = [this](const peer_rpc::heartbeat& message) {
        return m_control_loop->on_heartbeat(message);
    };
    hooks.get_configuration = [this](const peer_rpc::configuration_request& message) {
        return m_control_loop->on_get_configuration(message);
    };
    hooks.request_share = [this](const allowance::share_request& message) {
        return m_control_loop->on_request_share(message.id.requester, message);
    };
    hooks.acknowledge_grant = [this](const allowance::grant_acknowledgement& message) {
        m_control_loop->on_acknowledge_grant(message.id.requester, message);
    };
    hooks.hand_over = [this](const std::string& sender, const allowance::share_offer& message) {
        return m_control_loop->on_hand_over(sender, message);
    };
    m_peer_handler = peer_rpc::peer_server::create(m_settings.instance, m_authenticator, std::move(hooks));
    m_peer_server =
        http::server::create(m_control_context.get_executor(), m_settings.host, m_settings.peer_port,
                             peer_rpc::peer_server::http_server_options(), m_peer_handler->make_handler());
}

void daemon::create_admin_server()
{
    admin::admin_hooks hooks;
    hooks.status = [this] { return make_status(); };
    hooks.metrics = [this] {
        return m_metrics.to_text() + burn::to_metrics_text(m_burn.report(current_time()));
    };
    hooks.burn = [this] { return m_burn.report(current_time()); };
    hooks.is_ready = [this] { return m_control_loop->is_ready(); };
    hooks.is_live = [this] { return current_time() - m_control_loop->last_tick() < liveness_timeout; };
    m_admin_server =
        http::server::create(m_control_context.get_executor(), m_settings.host, m_settings.admin_port, {},
                             admin::make_admin_handler(std::move(hooks)));
}

void daemon::create_control_loop()
{
    node::control_loop_dependencies dependencies{
        m_store,     m_state, m_directory, m_token_wait_queues, m_endpoint_allocator, m_burn, m_metrics,
        random_bits, nullptr, nullptr};
    m_prober = std::make_unique<node::endpoint_prober>(m_control_context.get_executor(), m_state);
    dependencies.on_published = [this](const std::shared_ptr<const node::published_state>& state) {
        m_prober->set_targets(*state);
    };
    dependencies.on_member_id = [this](const std::string& id) {
        m_peer_handler->set_member_id(id);
        m_peer_directory->set_own_id(id);
    };
    m_control_loop = node::control_loop::create(m_control_context.get_executor(), make_node_options(),
                                                std::move(dependencies), make_peer_calls());
}

node::peer_calls daemon::make_peer_calls()
{
    node::peer_calls calls;
    calls.heartbeat = [this](std::string member,
                             peer_rpc::heartbeat message) -> asio::awaitable<peer_rpc::heartbeat_reply> {
        const std::shared_ptr<peer_rpc::peer_client> client = find_peer_client(*m_peer_directory, member);
        co_return co_await client->send_heartbeat(std::move(message));
    };
    calls.get_configuration =
        [this](std::string member,
               peer_rpc::configuration_request message) -> asio::awaitable<peer_rpc::configuration_reply> {
        const std::shared_ptr<peer_rpc::peer_client> client = find_peer_client(*m_peer_directory, member);
        co_return co_await client->get_configuration(message);
    };
    calls.request_share =
        [this](std::string member,
               allowance::share_request message) -> asio::awaitable<allowance::share_grant> {
        const std::shared_ptr<peer_rpc::peer_client> client = find_peer_client(*m_peer_directory, member);
        co_return co_await client->request_share(std::move(message));
    };
    calls.acknowledge_grant = [this](std::string member,
                                     allowance::grant_acknowledgement message) -> asio::awaitable<void> {
        const std::shared_ptr<peer_rpc::peer_client> client = find_peer_client(*m_peer_directory, member);
        co_await client->acknowledge_grant(std::move(message));
    };
    calls.hand_over =
        [this](std::string member,
               allowance::share_offer message) -> asio::awaitable<allowance::grant_acknowledgement> {
        const std::shared_ptr<peer_rpc::peer_client> client = find_peer_client(*m_peer_directory, member);
        co_return co_await client->hand_over(std::move(message));
    };
    calls.set_members = [this](const std::vector<membership::member>& members) {
        m_peer_directory->update(members);
    };
    return calls;
}

admin::instance_status daemon::make_status() const
{
    const node::control_status current = m_control_loop->status();
    admin::instance_status result;
    result.member = current.member;
    result.instance = m_settings.instance;
    result.availability_zone = m_settings.availability_zone;
    result.region = m_settings.region;
    result.state = membership::member_state_names.name(current.state);
    result.revision = current.revision;
    result.nonce = current.nonce;
    result.older_offers = current.older_offers;
    result.conflicts = current.conflicts;
    result.invalid_offers = current.invalid_offers;
    result.has_authority = current.has_authority;
    result.is_ready = m_control_loop->is_ready();
    result.members = current.members;
    result.round = current.round;
    result.details["settled"] = current.is_settled ? "true" : "false";
    result.details["active_requests"] = std::to_string(m_proxy_server->active_requests());
    for (const allowance::demand_summary& share : current.shares) {
        result.details["share " + share.limit_name] = std::to_string(share.holding.rate_micro) + " " +
                                                      std::to_string(share.holding.burst_micro) + " " +
                                                      std::to_string(share.holding.tokens_micro);
    }
    return result;
}

void daemon::add_metrics()
{
    m_metrics.add_gauge_hook("configuration_revision", "Revision of the configuration in force.", {},
                             [this] { return static_cast<double>(m_control_loop->revision()); });
    m_metrics.add_gauge_hook("ready", "Whether the instance takes requests.", {},
                             [this] { return m_control_loop->is_ready() ? 1.0 : 0.0; });
    m_metrics.add_gauge_hook("active_requests", "Requests under way.", {},
                             [this] { return static_cast<double>(m_proxy_server->active_requests()); });
    m_metrics.add_gauge_hook("caller_connections", "Open connections of callers.", {},
                             [this] { return static_cast<double>(m_proxy_server->connections()); });
    m_metrics.add_gauge_hook("waiting_for_tokens", "Requests that wait for tokens.", {},
                             [this] { return static_cast<double>(m_token_wait_queues.waiting_count()); });
    m_metrics.add_gauge_hook("waiting_for_endpoints", "Requests that wait for an endpoint.", {},
                             [this] { return static_cast<double>(m_endpoint_allocator.waiting_count()); });
    m_metrics.add_counter_hook("store_calls_total", "Calls to the platform's store.", {},
                               [this] { return static_cast<double>(m_store->statistics().calls); });
    m_metrics.add_counter_hook("store_failed_calls_total", "Calls to the platform's store that failed.", {},
                               [this] { return static_cast<double>(m_store->statistics().failed_calls); });
    m_metrics.add_counter_hook("peer_messages_total", "Messages from peers.", {},
                               [this] { return static_cast<double>(m_peer_handler->statistics().messages); });
    m_metrics.add_counter_hook("peer_messages_rejected_total", "Messages from peers that were not accepted.",
                               {},
                               [this] { return static_cast<double>(m_peer_handler->statistics().rejected); });
}

asio::awaitable<void> daemon::request_configuration_from_peers()
{
    while (m_control_loop->revision() == 0 && !m_settings.seed_peers.empty()) {
        for (const config::host_port& address : m_settings.seed_peers) {
            try {
                peer_rpc::peer_client_options options;
                options.own_id = m_settings.instance;
                options.now = current_wall_time;
                options.timeout = peer_call_timeout;
                const peer_rpc::peer_address peer{std::string(peer_rpc::any_receiver), address.host,
                                                  address.port};
                peer_rpc::peer_client client(m_control_context.get_executor(), peer, m_authenticator,
                                             options);
                const peer_rpc::configuration_reply reply = co_await client.get_configuration({0});
                if (!reply.document.empty()) {
                    m_control_loop->handle_configuration_offer(reply.document, address.host);
                }
            } catch (const std::exception& error) {
                core::debug_event("bootstrap_failed").with("peer", address.host).with("error", error.what());
            }
        }
        co_await sleep_for(bootstrap_retry_delay);
    }
}

void daemon::wait_for_stop_signal()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        core::info_event("stop_requested").with("signal", signal);
        asio::co_spawn(
            m_control_context, [this] { return stop(); }, asio::detached);
    });
}

asio::awaitable<void> daemon::stop()
{
    // The instance leaves the lookups first. Peers learn of it from the next heartbeat, of which one may be
    // lost, hence two intervals. Callers cache lookup responses for their time to live.
    m_control_loop->begin_leaving();
    co_await sleep_for(m_settings.lookup_ttl + 2 * m_settings.heartbeat_interval);
    std::atomic<bool> is_idle{false};
    m_proxy_server->drain([&is_idle] { is_idle = true; });
    while (!is_idle) {
        co_await sleep_for(drain_poll_interval);
    }
    co_await m_control_loop->leave(hand_over_timeout);
    core::info_event("stopped").with("instance", m_settings.instance);
    m_request_context.stop();
    m_control_context.stop();
}

int daemon::run()
{
    wait_for_stop_signal();
    core::unblock_control_signals();
    m_peer_server->start();
    m_admin_server->start();
    m_control_loop->start();
    m_proxy_server->start();
    asio::co_spawn(
        m_control_context, [this] { return request_configuration_from_peers(); }, asio::detached);
    if (m_claims) {
        asio::co_spawn(m_control_context, m_claims->maintain_lease(), asio::detached);
    }
    core::info_event("started")
        .with("instance", m_settings.instance)
        .with("caller_port", m_proxy_server->port())
        .with("fellow_port", m_peer_server->port())
        .with("admin_port", m_admin_server->port());
    for (std::uint32_t index = 0; index < m_settings.threads; ++index) {
        m_request_threads.emplace_back([this] { m_request_context.run(); });
    }
    m_control_context.run();
    return 0;
}

} // namespace quetzalspan::quetzald
