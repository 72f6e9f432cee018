// A TCP relay between two processes under test that can be cut, delayed, reset and healed, to stand for a
// network path.

#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace quetzalspan::tests
{

// Listens on a loopback port and relays each connection to the target. While the link is cut no byte passes
// and nothing is closed, as in a network partition: both sides only see silence.
class network_link
{
public:
    explicit network_link(std::uint16_t target_port, const std::string& target_host = "127.0.0.1");
    ~network_link();

    network_link(const network_link&) = delete;
    network_link& operator=(const network_link&) = delete;

    std::uint16_t port() const { return m_port; }

    // Stops passing bytes in both directions. Connections that were open when the link was cut are closed
    // when it heals, as after a partition that outlasts them.
    void cut();
    void heal();

    // Drops what the target sends; what is sent to it still passes. Ends with heal().
    void cut_responses();
    // Holds back each piece of bytes for the time; zero ends that.
    void set_delay(core::duration delay);
    // Resets the connections that are open.
    void reset();

private:
    class connection;

    void accept();
    // Runs the function on the thread of the link and waits for its end.
    void run(std::function<void()> action);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::uint16_t m_port = 0;
    bool m_is_cut = false;
    bool m_drops_responses = false;
    core::duration m_delay{0};
    std::set<std::shared_ptr<connection>> m_connections;
    std::thread m_thread;
};

} // namespace quetzalspan::tests
