// Joins and leaves the membership, runs the periodic control work and publishes the state for requests. The
// messages with peers and the store are in control_loop_messages.cpp.

#include "node/control_loop.h"

#include "core/digest.h"
#include "core/log_event.h"
#include "node/fleet_limits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t incarnation_id_bytes = 4;
// Waiting requests and the accrual of tokens need a short interval. Rebalancing of shares has its own, longer
// interval.
constexpr std::chrono::milliseconds tick_interval(10);
constexpr std::chrono::seconds collection_interval(1);
constexpr std::chrono::milliseconds join_retry_delay(300);
constexpr std::chrono::milliseconds leave_poll_interval(20);

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

asio::awaitable<void> sleep_for(core::duration delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

control_loop::control_loop(asio::any_io_executor strand, node_options options,
                           control_loop_dependencies dependencies, peer_calls peers)
    : m_strand(std::move(strand)),
      m_options(std::move(options)),
      m_dependencies(std::move(dependencies)),
      m_peers(std::move(peers)),
      m_configuration({m_options.self.availability_zone, m_options.self.region}),
      m_store_executor(m_dependencies.store)
{
}

std::shared_ptr<control_loop> control_loop::create(asio::any_io_executor strand, node_options options,
                                                   control_loop_dependencies dependencies, peer_calls peers)
{
    return std::shared_ptr<control_loop>(
        new control_loop(std::move(strand), std::move(options), std::move(dependencies), std::move(peers)));
}

void control_loop::spawn(std::function<asio::awaitable<void>()> work, const char* step)
{
    const std::shared_ptr<control_loop> self = shared_from_this();
    asio::co_spawn(
        m_strand,
        [self, work = std::move(work), step]() -> asio::awaitable<void> {
            try {
                co_await work();
            } catch (const std::exception& error) {
                core::debug_event("control_step_failed").with("step", step).with("error", error.what());
            }
        },
        asio::detached);
}

void control_loop::start()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->start_configuration_source();
        self->spawn([self] { return self->join(); }, "join");
        self->spawn([self] { return self->run_ticks(); }, "tick");
        self->spawn([self] { return self->run_heartbeats(); }, "heartbeat");
        self->spawn([self] { return self->run_collection(); }, "collection");
    });
}

void control_loop::start_configuration_source()
{
    const std::weak_ptr<control_loop> weak = weak_from_this();
    store::configuration_options options;
    options.read_interval = m_options.configuration_poll_interval;
    store::configuration_hooks hooks;
    hooks.on_new_configuration = [weak](const config::configuration& offered, const std::string& document) {
        const std::shared_ptr<control_loop> self = weak.lock();
        if (self && self->m_configuration.offer(offered, document, "platform", current_time())) {
            self->apply_configuration();
        }
    };
    hooks.on_regression = [](std::uint64_t offered, std::uint64_t known) {
        core::warning_event("configuration_regressed").with("offered", offered).with("known", known);
    };
    hooks.on_invalid = [](const std::string& found) {
        core::error_event("configuration_rejected").with("source", "platform").with("findings", found);
    };
    m_configuration_source =
        store::configuration_source::create(m_strand, m_dependencies.store, options, std::move(hooks));
    m_configuration_source->start();
}

// Joining the membership.

asio::awaitable<void> control_loop::read_before_joining(membership::member& record)
{
    while (true) {
        try {
            const membership::member_list list = co_await m_store_executor.read_members();
            const allowance::round_observation round = co_await m_store_executor.read_round();
            record.membership_revision_seen = list.revision;
            record.joined_round = round.record ? round.record->number : 0;
            co_return;
        } catch (const std::exception& error) {
            core::debug_event("join_waits").with("error", error.what());
        }
        co_await sleep_for(join_retry_delay);
    }
}

