// A TCP server whose responses are given as bytes, for tests of the code that reads responses.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <thread>

namespace quetzalspan::tests
{

// Listens on a loopback port and serves one connection after the other on a thread of its own.
class byte_server
{
public:
    // Serves a connection. Called when the header of the first request has been read; part of the body may
    // have been read as well. The connection is closed when the function returns.
    using handler = std::function<void(boost::asio::ip::tcp::socket&)>;

    explicit byte_server(handler serve);
    // Waits until the handler has returned.
    ~byte_server();

    byte_server(const byte_server&) = delete;
    byte_server& operator=(const byte_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void accept_connection();

    handler m_serve;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

// Closes the connection with a TCP reset (RST).
void reset(boost::asio::ip::tcp::socket& socket);

// Blocks until the peer sends nothing more, because its send buffer and the receive buffer of the socket are
// full.
void wait_until_peer_blocks(boost::asio::ip::tcp::socket& socket);

} // namespace quetzalspan::tests
