// Sends load reports at fixed intervals and splits them into datagrams.

#include "edge/load_exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::edge
{

namespace asio = boost::asio;

namespace
{

// A load is out of date after a few hundred milliseconds, so it is passed on well within that time.
constexpr core::duration send_interval = std::chrono::milliseconds(100);
// A collector has many receivers, and passes reports on in every second interval only.
constexpr std::uint64_t rounds_per_pass = 2;

} // namespace

load_exchange::load_exchange(const asio::any_io_executor& executor, std::string own_instance,
                             std::string own_zone, hooks callbacks, burn::metrics_registry& metrics)
    : m_timer(executor),
      m_own_instance(std::move(own_instance)),
      m_own_zone(std::move(own_zone)),
      m_hooks(std::move(callbacks)),
      m_sent(metrics.get_counter("load_reports_sent_total", "Load reports sent to other instances.")),
      m_received(
          metrics.get_counter("load_reports_received_total", "Load reports received from other instances."))
{
}

asio::awaitable<void> load_exchange::run()
{
    while (true) {
        m_timer.expires_after(send_interval);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_hooks.is_needed()) {
            send_messages(std::chrono::steady_clock::now());
        }
    }
}

void load_exchange::handle_message(const endpoint_loads_message& message, core::instant now)
{
    if (!m_hooks.is_needed()) {
        return;
    }
    m_received.add(message.loads.size());
    m_collector.add(message.loads, message.scope, now);
    m_hooks.apply(message.loads, now);
}

void load_exchange::send_messages(core::instant now)
{
    const std::map<std::string, designated_instance> collectors = m_hooks.collectors(now);
    send_own_loads(collectors, now);
    ++m_rounds;
    if (m_rounds % rounds_per_pass == 0) {
        pass_on(collectors, now);
    }
}

void load_exchange::send_own_loads(const std::map<std::string, designated_instance>& collectors,
                                   core::instant now)
{
    const load_collector::loads own = m_hooks.take_own_loads(now);
    const std::map<std::string, designated_instance>::const_iterator collector = collectors.find(m_own_zone);
    if (collector == collectors.end() || own.empty()) {
        return;
    }
    if (collector->second.is_own) {
        m_collector.add(own, load_scope::instance, now);
    } else if (collector->second.other) {
        send_loads({*collector->second.other}, load_scope::instance, own);
    }
}

void load_exchange::pass_on(const std::map<std::string, designated_instance>& collectors, core::instant now)
{
    std::vector<instance_record> others;
    for (const auto& [zone, collector] : collectors) {
        if (zone != m_own_zone && collector.other) {
            others.push_back(*collector.other);
        }
    }
    send_loads(others, load_scope::zone, m_collector.take_zone_loads(now));
    const load_collector::loads fleet = m_collector.take_fleet_loads(now);
    if (!fleet.empty()) {
        send_loads(m_hooks.zone_members(), load_scope::fleet, fleet);
    }
}

void load_exchange::send_loads(const std::vector<instance_record>& targets, load_scope scope,
                               const load_collector::loads& loads)
{
    load_collector::loads::const_iterator position = loads.begin();
    while (position != loads.end()) {
        endpoint_loads_message message{m_own_instance, scope, {}};
        while (position != loads.end() && message.loads.size() < max_shared_loads) {
            message.loads.insert(*position);
            ++position;
        }
        const std::string text = to_text(message);
        for (const instance_record& target : targets) {
            m_sent.add(m_hooks.send(target, text) ? message.loads.size() : 0);
        }
    }
}

} // namespace quetzalspan::edge