asio::awaitable<void> control_loop::join()
{
    const std::uint64_t generation = ++m_generation;
    m_manager.reset();
    m_is_ready = false;
    membership::member record = m_options.self;
    record.id = record.instance + "." + core::random_hex(incarnation_id_bytes);
    co_await read_before_joining(record);
    if (generation != m_generation || m_is_leaving) {
        co_return;
    }
    m_self = record;
    if (m_dependencies.on_member_id) {
        m_dependencies.on_member_id(record.id);
    }

    store::registration_options options;
    options.lease_time = m_options.lease_time;
    // A third of the authority lifetime, so that two renewals may fail before authority ends.
    options.renewal_interval = m_options.authority.authority_lifetime / 3;
    store::registration_hooks hooks;
    const std::weak_ptr<control_loop> weak = weak_from_this();
    hooks.now = [] { return current_time(); };
    hooks.on_joined = [weak, record, generation](std::uint64_t revision) {
        const std::shared_ptr<control_loop> self = weak.lock();
        if (self && self->m_generation == generation) {
            self->on_joined(record, revision);
        }
    };
    hooks.on_confirmed = [weak, generation](core::instant sent) {
        const std::shared_ptr<control_loop> self = weak.lock();
        if (self && self->m_generation == generation && self->m_manager) {
            self->m_manager->authority().record_store_confirmation(sent);
        }
    };
    hooks.on_fenced = [weak, generation](store::fence_reason reason) {
        const std::shared_ptr<control_loop> self = weak.lock();
        if (self && self->m_generation == generation) {
            self->on_fenced(reason);
        }
    };
    m_registration =
        store::member_registration::create(m_strand, m_dependencies.store, record, options, std::move(hooks));
    m_registration->start();
}

void control_loop::on_joined(membership::member record, std::uint64_t revision)
{
    record.joined_revision = revision;
    m_self = record;
    allowance::share_manager_settings settings;
    settings.authority = m_options.authority;
    settings.urgent_reservation_time = m_options.max_borrow_wait;
    m_announced_summaries.clear();
    m_heartbeats_until_complete = 0;
    m_manager = std::make_unique<allowance::share_manager>(settings, record, current_time());
    core::info_event("joined").with("member", record.id).with("round", record.joined_round);
    apply_configuration();
}

void control_loop::on_fenced(store::fence_reason reason)
{
    core::warning_event("fenced")
        .with("member", m_self.id)
        .with("cause", store::fence_reason_names.name(reason));
    if (m_manager) {
        m_manager->on_member_record_missing();
    }
    rejoin();
}

void control_loop::rejoin()
{
    if (m_registration) {
        m_registration->stop();
    }
    m_is_ready = false;
    if (m_is_leaving) {
        return;
    }
    // The join is posted, since the caller may be inside the share manager that joining replaces.
    const std::shared_ptr<control_loop> self = shared_from_this();
    spawn([self] { return self->join(); }, "join");
}

// Publication of the configuration, the shares and the instance directory.

void control_loop::apply_configuration()
{
    if (!m_configuration.current()) {
        return;
    }
    m_revision = m_configuration.revision();
    m_configuration_source->raise_known_revision(m_configuration.revision());
    if (!m_manager) {
        return;
    }
    m_manager->apply_limits(compute_fleet_limits(*m_configuration.current()), current_time());
    publish();
}

void control_loop::publish()
{
    published_state::dependencies dependencies{
        m_configuration.routing(), m_manager->shares(), m_manager->shared_authority(),
        [this](const std::string& workspace, const steering::compiled_service& service) {
            burn::service_objective objective;
            if (service.objective) {
                objective.target = service.objective->target;
                objective.latency = std::chrono::milliseconds(service.objective->latency_milliseconds);
            }
            return m_dependencies.burn.series(workspace, service.name, objective);
        },
        m_dependencies.random};
    const std::shared_ptr<const published_state> next = published_state::create(std::move(dependencies));
    m_dependencies.state.publish(std::make_unique<const std::shared_ptr<const published_state>>(next));
    if (m_dependencies.on_published) {
        m_dependencies.on_published(next);
    }
}

void control_loop::publish_directory()
{
    if (!m_manager) {
        return;
    }
    const core::instant now = current_time();
    std::vector<steering::directory_candidate> candidates;
    steering::directory_candidate own_candidate{m_self, true, 1};
    own_candidate.member.state =
        m_is_leaving ? membership::member_state::leaving : membership::member_state::serving;
    candidates.push_back(own_candidate);
    for (const auto& [id, member] : m_manager->member_tracker().entries()) {
        if (id == m_self.id) {
            continue;
        }
        steering::directory_candidate peer{member.record,
                                           m_manager->member_tracker().has_recent_heartbeat(id, now), 1};
        if (m_leaving_peers.contains(id)) {
            peer.member.state = membership::member_state::leaving;
        }
        candidates.push_back(std::move(peer));
    }
    m_dependencies.directory.publish(std::make_unique<const steering::entry_directory>(candidates));
}

