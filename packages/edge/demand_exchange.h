// Sends the own demand to the peers and receives theirs, in datagrams: one that is lost is replaced by the
// next.

#pragma once

#include "edge/demand_message.h"
#include "edge/instance_record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

// Runs on the executor given, which must be one thread or a strand.
class demand_exchange : public std::enable_shared_from_this<demand_exchange>
{
public:
    struct hooks {
        std::function<std::vector<instance_record>()> peers;
        std::function<std::map<std::string, double, std::less<>>()> own_demand;
        // Called for each message that is newer than those before.
        std::function<void(const demand_message&)> on_demand;
    };

    // Binds the numeric address. Throws boost::system::system_error if it cannot.
    static std::shared_ptr<demand_exchange> create(const boost::asio::any_io_executor& executor,
                                                   const std::string& own_instance,
                                                   const socket_address& address, core::duration interval,
                                                   hooks callbacks);

    demand_exchange(const demand_exchange&) = delete;
    demand_exchange& operator=(const demand_exchange&) = delete;

    void start();
    void stop();

private:
    demand_exchange(const boost::asio::any_io_executor& executor, std::string own_instance,
                    core::duration interval, hooks callbacks);

    boost::asio::awaitable<void> send_messages();
    boost::asio::awaitable<void> receive_messages();
    void send_to_peers();
    void handle(std::string_view text, const std::string& sender);

    static constexpr std::size_t datagram_limit_bytes = 16 * 1024;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_own_instance;
    core::duration m_interval;
    hooks m_hooks;
    std::uint64_t m_sequence = 0;
    // The newest sequence of each peer.
    std::map<std::string, std::uint64_t> m_seen;
    std::array<char, datagram_limit_bytes> m_received{};
};

} // namespace quetzalspan::edge
