// An HTTP/1.1 client for small control messages to one address. It reuses connections (keep-alive).

#pragma once

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace quetzalspan::http
{

// Why a request got no response.
enum class transport_failure {
    // The host refused the connection: it is reachable, and no process listens on the port.
    refused,
    // The connection could not be opened for another reason, such as the connect timeout. Nothing was sent.
    not_connected,
    // The connection failed, or the response was invalid or too large. The request may have been received.
    interrupted,
    // The timeout passed after the connection was open. The request may have been received.
    timed_out,
};

// A request that got no response.
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
    // Largest accepted response body.
    std::uint64_t body_limit_bytes = 2 * 1024 * 1024;
    // Time limit for opening a connection; the timeout of the request applies too if it is shorter. A
    // connection request that is lost in a network partition is retransmitted only after a second, so with a
    // short limit a new attempt notices the end of the partition sooner.
    core::duration connect_timeout = std::chrono::seconds(1);
};

// Time limits of a request, counted from when its connection is open.
struct response_timeouts {
    // Until the header of the response has arrived. A server that does not respond at all is noticed after
    // this time, however large its responses may be.
    core::duration header;
    // Until the whole response has arrived.
    core::duration whole;
};

// Thread-safe. A connection carries one request at a time and is closed after any error.
class client
{
public:
    // Throws boost::system::system_error if the host is not a numeric IP address.
    client(boost::asio::any_io_executor executor, const std::string& host, std::uint16_t port,
           client_options options = {});

    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends the request and returns the whole response, whatever its status. Throws transport_error if no
    // complete response arrives in time. The timeout starts anew once a new connection is open, so the call
    // may take longer than the timeout by the time that connecting takes.
    boost::asio::awaitable<response> send(request message, core::duration timeout);
    // The same with a separate time limit for the header of the response.
    boost::asio::awaitable<response> send(request message, response_timeouts timeouts);

    // Closes the idle connections, for example after a request on another connection got no response.
    void close_idle();

    const std::string& host() const { return m_host; }
    std::uint16_t port() const { return m_endpoint.port(); }

private:
    using stream_pointer = std::unique_ptr<boost::beast::tcp_stream>;
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    // Removes and returns an idle connection, or returns nullptr if there is none.
    stream_pointer take_idle();
    // Keeps the connection for later requests, or closes it if enough connections are idle.
    void put_idle(stream_pointer stream);
    // Opens a connection. Throws transport_error if that fails.
    boost::asio::awaitable<stream_pointer> connect(core::duration timeout);
    // Reads the header of the final response into the parser and skips interim responses. Throws
    // transport_error if there is no valid one.
    boost::asio::awaitable<void> read_final_header(boost::beast::tcp_stream& stream,
                                                   boost::beast::flat_buffer& buffer,
                                                   std::optional<response_parser>& parser) const;

    boost::asio::any_io_executor m_executor;
    std::string m_host;
    boost::asio::ip::tcp::endpoint m_endpoint;
    client_options m_options;
    // Protects m_idle_streams.
    std::mutex m_idle_mutex;
    std::vector<stream_pointer> m_idle_streams;
};

} // namespace quetzalspan::http
