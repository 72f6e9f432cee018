// Exchanges request rates between instances over UDP. Each instance reports its own demand to the collectors;
// a collector sums the reports and returns the sums to the reporting instances. A lost datagram needs no
// retransmission, since the next one replaces it. Any instance that receives reports acts as a collector, so
// collectors need not be agreed on.

#pragma once

#include "edge/instance_record.h"
#include "edge/peer_message.h"
#include "quota/demand_collector.h"
#include "quota/fleet_quota.h"
#include "store/prefix_mirror.h"

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

// Runs on the given executor, which must be single-threaded or a strand.
class demand_exchange : public std::enable_shared_from_this<demand_exchange>
{
public:
    struct hooks {
        // Returns the collectors to which this instance reports.
        std::function<std::vector<instance_record>()> collectors;
        // Returns whether the instance belongs to the fleet. Reports, sums and token requests of others are
        // ignored.
        std::function<bool(const std::string& instance)> is_member;
        // Returns the report of this instance's own demand.
        std::function<quota::demand_report()> make_report;
        // Returns the instances that should send messages to this one and have stopped doing so.
        std::function<std::set<std::string, std::less<>>()> silent_instances;
        // Called for each report and each sums message that is newer than the previous ones of its sender.
        std::function<void(const std::string& instance)> on_message;
        // Called for sums that another collector sent and for those that this instance computed.
        std::function<void(const demand_sums_message&)> on_sums;
        // Decides whether a member gets a token from the reserve of this instance.
        std::function<quota::quota_decision(const std::string& workspace)> grant;
        // Decides whether a member gets a token of the rate limit that an endpoint has named. Returns zero if
        // it does, otherwise the time until the next token.
        std::function<core::duration(const std::string& endpoint, double rate)> grant_endpoint_token;
        // Called for the answer to a token request that this instance sent.
        std::function<void(const token_answer_message&)> on_token_answer;
        // Returns what this instance's copy of the store can confirm to others.
        std::function<std::optional<store::peer_confirmation>()> confirm_copy;
        // Called for the answer to a question that this instance's confirmation_client sent.
        std::function<void(const confirmation_message&)> on_confirmation;
        // Called for what a member tells about requests under which endpoints end.
        std::function<void(const endpoint_end_message&)> on_endpoint_end;
        std::function<void(const quarantine_message&)> on_quarantine;
        // Called for the load of endpoints that a member tells.
        std::function<void(const endpoint_loads_message&)> on_endpoint_loads;
    };

    // Binds the address, whose host must be numeric. Throws boost::system::system_error if binding fails.
    static std::shared_ptr<demand_exchange> create(const boost::asio::any_io_executor& executor,
                                                   const std::string& own_instance,
                                                   const socket_address& address, core::duration interval,
                                                   hooks callbacks);

    demand_exchange(const demand_exchange&) = delete;
    demand_exchange& operator=(const demand_exchange&) = delete;

    void start();
    void stop();

    // Sends a message to an instance. Returns whether it was handed to the network; delivery is not assured.
    bool send(const instance_record& target, const std::string& text);

    // Returns the first sequence number of this process: the wall-clock time in milliseconds, so that it is
    // above those of earlier starts of the instance.
    static std::uint64_t make_start_sequence();

private:
    demand_exchange(const boost::asio::any_io_executor& executor, std::string own_instance,
                    core::duration interval, hooks callbacks);

    boost::asio::awaitable<void> send_messages();
    boost::asio::awaitable<void> receive_messages();
    void send_report(const quota::demand_report& report);
    void send_sums(const quota::demand_report& own, core::instant now);
    bool send_text(const std::string& text, const boost::asio::ip::udp::endpoint& target);
    void handle_message(std::string_view text, const boost::asio::ip::udp::endpoint& sender,
                        core::instant now);
    void handle_report(demand_report_message message, const boost::asio::ip::udp::endpoint& sender,
                       core::instant now);
    void handle_sums(const demand_sums_message& message);
    void handle_token_request(const token_request_message& message,
                              const boost::asio::ip::udp::endpoint& sender);
    void handle_endpoint_token_request(const endpoint_token_request_message& message,
                                       const boost::asio::ip::udp::endpoint& sender);
    void handle_confirmation_request(const confirmation_request_message& message,
                                     const boost::asio::ip::udp::endpoint& sender);
    static constexpr std::size_t max_datagram_bytes = 16 * 1024;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_own_instance;
    core::duration m_interval;
    hooks m_hooks;
    quota::demand_collector m_collector;
    // The source address of the latest report, by instance.
    std::map<std::string, boost::asio::ip::udp::endpoint> m_reporter_addresses;
    std::uint64_t m_sequence = 0;
    // The highest sequence number received in a sums message, by collector.
    std::map<std::string, std::uint64_t> m_last_sums_sequence;
    std::array<char, max_datagram_bytes> m_received{};
};

} // namespace quetzalspan::edge
