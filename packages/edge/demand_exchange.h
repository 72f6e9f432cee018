// Reports the own demand to the collectors and returns the sums to those that report here, in datagrams: one
// that is lost is replaced by the next. Whoever receives reports is a collector; no agreement is needed.

#pragma once

#include "edge/instance_record.h"
#include "edge/peer_message.h"
#include "quota/demand_collector.h"
#include "quota/fleet_quota.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

// Runs on the executor given, which must be one thread or a strand.
class demand_exchange : public std::enable_shared_from_this<demand_exchange>
{
public:
    struct hooks {
        // The collectors to which reports go.
        std::function<std::vector<instance_record>()> collectors;
        // Whether reports of the instance count.
        std::function<bool(const std::string& instance)> is_member;
        std::function<quota::demand_report()> make_report;
        // The instances that should report here and are silent.
        std::function<std::set<std::string, std::less<>>()> silent;
        // Called for each message that is newer than those before.
        std::function<void(const std::string& instance)> on_message;
        // Called for sums of another collector and for the own ones.
        std::function<void(const demand_sums_message&)> on_sums;
        // Decides about a token of the own reserve for a member.
        std::function<quota::quota_decision(const std::string& workspace)> grant;
        // Called for the answer to an own request for a token.
        std::function<void(const token_answer_message&)> on_token_answer;
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

    // Sends a message to an instance. Returns whether it was sent, which does not mean that it arrives.
    bool send(const instance_record& target, const std::string& text);

    // The instances that reported here lately.
    std::size_t reporter_count() const { return m_collector.reporters().size(); }

    // A sequence that is higher than those of earlier starts: the time of day in milliseconds.
    static std::uint64_t make_start_sequence();

private:
    demand_exchange(const boost::asio::any_io_executor& executor, std::string own_instance,
                    core::duration interval, hooks callbacks);

    boost::asio::awaitable<void> send_messages();
    boost::asio::awaitable<void> receive_messages();
    void send_report(const quota::demand_report& report);
    void send_sums(const quota::demand_report& own, core::instant now);
    bool send_text(const std::string& text, const boost::asio::ip::udp::endpoint& target);
    void handle(std::string_view text, const boost::asio::ip::udp::endpoint& sender, core::instant now);
    void handle_report(demand_report_message message, const boost::asio::ip::udp::endpoint& sender,
                       core::instant now);
    void handle_sums(const demand_sums_message& message);
    void handle_token_request(const token_request_message& message,
                              const boost::asio::ip::udp::endpoint& sender);
    static constexpr std::size_t max_datagram_bytes = 16 * 1024;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_own_instance;
    core::duration m_interval;
    hooks m_hooks;
    quota::demand_collector m_collector;
    // Where the reports came from, by instance.
    std::map<std::string, boost::asio::ip::udp::endpoint> m_reporter_addresses;
    std::uint64_t m_sequence = 0;
    // The newest sequence of each collector.
    std::map<std::string, std::uint64_t> m_last_sums_sequence;
    std::array<char, max_datagram_bytes> m_received{};
};

} // namespace quetzalspan::edge
