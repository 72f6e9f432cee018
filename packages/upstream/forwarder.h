// Forwards one request to an upstream endpoint and reads the response, step by step. Each step has a
// deadline, and each error states exactly how far the request got.

#pragma once

#include "core/name_table.h"
#include "core/time.h"
#include "upstream/connection_pool.h"
#include "upstream/socket_deadline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/container/static_vector.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace quetzalspan::upstream
{

// How far the request got when it failed.
enum class forward_failure {
    // The address refused the connection.
    refused,
    // The connection could not be opened for another reason, or not before the deadline.
    not_connected,
    // The connection pool has reached its limit for the endpoint.
    connection_limit,
    // No connection that the attempt may use was idle, and it may open none.
    connection_not_allowed,
    // The connection was open and failed before a byte of the request was written.
    nothing_written,
    // At least one byte of the request was written, and the connection failed before the response header was
    // complete.
    response_lost,
    // As response_lost, after the deadline passed.
    response_timeout,
    // The bytes received are not an acceptable response header, the response has status 101, or too many
    // interim responses preceded it.
    malformed_response,
    // The response header was received, and the connection failed before the body was complete. Without a
    // length or chunks, only an orderly end of the stream completes the body.
    body_truncated,
    // The exchange was cancelled.
    cancelled,
};

inline constexpr core::name_table forward_failure_names{std::array<core::named_value<forward_failure>, 10>{{
    {forward_failure::refused, "refused"},
    {forward_failure::not_connected, "not-connected"},
    {forward_failure::connection_limit, "connection-limit"},
    {forward_failure::connection_not_allowed, "connection-not-allowed"},
    {forward_failure::nothing_written, "nothing-written"},
    {forward_failure::response_lost, "response-lost"},
    {forward_failure::response_timeout, "response-timeout"},
    {forward_failure::malformed_response, "malformed-response"},
    {forward_failure::body_truncated, "body-truncated"},
    {forward_failure::cancelled, "cancelled"},
}}};

// Returns the failure under which the outcome table lists the failure of an exchange.
dispatch::failure to_dispatch_failure(forward_failure cause);

// The buffers of one write: header, chunk-size line, chunk data, end of the chunk, last chunk.
using write_buffers = boost::container::static_vector<boost::asio::const_buffer, 6>;

// One exchange: a request, its response and the connection that carries both. Used on one strand. A write and
// a read may be pending at the same time, two writes may not.
class forwarder
{
public:
    // Replaces the action of the deadline; the destructor clears it. When the deadline passes, the connection
    // is closed.
    forwarder(connection_pool& pool, std::shared_ptr<socket_deadline> deadline);
    ~forwarder();

    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    // Takes an idle connection that the filter allows from the pool or opens one. Returns the failure; no
    // value on success. The deadline applies to every later step as well. may_reconnect is asked before a
    // connection is opened in place of one that the endpoint has closed early; if it is empty, the answer is
    // yes.
    boost::asio::awaitable<std::optional<forward_failure>> open(const boost::asio::ip::tcp::endpoint& address,
                                                                core::instant deadline, core::instant now,
                                                                const connection_filter& filter,
                                                                const std::function<bool()>& may_reconnect);
    // Without a filter.
    boost::asio::awaitable<std::optional<forward_failure>> open(const boost::asio::ip::tcp::endpoint& address,
                                                                core::instant deadline, core::instant now);

    // Changes the deadline for the steps that follow.
    void set_deadline(core::instant deadline) { m_deadline->set(deadline); }

    // Writes a part of the request. Returns the failure; no value on success.
    boost::asio::awaitable<std::optional<forward_failure>> write(const write_buffers& buffers);

    // Reads the header of the final response and skips interim (1xx) responses. Returns the failure; no value
    // on success.
    boost::asio::awaitable<std::optional<forward_failure>> read_header(bool is_response_to_head);

    // Reads a part of the response body into the memory, whose size is in bytes. The status of the result
    // says whether reading failed.
    boost::asio::awaitable<read_result> read_body(char* data, std::size_t size);

    // Ends a pending step by closing the connection, which also signals the upstream to stop work on the
    // request.
    void cancel();

    // Says that the response read so far is not known to answer the request, so that the request counts as
    // unanswered and its connection is not reused.
    void reject_response();

    // Ends the exchange. Returns the connection to the pool if the whole request was written, the whole
    // response was read, nothing failed or was cancelled and the upstream keeps the connection open; closes
    // it otherwise.
    void finish(bool is_request_complete, core::instant now);

    // Returns the parser of the response; valid after read_header() succeeded and until finish().
    message_reader<false>::parser_type& response() { return m_connection->reader().parser(); }
    // Returns whether bytes were received that have not been parsed yet.
    bool has_buffered_body() const { return m_connection->reader().has_unread_bytes(); }
    // Returns whether the connection was an idle one of the pool.
    bool is_reused() const { return m_is_reused; }
    // Returns the number of the connection; valid after open() succeeded and until finish().
    std::uint64_t connection_number() const { return m_connection->number(); }
    // Returns when the connection was opened; valid after open() succeeded and until finish().
    core::instant connection_opened_at() const { return m_connection->opened_at(); }
    // Returns whether at least one byte of the request may have reached the upstream.
    bool has_written() const { return m_has_written; }

private:
    void close();
    // Makes the close of the connection a reset if a request on it has no complete response.
    void abort_unanswered();
    // Returns the failure of a step in which the connection failed before the response header was complete.
    forward_failure determine_failure() const;
    // Returns whether the end of the stream that a read has reported was sent by the upstream. The socket
    // reports a reset to one operation only: if that is the write of the request, reads report the end of the
    // stream as well.
    boost::asio::awaitable<bool> is_stream_ended_by_upstream();

    connection_pool& m_pool;
    std::shared_ptr<socket_deadline> m_deadline;
    boost::asio::ip::tcp::endpoint m_address;
    std::unique_ptr<connection> m_connection;
    bool m_is_reused = false;
    bool m_has_written = false;
    // Whether no step has failed and the connection was not closed; only such a connection is reused.
    bool m_is_usable = true;
    bool m_is_cancelled = false;
    bool m_is_response_complete = false;
    bool m_is_write_pending = false;
    // The error of the write that failed first.
    boost::system::error_code m_write_error;
    // Set while the end of the pending write is awaited, which cancels the timer.
    std::optional<boost::asio::steady_timer> m_write_end;
};

} // namespace quetzalspan::upstream
