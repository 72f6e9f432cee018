// Sends one request to an endpoint and reads the response, step by step. Each step has a deadline, and an
// error says exactly how far the request got.

#pragma once

#include "core/name_table.h"
#include "core/time.h"
#include "upstream/connection_pool.h"
#include "upstream/socket_deadline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/container/static_vector.hpp>

#include <memory>
#include <optional>

namespace quetzalspan::upstream
{

// How far the request got when it failed.
enum class forward_failure {
    // The address refused the connection.
    refused,
    // The connection could not be opened for another reason, or not in time.
    not_connected,
    // The pool's limit for the endpoint is reached.
    connection_limit,
    // The connection is open and not one byte of the request was written.
    nothing_written,
    // At least one byte was written and the response's header was not received.
    response_lost,
    // As response_lost, and the deadline passed.
    response_timeout,
    // What was received is no acceptable response header.
    malformed_response,
    // The header was received and the body ended early.
    body_truncated,
    // The exchange was cancelled.
    cancelled,
};

inline constexpr core::name_table forward_failure_names{std::array<core::named_value<forward_failure>, 9>{{
    {forward_failure::refused, "refused"},
    {forward_failure::not_connected, "not-connected"},
    {forward_failure::connection_limit, "connection-limit"},
    {forward_failure::nothing_written, "nothing-written"},
    {forward_failure::response_lost, "response-lost"},
    {forward_failure::response_timeout, "response-timeout"},
    {forward_failure::malformed_response, "malformed-response"},
    {forward_failure::body_truncated, "body-truncated"},
    {forward_failure::cancelled, "cancelled"},
}}};

// Returns the row of the outcome table for the failure.
dispatch::failure to_dispatch_failure(forward_failure at);

// The parts of one write: header, line of a chunk, data, end of the chunk, last chunk.
using write_buffers = boost::container::static_vector<boost::asio::const_buffer, 6>;

// One exchange. Used on one strand; writing and reading may overlap, two writes may not.
class forwarder
{
public:
    // The deadline's action is replaced for the time of the exchange.
    forwarder(connection_pool& pool, std::shared_ptr<socket_deadline> deadline);
    ~forwarder();

    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    // Takes an idle connection or opens one. The deadline holds for every later step as well.
    boost::asio::awaitable<std::optional<forward_failure>> open(const boost::asio::ip::tcp::endpoint& address,
                                                                core::instant deadline, core::instant now);

    // Moves the deadline of the steps that follow.
    void set_deadline(core::instant deadline) { m_deadline->set(deadline); }

    // Writes a part of the request.
    boost::asio::awaitable<std::optional<forward_failure>> write(const write_buffers& buffers);

    // Reads the header of the final response; interim (1xx) responses are skipped.
    boost::asio::awaitable<std::optional<forward_failure>> read_header(bool is_response_to_head);

    // Reads a part of the response's body.
    boost::asio::awaitable<read_result> read_body(char* data, std::size_t size);

    // Ends a pending step by closing the connection, which tells the upstream to stop.
    void cancel();

    // Ends the exchange. The connection is kept if the request was written whole, the response was read
    // whole, nothing was cancelled and the upstream keeps the connection open; otherwise it is closed.
    void finish(bool is_request_complete, core::instant now);

    // The response; valid after read_header() succeeded and until finish().
    message_reader<false>::parser_type& response() { return m_connection->reader().parser(); }
    bool has_buffered_body() const { return m_connection->reader().has_unread_bytes(); }
    bool is_reused() const { return m_is_reused; }
    // Whether at least one byte of the request can have reached the upstream.
    bool has_written() const { return m_has_written; }

private:
    void close();
    forward_failure failure_after_write() const;

    connection_pool& m_pool;
    std::shared_ptr<socket_deadline> m_deadline;
    boost::asio::ip::tcp::endpoint m_address;
    std::unique_ptr<connection> m_connection;
    bool m_is_reused = false;
    bool m_has_written = false;
    // Whether no step has failed; only such a connection is kept.
    bool m_is_sound = true;
    bool m_is_cancelled = false;
    bool m_is_response_complete = false;
};

} // namespace quetzalspan::upstream
