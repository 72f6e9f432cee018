// Implements the exchange of demand.

#include "edge/demand_exchange.h"

#include "core/boot_clock.h"
#include "core/findings.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace quetzalspan::edge
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace
{

// Reports that arrive late or were lost once still count.
constexpr int report_lifetime_intervals = 3;

// Two round trips between regions; a request that waits longer has lost more than its retry would cost.
constexpr core::duration token_wait = std::chrono::milliseconds(60);
// A rejection without a time is not asked about again at once.
constexpr core::duration least_exhausted_time = std::chrono::milliseconds(20);

} // namespace

demand_exchange::demand_exchange(const asio::any_io_executor& executor, std::string own_instance,
                                 core::duration interval, hooks callbacks)
    : m_socket(executor),
      m_timer(executor),
      m_own_instance(std::move(own_instance)),
      m_interval(interval),
      m_hooks(std::move(callbacks)),
      m_collector(interval * report_lifetime_intervals),
      // A later start of the same instance must not look older than its predecessor.
      m_sequence(sequence_of_start())
{
}

std::uint64_t demand_exchange::sequence_of_start()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::shared_ptr<demand_exchange> demand_exchange::create(const asio::any_io_executor& executor,
                                                         const std::string& own_instance,
                                                         const socket_address& address,
                                                         core::duration interval, hooks callbacks)
{
    const std::shared_ptr<demand_exchange> result(
        new demand_exchange(executor, own_instance, interval, std::move(callbacks)));
    const udp::endpoint local(asio::ip::make_address(address.host), address.port);
    result->m_socket.open(local.protocol());
    result->m_socket.bind(local);
    result->m_socket.non_blocking(true);
    return result;
}

void demand_exchange::start()
{
    const std::shared_ptr<demand_exchange> self = shared_from_this();
    asio::co_spawn(
        m_timer.get_executor(), [self] { return self->send_messages(); },
        [](const std::exception_ptr& thrown) { core::log_task_end("send_demand", thrown); });
    asio::co_spawn(
        m_timer.get_executor(), [self] { return self->receive_messages(); },
        [](const std::exception_ptr& thrown) { core::log_task_end("receive_demand", thrown); });
}

void demand_exchange::stop()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
}

asio::awaitable<void> demand_exchange::send_messages()
{
    while (m_socket.is_open()) {
        const quota::demand_report report = m_hooks.make_report();
        send_report(report);
        send_sums(report, std::chrono::steady_clock::now());
        m_timer.expires_after(m_interval);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void demand_exchange::send_text(const std::string& text, const udp::endpoint& target)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(text), target, 0, error);
    if (error) {
        core::debug_event("peer_message_not_sent")
            .with("peer", target.address().to_string())
            .with("error", error.message());
    }
}

void demand_exchange::send_report(const quota::demand_report& report)
{
    const std::string text = to_text(demand_report_message{m_own_instance, report});
    for (const instance_record& collector : m_hooks.collectors()) {
        boost::system::error_code error;
        const asio::ip::address address = asio::ip::make_address(collector.peers.host, error);
        if (error) {
            core::warning_event("peer_address_rejected")
                .with("peer", collector.instance)
                .with("address", collector.peers.host);
            continue;
        }
        send_text(text, udp::endpoint(address, collector.peers.port));
    }
}

void demand_exchange::send_sums(const quota::demand_report& own, core::instant now)
{
    m_collector.expire(now);
    demand_sums_message message{m_own_instance, ++m_sequence, m_collector.sums_for(m_own_instance, own), {}};
    m_hooks.on_sums(message);
    message.silent = m_hooks.silent();
    for (const std::string& reporter : m_collector.reporters()) {
        message.sums = m_collector.sums_for(reporter, own);
        send_text(to_text(message), m_reporters.at(reporter));
    }
}

asio::awaitable<void> demand_exchange::receive_messages()
{
    while (m_socket.is_open()) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(m_received), sender, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            handle(std::string_view(m_received.data(), size), sender, std::chrono::steady_clock::now());
        }
    }
}

