// Sends and receives the UDP datagrams of the demand exchange and passes their contents to the hooks.

#include "edge/demand_exchange.h"

#include "core/boot_clock.h"
#include "core/findings.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::edge
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace
{

// A report stays valid for three intervals, so that a late or a single lost report does not drop its sender.
constexpr int report_lifetime_intervals = 3;

} // namespace

demand_exchange::demand_exchange(const asio::any_io_executor& executor, std::string own_instance,
                                 core::duration interval, hooks callbacks)
    : m_socket(executor),
      m_timer(executor),
      m_own_instance(std::move(own_instance)),
      m_interval(interval),
      m_hooks(std::move(callbacks)),
      m_collector(interval * report_lifetime_intervals),
      // Receivers drop lower sequence numbers as outdated, so a restarted instance must begin above those
      // that it sent before.
      m_sequence(make_start_sequence())
{
}

std::uint64_t demand_exchange::make_start_sequence()
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
        [](const std::exception_ptr& thrown) { core::log_task_failure("send_demand", thrown); });
    asio::co_spawn(
        m_timer.get_executor(), [self] { return self->receive_messages(); },
        [](const std::exception_ptr& thrown) { core::log_task_failure("receive_demand", thrown); });
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

bool demand_exchange::send_text(const std::string& text, const udp::endpoint& target)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(text), target, 0, error);
    if (error) {
        core::debug_event("peer_message_not_sent")
            .with("peer", target.address().to_string())
            .with("error", error.message());
    }
    return !error;
}

bool demand_exchange::send(const instance_record& target, const std::string& text)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(target.peer_address.host, error);
    if (error) {
        core::warning_event("peer_address_rejected")
            .with("peer", target.instance)
            .with("address", target.peer_address.host);
        return false;
    }
    return send_text(text, udp::endpoint(address, target.peer_address.port));
}

void demand_exchange::send_report(const quota::demand_report& report)
{
    const std::string text = to_text(demand_report_message{m_own_instance, report});
    for (const instance_record& collector : m_hooks.collectors()) {
        send(collector, text);
    }
}

void demand_exchange::send_sums(const quota::demand_report& own, core::instant now)
{
    m_collector.expire(now);
    demand_sums_message message{m_own_instance, ++m_sequence, m_collector.sums_for(m_own_instance, own), {}};
    m_hooks.on_sums(message);
    message.silent = m_hooks.silent_instances();
    for (const std::string& reporter : m_collector.reporters()) {
        message.sums = m_collector.sums_for(reporter, own);
        send_text(to_text(message), m_reporter_addresses.at(reporter));
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
            handle_message(std::string_view(m_received.data(), size), sender,
                           std::chrono::steady_clock::now());
        }
    }
}

void demand_exchange::handle_message(std::string_view text, const udp::endpoint& sender, core::instant now)
{
    try {
        peer_message message = parse_peer_message(text, sender.address().to_string());
        if (demand_report_message* report = std::get_if<demand_report_message>(&message)) {
            handle_report(std::move(*report), sender, now);
        } else if (const demand_sums_message* sums = std::get_if<demand_sums_message>(&message)) {
            handle_sums(*sums);
        } else if (const token_request_message* token_request =
                       std::get_if<token_request_message>(&message)) {
            handle_token_request(*token_request, sender);
        } else if (const endpoint_token_request_message* endpoint_token_request =
                       std::get_if<endpoint_token_request_message>(&message)) {
            handle_endpoint_token_request(*endpoint_token_request, sender);
        } else if (const token_answer_message* token_answer = std::get_if<token_answer_message>(&message)) {
            m_hooks.on_token_answer(*token_answer);
        } else if (const confirmation_request_message* question =
                       std::get_if<confirmation_request_message>(&message)) {
            handle_confirmation_request(*question, sender);
        } else if (const endpoint_end_message* end = std::get_if<endpoint_end_message>(&message)) {
            if (m_hooks.is_member(end->instance)) {
                m_hooks.on_endpoint_end(*end);
            }
        } else if (const quarantine_message* quarantine = std::get_if<quarantine_message>(&message)) {
            if (m_hooks.is_member(quarantine->instance)) {
                m_hooks.on_quarantine(*quarantine);
            }
        } else if (const endpoint_loads_message* loads = std::get_if<endpoint_loads_message>(&message)) {
            if (m_hooks.is_member(loads->instance)) {
                m_hooks.on_endpoint_loads(*loads);
            }
        } else {
            m_hooks.on_confirmation(std::get<confirmation_message>(message));
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
    m_reporter_addresses[message.instance] = sender;
    m_hooks.on_message(message.instance);
}

void demand_exchange::handle_sums(const demand_sums_message& message)
{
    std::uint64_t& last_sequence = m_last_sums_sequence[message.instance];
    if (message.instance == m_own_instance || message.sequence <= last_sequence ||
        !m_hooks.is_member(message.instance)) {
        return;
    }
    last_sequence = message.sequence;
    m_hooks.on_message(message.instance);
    m_hooks.on_sums(message);
}

void demand_exchange::handle_token_request(const token_request_message& message, const udp::endpoint& sender)
{
    if (!m_hooks.is_member(message.instance)) {
        return;
    }
    const quota::quota_decision decision = m_hooks.grant(message.workspace);
    send_text(to_text(token_answer_message{message.number, decision.is_admitted, decision.retry_after}),
              sender);
}

void demand_exchange::handle_endpoint_token_request(const endpoint_token_request_message& message,
                                                    const udp::endpoint& sender)
{
    if (!m_hooks.is_member(message.instance)) {
        return;
    }
    const core::duration wait = m_hooks.grant_endpoint_token(message.endpoint, message.rate);
    send_text(to_text(token_answer_message{message.number, wait == core::duration(0), wait}), sender);
}

void demand_exchange::handle_confirmation_request(const confirmation_request_message& message,
                                                  const udp::endpoint& sender)
{
    const std::optional<store::peer_confirmation> known = m_hooks.confirm_copy();
    if (!known || !m_hooks.is_member(message.instance)) {
        return;
    }
    const core::duration age = core::boot_clock::now() - known->as_of;
    send_text(to_text(confirmation_message{message.number, known->epoch, known->revision, age}), sender);
}

} // namespace quetzalspan::edge
