// A TCP relay between two processes under test. It simulates faults of the network path between them:
// partitions, lost responses, delays and connection resets.

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

// Listens on a loopback port and relays each connection to the target. While the link is cut, no bytes pass
// and open connections stay open, as in a network partition: neither side gets an error.
class network_link
{
public:
    // The host is a numeric address. Throws boost::system::system_error if no port can be bound or the host
    // is not numeric.
    explicit network_link(std::uint16_t target_port, const std::string& target_host = "127.0.0.1");
    ~network_link();

    network_link(const network_link&) = delete;
    network_link& operator=(const network_link&) = delete;

    // The port that the relay listens on.
    std::uint16_t port() const { return m_port; }

    // Stops forwarding bytes in both directions.
    void cut();
    // Ends cut() and cut_responses(). If one of them was in force, all open connections are closed, as after
    // a partition that has outlasted them.
    void heal();

    // Discards the bytes that the target sends; bytes to the target still pass. heal() ends this.
    void cut_responses();
    // Delays each chunk of bytes that is read, in both directions, by this time; zero removes the delay.
    void set_delay(core::duration delay);
    // Resets all open connections; new ones are still accepted.
    void reset();

private:
    class connection;

    void accept_connection();
    // Runs the function on the link's thread and blocks until it has returned.
    void run(std::function<void()> action);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::uint16_t m_port = 0;
    // Used on the link's thread alone, as are the next three members.
    bool m_is_cut = false;
    bool m_drops_responses = false;
    core::duration m_delay{0};
    std::set<std::shared_ptr<connection>> m_connections;
    std::thread m_thread;
};

} // namespace quetzalspan::tests
