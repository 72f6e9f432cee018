// Accepts connections, reads the header of a request and leaves the rest of the connection to the handler.

#include "tests/support/byte_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>

#include <string>

namespace quetzalspan::tests
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

byte_server::byte_server(handler serve)
    : m_serve(std::move(serve)),
      m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      m_port(m_acceptor.local_endpoint().port())
{
    accept_connection();
    m_thread = std::thread([this] { m_context.run(); });
}

byte_server::~byte_server()
{
    m_context.stop();
    m_thread.join();
}

void byte_server::accept_connection()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        std::string header;
        boost::system::error_code read_error;
        asio::read_until(socket, asio::dynamic_buffer(header), "\r\n\r\n", read_error);
        if (!read_error) {
            m_serve(socket);
        }
        accept_connection();
    });
}

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void wait_until_peer_blocks(tcp::socket& socket)
{
    constexpr std::chrono::milliseconds interval(20);
    boost::system::error_code error;
    std::size_t previous = 0;
    std::size_t received = socket.available(error);
    while (!error && (received == 0 || received != previous)) {
        std::this_thread::sleep_for(interval);
        previous = std::exchange(received, socket.available(error));
    }
}

} // namespace quetzalspan::tests