void control_loop::record_peer_state(const membership::member& peer)
{
    if (peer.state == membership::member_state::leaving && m_leaving_peers.insert(peer.id).second) {
        publish_directory();
    }
}

// Periodic work.

asio::awaitable<void> control_loop::run_ticks()
{
    while (true) {
        tick();
        co_await sleep_for(tick_interval);
    }
}

void control_loop::tick()
{
    const core::instant now = current_time();
    m_last_tick = now.time_since_epoch().count();
    if (!m_manager) {
        return;
    }
    execute_actions(m_manager->tick(now));
    serve_waiting_requests();
    update_readiness(now);
}

void control_loop::update_readiness(core::instant now)
{
    m_is_ready = m_manager && m_configuration.current() && !m_is_leaving && m_manager->is_settled() &&
                 m_manager->authority().has_authority(now);
}

void control_loop::schedule_serving()
{
    asio::post(m_strand, [self = shared_from_this()] {
        if (!self->m_is_serving_scheduled) {
            self->m_is_serving_scheduled = true;
            asio::post(self->m_strand, [self] {
                self->m_is_serving_scheduled = false;
                self->serve_waiting_requests();
            });
        }
    });
}

void control_loop::serve_waiting_requests()
{
    if (!m_manager) {
        return;
    }
    const core::instant now = current_time();
    for (const token_wait_queues::shortage& missing : m_dependencies.tokens.serve()) {
        execute_actions(m_manager->request_urgently(missing.limit, missing.micro_tokens, now));
    }
    for (const endpoint_allocator::shortage& missing : m_dependencies.endpoints.serve()) {
        execute_actions(m_manager->request_urgently(missing.limit, missing.micro_tokens, now));
    }
}

asio::awaitable<void> control_loop::run_collection()
{
    while (true) {
        m_dependencies.burn.collect(current_time());
        publish_directory();
        co_await sleep_for(collection_interval);
    }
}

// Planned stop and status.

void control_loop::begin_leaving()
{
    m_is_leaving = true;
    m_is_ready = false;
    if (m_registration) {
        m_registration->set_state(membership::member_state::leaving);
    }
    publish_directory();
    core::info_event("leaving").with("member", m_self.id);
}

asio::awaitable<void> control_loop::leave(core::duration timeout)
{
    const core::instant deadline = current_time() + timeout;
    if (m_manager) {
        m_manager->begin_leaving();
        while (!m_manager->is_drained() && current_time() < deadline) {
            co_await sleep_for(leave_poll_interval);
        }
        core::info_event("shares_handed_over")
            .with("member", m_self.id)
            .with("complete", m_manager->is_drained());
    }
    m_configuration_source->stop();
    if (m_registration) {
        const bool is_removed = co_await m_registration->leave();
        core::info_event("left").with("member", m_self.id).with("record_removed", is_removed);
    }
}

control_status control_loop::status() const
{
    const core::instant now = current_time();
    control_status result;
    result.member = m_self.id;
    result.state = m_is_leaving ? membership::member_state::leaving : membership::member_state::serving;
    result.revision = m_configuration.revision();
    result.nonce = m_configuration.tracker().revisions().nonce();
    result.older_offers = m_configuration.tracker().revisions().older_offers();
    result.conflicts = m_configuration.tracker().revisions().conflicts();
    result.invalid_offers = m_configuration.tracker().invalid_offers();
    if (m_manager) {
        result.has_joined = true;
        result.round = m_manager->round();
        result.has_authority = m_manager->shared_authority()->has_authority(now);
        result.is_settled = m_manager->is_settled();
        result.members = m_manager->member_tracker().entries().size();
        result.shares = m_manager->demand_summaries();
    }
    return result;
}

} // namespace quetzalspan::node
