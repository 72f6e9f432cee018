// An HTTP/1.1 client for small control messages to one address, with kept-alive connections.

#pragma once

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace quetzalspan::http
{

// Why a message got no response.
enum class transport_failure {
    // The address refused the connection: its host answers and no process listens there.
    refused,
    // The connection could not be opened for another reason. Nothing was sent.
    not_connected,
    // The message may have been received.
    interrupted,
    // The time allowed passed. The message may have been received.
    timed_out,
};

class transport_error : public std::runtime_error
{
public:
    transport_error(transport_failure kind, const std::string& message)
        : std::runtime_error(message), m_kind(kind)
    {
    }

    transport_failure kind() const { return m_kind; }

private:
    transport_failure m_kind;
};

struct client_options {
    std::uint64_t body_limit_bytes = 2 * 1024 * 1024;
    // Time to open a connection, within the time allowed for the message. A packet that is lost while the
    // peer is cut off is sent again only after a second, so a short limit notices the end of the cut sooner.
    core::duration connect_timeout = std::chrono::seconds(1);
};

// Threads may share a client. A connection carries one message at a time and is dropped after any error.
class client
{
public:
    // The host is a numeric address. Throws boost::system::system_error if it is not.
    client(boost::asio::any_io_executor executor, const std::string& host, std::uint16_t port,
           client_options options = {});

    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends the message and returns the whole response. Throws transport_error if there is none within the
    // time allowed.
    boost::asio::awaitable<response> send(request message, core::duration timeout);

    // Closes the connections that carry no message, for example after one of them turned out to be silent.
    void close_idle();

    const std::string& host() const { return m_host; }
    std::uint16_t port() const { return m_address.port(); }

private:
    using stream_pointer = std::unique_ptr<boost::beast::tcp_stream>;

    stream_pointer take_idle();
    void put_idle(stream_pointer stream);
    boost::asio::awaitable<stream_pointer> connect(core::duration timeout);

    boost::asio::any_io_executor m_executor;
    std::string m_host;
    boost::asio::ip::tcp::endpoint m_address;
    client_options m_options;
    std::mutex m_idle_guard;
    std::vector<stream_pointer> m_idle;
};

} // namespace quetzalspan::http
