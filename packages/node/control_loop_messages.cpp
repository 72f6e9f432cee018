// The part of control_loop that exchanges heartbeats, configurations and shares with peers, and that performs
// the store reads and writes of the share manager.

#include "core/log_event.h"
#include "http/client.h"
#include "node/control_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace quetzalspan::node
{

namespace asio = boost::asio;

namespace
{

// A heartbeat reports every limit each 5 s with the usual interval, in case a report of a change was lost or
// a peer has joined since. The reports are hints for rebalancing; no limit depends on them.
constexpr std::uint32_t heartbeats_per_complete_report = 10;

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

// Returns whether peers would decide differently on the newer summary: the rate or the burst of the holding
// has changed, or its tokens or the demand have changed by more than a tenth.
bool is_significantly_different(const allowance::demand_summary& newer,
                                const allowance::demand_summary& older)
{
    constexpr std::int64_t tolerance_divisor = 10;
    const auto exceeds_tolerance = [](std::int64_t left, std::int64_t right) {
        return std::abs(left - right) * tolerance_divisor > std::max(std::abs(left), std::abs(right));
    };
    return newer.holding.rate_micro != older.holding.rate_micro ||
           newer.holding.burst_micro != older.holding.burst_micro ||
           exceeds_tolerance(newer.holding.tokens_micro, older.holding.tokens_micro) ||
           exceeds_tolerance(newer.demand_micro, older.demand_micro);
}

} // namespace

peer_rpc::heartbeat control_loop::create_heartbeat(core::instant now) const
{
    peer_rpc::heartbeat message;
    message.sender = m_self;
    message.sender.state =
        m_is_leaving ? membership::member_state::leaving : membership::member_state::serving;
    message.configuration_revision = m_configuration.revision();
    if (m_manager) {
        message.round = m_manager->round();
        const core::instant confirmed = m_manager->shared_authority()->last_store_confirmation();
        message.is_confirmed_by_store =
            confirmed != core::instant::min() && now - confirmed < m_options.authority.authority_lifetime;
    }
    return message;
}

void control_loop::prepare_heartbeat(core::instant now)
{
    m_heartbeat = create_heartbeat(now);
    const std::vector<allowance::demand_summary> current = m_manager->demand_summaries();
    m_heartbeat.is_complete = m_heartbeats_until_complete == 0;
    if (m_heartbeat.is_complete) {
        m_announced_summaries.clear();
        m_heartbeats_until_complete = heartbeats_per_complete_report;
    }
    --m_heartbeats_until_complete;
    for (const allowance::demand_summary& summary : current) {
        const auto known = m_announced_summaries.find(summary.limit_name);
        if (known == m_announced_summaries.end() || is_significantly_different(summary, known->second)) {
            m_announced_summaries.insert_or_assign(summary.limit_name, summary);
            m_heartbeat.demands.push_back(summary);
        }
    }
}

asio::awaitable<void> control_loop::run_heartbeats()
{
    asio::steady_timer timer(m_strand);
    while (true) {
        if (m_manager) {
            prepare_heartbeat(current_time());
            for (const auto& [id, member] : m_manager->member_tracker().entries()) {
                if (id == m_self.id || !m_heartbeats_in_flight.insert(id).second) {
                    continue;
                }
                const std::shared_ptr<control_loop> self = shared_from_this();
                spawn([self, id = id] { return self->send_heartbeat(id); }, "heartbeat");
            }
        }
        timer.expires_after(m_options.heartbeat_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> control_loop::send_heartbeat(std::string member)
{
    const core::instant sent = current_time();
    const std::uint64_t generation = m_generation;
    std::optional<peer_rpc::heartbeat_reply> reply;
    bool is_refused = false;
    try {
        reply = co_await m_peers.heartbeat(member, m_heartbeat);
    } catch (const http::transport_error& error) {
        is_refused = error.kind() == http::transport_failure::refused;
    } catch (const std::exception& error) {
        core::debug_event("heartbeat_failed").with("peer", member).with("error", error.what());
    }
    m_heartbeats_in_flight.erase(member);
    if (generation != m_generation || !m_manager) {
        co_return;
    }
    if (is_refused) {
        m_manager->authority().record_connection_refused(member, sent);
        co_return;
    }
    if (!reply || reply->receiver.sender.id != member) {
        co_return;
    }
    if (reply->is_vouching) {
        m_manager->authority().record_vouch(member, sent);
    }
    m_manager->on_heartbeat(member, reply->receiver.round, {}, false, current_time());
    record_peer_state(reply->receiver.sender);
    if (reply->receiver.configuration_revision > m_configuration.revision()) {
        co_await fetch_configuration(member);
    }
}

asio::awaitable<void> control_loop::fetch_configuration(std::string member)
{
    if (m_is_fetching_configuration) {
        co_return;
    }
    m_is_fetching_configuration = true;
    try {
        const peer_rpc::configuration_reply reply =
            co_await m_peers.get_configuration(member, {m_configuration.revision()});
        if (!reply.document.empty() &&
            m_configuration.offer_document(reply.document, member, current_time())) {
            apply_configuration();
        }
    } catch (const std::exception& error) {
        core::debug_event("configuration_fetch_failed").with("peer", member).with("error", error.what());
    }
    m_is_fetching_configuration = false;
}

void control_loop::handle_configuration_offer(const std::string& document, const std::string& source)
{
    if (m_configuration.offer_document(document, source, current_time())) {
        apply_configuration();
    }
}

// Messages from peers.

peer_rpc::heartbeat_reply control_loop::on_heartbeat(const peer_rpc::heartbeat& message)
{
    const core::instant now = current_time();
    peer_rpc::heartbeat_reply reply;
    if (m_manager) {
        m_manager->on_heartbeat(message.sender.id, message.round, message.demands, message.is_complete, now);
        record_peer_state(message.sender);
        reply.is_vouching = m_manager->authority().may_vouch(message.sender.id);
    }
    reply.receiver = create_heartbeat(now);
    if (message.configuration_revision > m_configuration.revision()) {
        const std::shared_ptr<control_loop> self = shared_from_this();
        spawn([self, sender = message.sender.id] { return self->fetch_configuration(sender); }, "fetch");
    }
    return reply;
}

peer_rpc::configuration_reply
control_loop::on_get_configuration(const peer_rpc::configuration_request& message)
{
    peer_rpc::configuration_reply reply;
    reply.revision = m_configuration.revision();
    if (reply.revision > message.known_revision) {
        reply.document = m_configuration.document();
    }
    return reply;
}

allowance::share_grant control_loop::on_request_share(const std::string& from,
                                                      const allowance::share_request& message)
{
    if (!m_manager) {
        allowance::share_grant refusal;
        refusal.id = message.id;
        refusal.status = allowance::grant_status::not_authorized;
        return refusal;
    }
    return m_manager->on_share_request(from, message, current_time());
}

void control_loop::on_acknowledge_grant(const std::string& from,
                                        const allowance::grant_acknowledgement& message)
{
    if (m_manager) {
        m_manager->on_acknowledgement(from, message, current_time());
        // A rejected grant returned its tokens to this instance, so waiting requests may be served.
        serve_waiting_requests();
    }
}

bool control_loop::on_hand_over(const std::string& from, const allowance::share_offer& message)
{
    std::optional<allowance::grant_acknowledgement> acknowledgement;
    if (m_manager) {
        acknowledgement = m_manager->on_offer(from, message, current_time());
    }
    if (!acknowledgement) {
        throw std::runtime_error("the sender is not a known member yet");
    }
    serve_waiting_requests();
    return acknowledgement->is_applied;
}

// Actions of the share manager.

void control_loop::execute_actions(std::vector<allowance::action> actions)
{
    for (allowance::action& action : actions) {
        execute_action(std::move(action));
    }
}

void control_loop::execute_action(allowance::action action)
{
    const std::shared_ptr<control_loop> self = shared_from_this();
    if (allowance::send_request* request = std::get_if<allowance::send_request>(&action)) {
        spawn([self, message = std::move(*request)] { return self->send_request(message); }, "request_share");
    } else if (allowance::send_offer* offer = std::get_if<allowance::send_offer>(&action)) {
        spawn([self, message = std::move(*offer)] { return self->send_offer(message); }, "hand_over");
    } else if (allowance::store_write* write = std::get_if<allowance::store_write>(&action)) {
        spawn([self, change = std::move(*write)] { return self->execute_write(change); }, "store_write");
    } else if (std::holds_alternative<allowance::read_round>(action)) {
        spawn([self] { return self->execute_read_round(); }, "read_round");
    } else if (std::holds_alternative<allowance::read_reports>(action)) {
        spawn([self] { return self->execute_read_reports(); }, "read_reports");
    } else if (std::holds_alternative<allowance::read_members>(action)) {
        spawn([self] { return self->execute_read_members(); }, "read_members");
    } else if (const allowance::drop_notification* dropped =
                   std::get_if<allowance::drop_notification>(&action)) {
        core::warning_event("shares_dropped")
            .with("member", m_self.id)
            .with("cause", allowance::drop_reason_names.name(dropped->reason));
        rejoin();
    }
}

asio::awaitable<void> control_loop::send_request(allowance::send_request message)
{
    const std::uint64_t generation = m_generation;
    const allowance::share_grant grant = co_await m_peers.request_share(message.to, message.request);
    if (generation != m_generation || !m_manager) {
        co_return;
    }
    const allowance::grant_acknowledgement acknowledgement =
        m_manager->on_share_grant(message.to, grant, current_time());
    serve_waiting_requests();
    if (grant.status == allowance::grant_status::granted) {
        co_await m_peers.acknowledge_grant(message.to, acknowledgement);
    }
}

asio::awaitable<void> control_loop::send_offer(allowance::send_offer message)
{
    const std::uint64_t generation = m_generation;
    const allowance::grant_acknowledgement acknowledgement =
        co_await m_peers.hand_over(message.to, message.offer);
    if (generation == m_generation && m_manager) {
        m_manager->on_acknowledgement(message.to, acknowledgement, current_time());
    }
}

asio::awaitable<void> control_loop::execute_write(allowance::store_write change)
{
    const std::uint64_t generation = m_generation;
    const membership::member_tracker tracker =
        m_manager ? m_manager->member_tracker() : membership::member_tracker(m_self.id);
    const allowance::write_result result = co_await m_store_executor.write(change, tracker);
    if (generation == m_generation && m_manager) {
        m_manager->on_write_result(result, current_time());
    }
}

asio::awaitable<void> control_loop::execute_read_round()
{
    const std::uint64_t generation = m_generation;
    const allowance::round_observation observed = co_await m_store_executor.read_round();
    if (generation == m_generation && m_manager) {
        m_manager->on_round(observed, current_time());
        serve_waiting_requests();
    }
}

asio::awaitable<void> control_loop::execute_read_reports()
{
    const std::uint64_t generation = m_generation;
    const allowance::report_observation observed = co_await m_store_executor.read_reports();
    if (generation == m_generation && m_manager) {
        m_manager->on_reports(observed);
    }
}

asio::awaitable<void> control_loop::execute_read_members()
{
    const std::uint64_t generation = m_generation;
    const membership::member_list list = co_await m_store_executor.read_members();
    if (generation != m_generation || !m_manager) {
        co_return;
    }
    m_manager->on_members(list, current_time());
    m_registration->set_membership_revision_seen(m_manager->member_tracker().revision());
    std::vector<membership::member> peers;
    for (const auto& [id, member] : m_manager->member_tracker().entries()) {
        if (id != m_self.id) {
            peers.push_back(member.record);
        }
    }
    m_peers.set_members(peers);
    std::erase_if(m_leaving_peers, [this](const std::string& id) {
        return m_manager->member_tracker().find_member(id) == nullptr;
    });
}

} // namespace quetzalspan::node
