// Opens the connection of an exchange, writes the request, reads the response and classifies failures.

#include "upstream/forwarder.h"

#include "core/check.h"
#include "http/status.h"

#include <boost/asio/write.hpp>

namespace quetzalspan::upstream
{

namespace asio = boost::asio;

dispatch::failure to_dispatch_failure(forward_failure cause)
{
    switch (cause) {
    case forward_failure::refused:
    case forward_failure::not_connected:
    case forward_failure::connection_limit:
    case forward_failure::connection_not_allowed:
        return dispatch::failure::connect_failed;
    case forward_failure::nothing_written:
        return dispatch::failure::nothing_written;
    case forward_failure::response_lost:
        return dispatch::failure::response_lost;
    case forward_failure::response_timeout:
        return dispatch::failure::response_timeout;
    case forward_failure::malformed_response:
        return dispatch::failure::malformed_response;
    case forward_failure::body_truncated:
        return dispatch::failure::body_truncated;
    case forward_failure::cancelled:
        return dispatch::failure::caller_disconnected;
    }
    core::unreachable("every failure of an exchange must have a row in the outcome table");
}

forwarder::forwarder(connection_pool& pool, std::shared_ptr<socket_deadline> deadline)
    : m_pool(pool), m_deadline(std::move(deadline))
{
    m_deadline->set_expiry_handler([this] { close(); });
}

forwarder::~forwarder()
{
    m_deadline->clear();
    m_deadline->set_expiry_handler(nullptr);
    if (m_connection) {
        abort_unanswered();
        m_pool.discard(m_address, std::move(m_connection));
    }
}

void forwarder::abort_unanswered()
{
    if (m_has_written && !m_is_response_complete) {
        // After an ordinary close, the kernel would go on sending the request until it is acknowledged, so
        // that one held up by a network partition ran long after it was given up.
        boost::system::error_code ignored;
        m_connection->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

void forwarder::close()
{
    m_is_usable = false;
    if (m_connection) {
        abort_unanswered();
        boost::system::error_code ignored;
        m_connection->socket().close(ignored);
    }
}

void forwarder::cancel()
{
    m_is_cancelled = true;
    close();
}

asio::awaitable<std::optional<forward_failure>> forwarder::open(const asio::ip::tcp::endpoint& address,
                                                                core::instant deadline, core::instant now,
                                                                const connection_filter& filter,
                                                                const std::function<bool()>& may_reconnect)
{
    core::check(!m_connection, "an exchange can open only one connection");
    m_address = address;
    m_deadline->set(deadline);
    idle_result idle = m_pool.take_idle(address, now, filter);
    if (idle.handle) {
        m_connection = std::move(idle.handle);
        m_is_reused = true;
        co_return std::nullopt;
    }
    // The early close is reported even if no connection may be opened.
    const bool is_reconnect_refused = idle.was_closed_early && may_reconnect && !may_reconnect();
    if (filter.opened_until || is_reconnect_refused) {
        co_return forward_failure::connection_not_allowed;
    }
    m_connection = m_pool.create_connection(address);
    if (!m_connection) {
        co_return forward_failure::connection_limit;
    }
    boost::system::error_code error;
    co_await m_connection->socket().async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (m_is_cancelled) {
        co_return forward_failure::cancelled;
    }
    if (error || !m_is_usable) {
        m_is_usable = false;
        co_return error == asio::error::connection_refused ? forward_failure::refused
                                                           : forward_failure::not_connected;
    }
    m_connection->initialize(std::chrono::steady_clock::now());
    co_return std::nullopt;
}

asio::awaitable<std::optional<forward_failure>> forwarder::open(const asio::ip::tcp::endpoint& address,
                                                                core::instant deadline, core::instant now)
{
    const connection_filter any_connection;
    const std::function<bool()> always;
    const std::optional<forward_failure> failed =
        co_await open(address, deadline, now, any_connection, always);
    co_return failed;
}

forward_failure forwarder::determine_failure() const
{
    if (m_is_cancelled) {
        return forward_failure::cancelled;
    }
    if (!m_has_written) {
        return forward_failure::nothing_written;
    }
    return m_deadline->has_expired() ? forward_failure::response_timeout : forward_failure::response_lost;
}

asio::awaitable<std::optional<forward_failure>> forwarder::write(const write_buffers& buffers)
{
    boost::system::error_code error;
    m_is_write_pending = true;
    const std::size_t written = co_await asio::async_write(m_connection->socket(), buffers,
                                                           asio::redirect_error(asio::use_awaitable, error));
    m_is_write_pending = false;
    m_write_error = m_write_error ? m_write_error : error;
    if (m_write_end) {
        m_write_end->cancel();
    }
    m_has_written = m_has_written || written > 0;
    if (error || !m_is_usable) {
        m_is_usable = false;
        co_return determine_failure();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<forward_failure>> forwarder::read_header(bool is_response_to_head)
{
    const std::function<void()> no_action;
    for (unsigned count = 0; count <= http::max_interim_responses; ++count) {
        const read_result header = co_await m_connection->reader().read_header(
            m_connection->socket(), no_action, is_response_to_head);
        if (header.status == read_status::rejected) {
            m_is_usable = false;
            co_return forward_failure::malformed_response;
        }
        if (header.status != read_status::complete) {
            m_is_usable = false;
            co_return determine_failure();
        }
        switch (http::classify_status(response().get().result_int())) {
        case http::status_class::invalid:
            m_is_usable = false;
            co_return forward_failure::malformed_response;
        case http::status_class::interim:
            break;
        case http::status_class::final_response:
            m_is_response_complete = header.is_end;
            co_return std::nullopt;
        }
    }
    m_is_usable = false;
    co_return forward_failure::malformed_response;
}

asio::awaitable<bool> forwarder::is_stream_ended_by_upstream()
{
    // The write may have got the error already although its coroutine has not been resumed yet.
    if (m_is_write_pending && m_connection->has_failed()) {
        m_write_end.emplace(m_connection->socket().get_executor(), core::instant::max());
        while (m_is_write_pending) {
            boost::system::error_code ignored;
            co_await m_write_end->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    // Linux reports a reset that follows the end of the stream as EPIPE, and any other failure of a
    // connection with another error.
    co_return !m_write_error || m_write_error == asio::error::broken_pipe;
}

asio::awaitable<read_result> forwarder::read_body(char* data, std::size_t size)
{
    if (m_is_response_complete) {
        co_return read_result{read_status::complete, {}, 0, true};
    }
    read_result part = co_await m_connection->reader().read_body(m_connection->socket(), data, size);
    const bool is_ended_by_stream =
        part.is_end && part.status == read_status::complete && response().need_eof();
    if (is_ended_by_stream) {
        const bool is_whole = co_await is_stream_ended_by_upstream();
        part.status = is_whole ? read_status::complete : read_status::interrupted;
    }
    m_is_response_complete = part.is_end && part.status == read_status::complete;
    if (part.status != read_status::complete) {
        m_is_usable = false;
    }
    co_return part;
}

void forwarder::reject_response()
{
    m_is_usable = false;
    m_is_response_complete = false;
}

void forwarder::finish(bool is_request_complete, core::instant now)
{
    m_deadline->clear();
    if (!m_connection) {
        return;
    }
    const bool may_reuse = is_request_complete && m_is_usable && m_is_response_complete &&
                           !m_connection->reader().has_unread_bytes() && response().keep_alive();
    if (may_reuse) {
        m_pool.put_idle(m_address, std::move(m_connection), now);
    } else {
        abort_unanswered();
        m_pool.discard(m_address, std::move(m_connection));
    }
}

} // namespace quetzalspan::upstream