void demand_exchange::handle(std::string_view text, const udp::endpoint& sender, core::instant now)
{
    try {
        peer_message message = parse_peer_message(text, sender.address().to_string());
        if (demand_report_message* report = std::get_if<demand_report_message>(&message)) {
            handle_report(std::move(*report), sender, now);
        } else if (const demand_sums_message* sums = std::get_if<demand_sums_message>(&message)) {
            handle_sums(*sums);
        } else if (const token_request_message* wanted = std::get_if<token_request_message>(&message)) {
            handle_token_request(*wanted, sender);
        } else {
            handle_token_answer(std::get<token_answer_message>(message));
        }
    } catch (const core::findings_error& error) {
        core::warning_event("peer_message_rejected")
            .with("sender", sender.address().to_string())
            .with("error", error.what());
    }
}

void demand_exchange::handle_report(demand_report_message message, const udp::endpoint& sender,
                                    core::instant now)
{
    if (message.instance == m_own_instance || !m_hooks.is_member(message.instance) ||
        !m_collector.record(message.instance, std::move(message.report), now)) {
        return;
    }
    m_reporters[message.instance] = sender;
    m_hooks.on_heard(message.instance);
}

void demand_exchange::handle_sums(const demand_sums_message& message)
{
    std::uint64_t& seen = m_seen_sums[message.instance];
    if (message.instance == m_own_instance || message.sequence <= seen ||
        !m_hooks.is_member(message.instance)) {
        return;
    }
    seen = message.sequence;
    m_hooks.on_heard(message.instance);
    m_hooks.on_sums(message);
}

void demand_exchange::handle_token_request(const token_request_message& message, const udp::endpoint& sender)
{
    if (!m_hooks.is_member(message.instance)) {
        return;
    }
    const quota::quota_decision decision = grant_token(message.workspace);
    send_text(to_text(token_answer_message{message.number, decision.is_admitted, decision.retry_after}),
              sender);
}

void demand_exchange::handle_token_answer(const token_answer_message& message)
{
    const std::map<std::uint64_t, std::shared_ptr<pending_request>>::const_iterator found =
        m_pending.find(message.number);
    if (found != m_pending.end()) {
        found->second->answer = message;
        found->second->limit.cancel();
    }
}

quota::quota_decision demand_exchange::grant_token(const std::string& workspace)
{
    const std::size_t reporters = m_collector.reporters().size() + 1;
    return 2 * reporters > m_hooks.fleet_size() ? m_hooks.grant(workspace) : quota::quota_decision{};
}

asio::awaitable<std::optional<token_answer_message>>
demand_exchange::ask_collector(const instance_record& collector, const std::string& workspace)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(collector.peers.host, error);
    if (error) {
        core::warning_event("peer_address_rejected")
            .with("peer", collector.instance)
            .with("address", collector.peers.host);
        co_return std::nullopt;
    }
    const std::shared_ptr<pending_request> pending =
        std::make_shared<pending_request>(pending_request{asio::steady_timer(m_timer.get_executor()), {}});
    const std::uint64_t number = m_next_request++;
    m_pending.emplace(number, pending);
    send_text(to_text(token_request_message{m_own_instance, number, workspace}),
              udp::endpoint(address, collector.peers.port));
    pending->limit.expires_after(token_wait);
    co_await pending->limit.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_pending.erase(number);
    co_return pending->answer;
}

asio::awaitable<quota::quota_decision> demand_exchange::ask_token(std::string workspace)
{
    quota::quota_decision result;
    const core::instant now = std::chrono::steady_clock::now();
    const core::instant exhausted_until = m_exhausted_until[workspace];
    if (now < exhausted_until) {
        result.retry_after = exhausted_until - now;
        co_return result;
    }
    for (const std::optional<instance_record>& collector : m_hooks.granters(workspace)) {
        if (!collector) {
            co_return grant_token(workspace);
        }
        const std::optional<token_answer_message> answer = co_await ask_collector(*collector, workspace);
        if (answer) {
            result.is_admitted = answer->is_granted;
            result.retry_after = answer->retry_after;
            break;
        }
        core::info_event("token_not_answered")
            .with("workspace", workspace)
            .with("collector", collector->instance);
    }
    if (!result.is_admitted) {
        m_exhausted_until[workspace] =
            std::chrono::steady_clock::now() + std::max(result.retry_after, least_exhausted_time);
    }
    co_return result;
}

} // namespace quetzalspan::edge
