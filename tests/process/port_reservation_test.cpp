// Tests that a port of a test fleet is still free when its process binds it. Ports that were only looked up
// and closed again were given to other listeners of the test, and the process ended because it could not
// bind.

#include "tests/support/port_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <set>

#include <CppUTest/TestHarness.h>

namespace asio = boost::asio;
using quetzalspan::tests::port_reservation;

namespace
{

asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

TEST_GROUP(port_reservation_tests)
{
    asio::io_context m_context;

    // Returns whether a listener can be opened at the port.
    bool can_listen(std::uint16_t port, bool names_the_port_for_reuse)
    {
        asio::ip::tcp::acceptor listener(m_context);
        listener.open(asio::ip::tcp::v4());
        listener.set_option(asio::socket_base::reuse_address(names_the_port_for_reuse));
        boost::system::error_code error;
        listener.bind(loopback(port), error);
        if (!error) {
            listener.listen(asio::socket_base::max_listen_connections, error);
        }
        return !error;
    }
};

TEST(port_reservation_tests, a_reserved_port_can_be_bound_only_by_the_process_it_is_for)
{
    const port_reservation reserved(20);
    for (const std::uint16_t port : reserved.ports()) {
        CHECK_FALSE(can_listen(port, false));
        CHECK(can_listen(port, true));
        // As after a restart of the process.
        CHECK(can_listen(port, true));
    }
}

TEST(port_reservation_tests, a_listener_at_any_free_port_is_given_no_reserved_port)
{
    const port_reservation reserved(200);
    const std::set<std::uint16_t> ports(reserved.ports().begin(), reserved.ports().end());
    CHECK_EQUAL(reserved.ports().size(), ports.size());
    std::vector<asio::ip::tcp::acceptor> listeners;
    for (int index = 0; index < 500; ++index) {
        listeners.emplace_back(m_context, loopback(0));
        CHECK_FALSE(ports.contains(listeners.back().local_endpoint().port()));
    }
}
