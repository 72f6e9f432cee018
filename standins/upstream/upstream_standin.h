// An upstream for tests and the demo. It executes a limited number of requests at the same time, rejects the
// rest, reports its health and load, and simulates faults.

#pragma once

#include "core/time.h"
#include "standins/upstream/execution_log.h"
#include "standins/upstream/standin_control.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>

namespace quetzalspan::standins
{

struct standin_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::string name = "upstream";
    // Requests executed at the same time.
    std::uint32_t slots = 3;
    // Requests that wait for a slot. Further ones are rejected.
    std::uint32_t queue_limit = 0;
    // Connections open at the same time. Further ones are closed at once.
    std::uint32_t connection_limit = 330;
    // Service times are multiplied by the cold factor at the start. It falls linearly to 1 over the cold
    // time.
    core::duration cold_time = std::chrono::seconds(3);
    double cold_factor = 5;
    // Seed of the random service times.
    std::uint64_t seed = 1;
    standin_control control;
};

// The io_context must be run by one thread only.
class upstream_standin : public std::enable_shared_from_this<upstream_standin>
{
public:
    // Binds the port; port 0 chooses a free one. The host is a numeric address. Throws
    // boost::system::system_error if the port cannot be bound.
    static std::shared_ptr<upstream_standin> create(boost::asio::io_context& context,
                                                    standin_options options);

    void start();

    std::uint16_t port() const { return m_address.port(); }

private:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;
    using response_type = boost::beast::http::response<boost::beast::http::string_body>;

    // The measured values for /health and /load at one time.
    struct state_sample {
        core::instant time;
        std::uint32_t running = 0;
        bool is_healthy = true;
    };

    upstream_standin(boost::asio::io_context& context, standin_options options);

    void open_acceptor();
    boost::asio::awaitable<void> accept_connections();
    // Closes the listening port for the refuse time of the control, then opens it again.
    boost::asio::awaitable<void> refuse_connections();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    // Handles the next request of the connection. Returns whether the connection stays open.
    boost::asio::awaitable<bool> serve_message(boost::asio::ip::tcp::socket& socket,
                                               boost::beast::flat_buffer& buffer);
    // Executes a request, or rejects it while draining or without a free slot. Returns whether the connection
    // stays open.
    boost::asio::awaitable<bool> serve_request(boost::asio::ip::tcp::socket& socket,
                                               const request_type& message, fault request_fault);
    // Waits for the service time of a request. Returns false if the peer closes the connection before its
    // end.
    boost::asio::awaitable<bool> wait_service_time(boost::asio::ip::tcp::socket& socket, core::duration time);
    // Returns false if the queue is full or no slot becomes free before the deadline.
    boost::asio::awaitable<bool> wait_for_slot(core::instant deadline);
    boost::asio::awaitable<bool> send(boost::asio::ip::tcp::socket& socket, const response_type& message);
    // Sends the header and the first half of the body.
    boost::asio::awaitable<void> send_half(boost::asio::ip::tcp::socket& socket,
                                           const response_type& message);
    boost::asio::awaitable<void> wait_while_frozen();

    response_type handle_control(const request_type& message);
    response_type handle_status_request(const request_type& message);
    response_type make_response(const request_type& message) const;
    response_type make_shed_response(std::string_view reason);
    // Returns a random service time.
    core::duration draw_service_time();
    // Returns the measured values as they were before the report lag.
    state_sample lagged_state();
    void record_state_sample();

    boost::asio::io_context& m_context;
    standin_options m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_address;
    execution_log m_log;
    std::mt19937_64 m_random;
    core::instant m_start_time;
    core::instant m_frozen_until;
    std::uint32_t m_connections = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    // Never expires; cancelling it wakes a request that waits for a slot.
    boost::asio::steady_timer m_slot_freed;
    // Measured values in the order of time, for reports that lag.
    std::deque<state_sample> m_state_samples;
};

} // namespace quetzalspan::standins
