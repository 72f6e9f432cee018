// Implements the exchange of demand.

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

void log_end(const char* task, const std::exception_ptr& thrown)
{
    if (!thrown) {
        return;
    }
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
        core::error_event("task_failed").with("task", task).with("error", error.what());
    }
}

} // namespace

demand_exchange::demand_exchange(const asio::any_io_executor& executor, std::string own_instance,
                                 core::duration interval, hooks callbacks)
    : m_socket(executor),
      m_timer(executor),
      m_own_instance(std::move(own_instance)),
      m_interval(interval),
      m_hooks(std::move(callbacks)),
      // A later start of the same instance must not look older than its predecessor.
      m_sequence(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count()))
{
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
        [](const std::exception_ptr& thrown) { log_end("send_demand", thrown); });
    asio::co_spawn(
        m_timer.get_executor(), [self] { return self->receive_messages(); },
        [](const std::exception_ptr& thrown) { log_end("receive_demand", thrown); });
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
        send_to_peers();
        m_timer.expires_after(m_interval);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void demand_exchange::send_to_peers()
{
    const std::string text = to_text(demand_message{m_own_instance, ++m_sequence, m_hooks.own_demand()});
    for (const instance_record& peer : m_hooks.peers()) {
        boost::system::error_code error;
        const asio::ip::address address = asio::ip::make_address(peer.peers.host, error);
        if (!error) {
            m_socket.send_to(asio::buffer(text), udp::endpoint(address, peer.peers.port), 0, error);
        }
        if (error) {
            core::debug_event("demand_not_sent").with("peer", peer.instance).with("error", error.message());
        }
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
            handle(std::string_view(m_received.data(), size), sender.address().to_string());
        }
    }
}

void demand_exchange::handle(std::string_view text, const std::string& sender)
{
    try {
        const demand_message message = parse_demand_message(text, sender);
        std::uint64_t& seen = m_seen[message.instance];
        if (message.sequence <= seen) {
            return;
        }
        seen = message.sequence;
        m_hooks.on_demand(message);
    } catch (const core::findings_error& error) {
        core::warning_event("demand_message_rejected").with("sender", sender).with("error", error.what());
    }
}

} // namespace quetzalspan::edge
