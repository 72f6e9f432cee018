// Keeps TCP ports of 127.0.0.1 for the processes that a test starts, also while none of them listens.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzalspan::tests
{

// Holds a bound socket that does not listen for each port. The system then gives the port to nobody who asks
// for any free port, while a process that sets SO_REUSEADDR and names the port can bind it and listen.
class port_reservation
{
public:
    // Throws boost::system::system_error if not that many ports are free.
    explicit port_reservation(std::size_t count);

    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    // All different.
    const std::vector<std::uint16_t>& ports() const { return m_ports; }

private:
    boost::asio::io_context m_context;
    std::vector<boost::asio::ip::tcp::acceptor> m_sockets;
    std::vector<std::uint16_t> m_ports;
};

} // namespace quetzalspan::tests
