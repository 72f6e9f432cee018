// Exchanges the load reports of endpoints between instances. In a large fleet an instance seldom gets a
// response from a given endpoint, so what it knows of the endpoint's load by itself is too old to use.
//
// Each instance sends the reports that it received to the collector of its zone, which passes them to the
// collectors of the other zones, and those of all zones to the instances of its own. Nothing depends on these
// messages: without them endpoints are chosen by the order of the object alone.

#pragma once

#include "burn/metrics_registry.h"
#include "edge/fleet_membership.h"
#include "edge/load_collector.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

// Runs on the given executor, which must be single-threaded or a strand.
class load_exchange
{
public:
    struct hooks {
        // Returns whether the fleet is so large that load is exchanged.
        std::function<bool()> is_needed;
        // Returns the reports that this instance received from endpoints since the last call.
        std::function<load_collector::loads(core::instant now)> take_own_loads;
        // Uses reports that other instances received.
        std::function<void(const load_collector::loads&, core::instant now)> apply;
        // Returns the collectors by zone.
        std::function<std::map<std::string, designated_instance>(core::instant now)> collectors;
        // Returns the other instances of this instance's zone.
        std::function<std::vector<instance_record>()> zone_members;
        // Sends a message. Returns whether it was handed to the network.
        std::function<bool(const instance_record& target, const std::string& text)> send;
    };

    load_exchange(const boost::asio::any_io_executor& executor, std::string own_instance,
                  std::string own_zone, hooks callbacks, burn::metrics_registry& metrics);

    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    // Sends messages until the executor is stopped.
    boost::asio::awaitable<void> run();

    void handle_message(const endpoint_loads_message& message, core::instant now);

    // Sends this instance's reports to the collector and, every second time, passes on collected ones.
    void send_messages(core::instant now);

private:
    void send_own_loads(const std::map<std::string, designated_instance>& collectors, core::instant now);
    void pass_on(const std::map<std::string, designated_instance>& collectors, core::instant now);
    void send_loads(const std::vector<instance_record>& targets, load_scope scope,
                    const load_collector::loads& loads);

    boost::asio::steady_timer m_timer;
    std::string m_own_instance;
    std::string m_own_zone;
    hooks m_hooks;
    load_collector m_collector;
    burn::counter& m_sent;
    burn::counter& m_received;
    std::uint64_t m_rounds = 0;
};

} // namespace quetzalspan::edge
