// A connection from a caller: reads requests within their time limits, writes responses, and detects that the
// caller has disconnected.

#pragma once

#include "caller/proxy_options.h"
#include "upstream/forwarder.h"
#include "upstream/message_reader.h"
#include "upstream/socket_deadline.h"

#include <functional>
#include <memory>
#include <string>

namespace quetzalspan::caller
{

// Held by shared pointers, because the handler of the wait that detects a disconnect can run after the
// connection has ended. Used only on the strand of its socket.
class caller_stream : public std::enable_shared_from_this<caller_stream>
{
public:
    // The options must outlive the stream.
    static std::shared_ptr<caller_stream> create(boost::asio::ip::tcp::socket socket,
                                                 const proxy_options& options);

    ~caller_stream();

    caller_stream(const caller_stream&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;

    // Reads the header of the next request. A header that is not complete in time is returned as rejected
    // with the failure header_timeout; a connection on which no request begins within the idle time is
    // returned as closed.
    boost::asio::awaitable<upstream::read_result> read_header();

    // Reads a part of the body. If no part arrives within the body's idle time or before the deadline, the
    // result is rejected with the failure body_timeout.
    boost::asio::awaitable<upstream::read_result> read_body(char* data, std::size_t size,
                                                            core::instant deadline);

    // Writes all buffers. Returns false if the connection fails or the deadline passes before that.
    boost::asio::awaitable<bool> write(const upstream::write_buffers& buffers, core::instant deadline);

    // Calls the function once if the caller disconnects before stop_watching_disconnect(). Once the caller
    // has sent bytes of its next request, a disconnect is no longer detected.
    void watch_disconnect(std::function<void()> on_disconnect);
    void stop_watching_disconnect();

    // Returns whether the caller has closed its side or the connection has failed. A caller whose next bytes
    // have not been read yet counts as connected. Unlike watch_disconnect(), this sees a close that arrived
    // before the present turn of the executor.
    bool has_caller_closed();

    // Cancels pending reads and writes. The connection stays open, so that a response can still be sent.
    void cancel();

    // Ends the wait for the next request. Does nothing while a request is being read or served.
    void close_if_idle();

    // Shuts down the sending side, then discards what the caller sends until it closes, and closes. Closing
    // while bytes of the caller arrive would reset the connection, and the caller could lose the response.
    // The wait ends after peer_close_timeout or when discard_limit_bytes have been received.
    boost::asio::awaitable<void> close_gracefully();

    // Closes with a TCP reset, so that the caller cannot take a truncated response for a complete one.
    void reset_connection();

    // Makes every close a TCP reset, also the one at the end of the process.
    void set_reset_on_close(bool is_reset);

    void close();

    // Closes the connection and calls the function given to watch_disconnect(), if it is still set.
    void close_and_notify();

    upstream::message_reader<true>::parser_type& parser() { return m_reader.parser(); }
    const std::string& peer_address() const { return m_peer_address; }

private:
    caller_stream(boost::asio::ip::tcp::socket socket, const proxy_options& options);

    // What is next in the receive buffer of the socket.
    enum class peek_result { nothing, bytes, closed };

    void wait_until_readable();
    void handle_readable();
    peek_result peek();

    boost::asio::ip::tcp::socket m_socket;
    const proxy_options& m_options;
    upstream::message_reader<true> m_reader;
    // Reading and writing overlap while a body is streamed, so each has its own deadline.
    std::shared_ptr<upstream::socket_deadline> m_read_deadline;
    std::shared_ptr<upstream::socket_deadline> m_write_deadline;
    std::string m_peer_address;
    std::function<void()> m_on_disconnect;
    // Whether a wait for the socket to become readable is pending.
    bool m_is_readable_wait_pending = false;
    bool m_is_watching_disconnect = false;
    // Whether the connection waits for a request of which no byte has arrived.
    bool m_is_idle = false;
};

} // namespace quetzalspan::caller
