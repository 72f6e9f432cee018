// Binds the sockets of a reservation and reads their ports.

#include "tests/support/port_reservation.h"

#include <fcntl.h>

namespace quetzalspan::tests
{

port_reservation::port_reservation(std::size_t count)
{
    const boost::asio::ip::tcp::endpoint any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
    for (std::size_t index = 0; index < count; ++index) {
        boost::asio::ip::tcp::acceptor& added = m_sockets.emplace_back(m_context);
        added.open(any_port.protocol());
        // A child process that inherited the socket would hold the port after the test has ended.
        fcntl(added.native_handle(), F_SETFD, FD_CLOEXEC);
        added.bind(any_port);
        // Set only now: a socket that has the option set while it asks for any free port may be given one
        // that another such socket is bound to.
        added.set_option(boost::asio::socket_base::reuse_address(true));
        m_ports.push_back(added.local_endpoint().port());
    }
}

} // namespace quetzalspan::tests
