// Reads HTTP/1.1 messages one after another from a socket: the whole header at once, then the body in parts.
// The text of the header is checked before the HTTP parser reads it.

#pragma once

#include "dispatch/header_rules.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string_view>

namespace quetzalspan::upstream
{

// How reading a header or a part of a body ended.
enum class read_status {
    complete,
    // The peer closed the connection before the first byte of the message.
    closed,
    // The connection failed, was closed or was cancelled within the message.
    interrupted,
    // The message is invalid or too large; read_result::fault says why.
    rejected,
};

struct read_result {
    read_status status = read_status::complete;
    // Why the message was rejected; meaningful only with read_status::rejected.
    dispatch::failure fault = dispatch::failure::malformed_header;
    // The number of body bytes that were stored.
    std::size_t body_bytes = 0;
    // Whether the message is complete.
    bool is_end = false;
};

// Used by one coroutine at a time. IsRequest selects whether requests or responses are read.
template <bool IsRequest>
class message_reader
{
public:
    using parser_type = boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;

    // Messages whose header or body is larger than the limit are rejected.
    message_reader(std::uint32_t header_limit_bytes, std::uint64_t body_limit_bytes)
        : m_header_limit_bytes(header_limit_bytes), m_body_limit_bytes(body_limit_bytes)
    {
    }

    // Reads the header of the next message. Calls on_first_byte, which may be empty, once the first byte of
    // the message is available. has_no_body says that the message ends with its header whatever the header
    // declares, as the response to HEAD does.
    boost::asio::awaitable<read_result> read_header(boost::asio::ip::tcp::socket& socket,
                                                    const std::function<void()>& on_first_byte,
                                                    bool has_no_body = false);

    // Reads a part of the body into data, whose size in bytes must not be 0. Returns when at least one byte
    // was stored or the message is complete.
    boost::asio::awaitable<read_result> read_body(boost::asio::ip::tcp::socket& socket, char* data,
                                                  std::size_t size);

    // Return the parser of the present message; valid after a header was read and until the next one is read.
    parser_type& parser() { return *m_parser; }
    const parser_type& parser() const { return *m_parser; }

    // Returns whether bytes were received that no message has consumed.
    bool has_unread_bytes() const { return m_buffer.size() > 0; }

private:
    static constexpr std::size_t read_size_bytes = 16 * 1024;
    static constexpr std::size_t npos = std::string_view::npos;

    // Returns the size in bytes of the header at the start of the buffer, or npos while its end has not been
    // received. Skips the bytes that earlier calls have searched, and updates their number.
    std::size_t find_header_end(std::size_t& searched_bytes) const;
    // Checks and parses the header of this size at the start of the buffer, and consumes it.
    read_result parse_header(std::size_t size, bool has_no_body);
    static dispatch::failure to_failure(const boost::beast::error_code& error, bool is_header);

    // Parses received bytes into the memory that was passed to read_body() and has this size in bytes.
    read_result parse_body(std::size_t size);

    std::uint32_t m_header_limit_bytes;
    std::uint64_t m_body_limit_bytes;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser_type> m_parser;
};

template <bool IsRequest>
std::size_t message_reader<IsRequest>::find_header_end(std::size_t& searched_bytes) const
{
    constexpr std::string_view header_terminator = "\r\n\r\n";
    const std::string_view text(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
    const std::size_t begin =
        searched_bytes > header_terminator.size() ? searched_bytes - header_terminator.size() : 0;
    searched_bytes = text.size();
    const std::size_t position = text.find(header_terminator, begin);
    return position == npos ? npos : position + header_terminator.size();
}

template <bool IsRequest>
dispatch::failure message_reader<IsRequest>::to_failure(const boost::beast::error_code& error, bool is_header)
{
    if (error == boost::beast::http::error::body_limit) {
        return dispatch::failure::body_too_large;
    }
    if (error == boost::beast::http::error::header_limit) {
        return dispatch::failure::header_too_large;
    }
    return is_header ? dispatch::failure::malformed_header : dispatch::failure::malformed_body;
}

template <bool IsRequest>
read_result message_reader<IsRequest>::parse_header(std::size_t size, bool has_no_body)
{
    const std::string_view block(static_cast<const char*>(m_buffer.data().data()), size);
    const dispatch::message_kind kind =
        IsRequest ? dispatch::message_kind::request : dispatch::message_kind::response;
    if (const std::optional<dispatch::failure> fault = dispatch::check_header_block(block, kind)) {
        return {read_status::rejected, *fault, 0, false};
    }
    m_parser.emplace();
    m_parser->eager(false);
    m_parser->skip(has_no_body);
    m_parser->header_limit(std::numeric_limits<std::uint32_t>::max());
    m_parser->body_limit(m_body_limit_bytes);
    boost::beast::error_code error;
    const std::size_t consumed = m_parser->put(boost::asio::buffer(block.data(), block.size()), error);
    if (error || !m_parser->is_header_done()) {
        return {read_status::rejected, to_failure(error, true), 0, false};
    }
    m_buffer.consume(consumed);
    return {read_status::complete, {}, 0, m_parser->is_done()};
}

template <bool IsRequest>
boost::asio::awaitable<read_result>
message_reader<IsRequest>::read_header(boost::asio::ip::tcp::socket& socket,
                                       const std::function<void()>& on_first_byte, bool has_no_body)
{
    std::size_t searched_bytes = 0;
    bool has_first_byte = m_buffer.size() > 0;
    if (has_first_byte && on_first_byte) {
        on_first_byte();
    }
    while (true) {
        const std::size_t size = find_header_end(searched_bytes);
        if ((size == npos && m_buffer.size() >= m_header_limit_bytes) ||
            (size != npos && size > m_header_limit_bytes)) {
            co_return read_result{read_status::rejected, dispatch::failure::header_too_large, 0, false};
        }
        if (size != npos) {
            co_return parse_header(size, has_no_body);
        }
        boost::beast::error_code error;
        const std::size_t received =
            co_await socket.async_read_some(m_buffer.prepare(read_size_bytes),
                                            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        m_buffer.commit(received);
        if (error) {
            const bool is_closed = error == boost::asio::error::eof && m_buffer.size() == 0;
            co_return read_result{is_closed ? read_status::closed : read_status::interrupted, {}, 0, false};
        }
        if (!has_first_byte) {
            has_first_byte = true;
            if (on_first_byte) {
                on_first_byte();
            }
        }
    }
}

template <bool IsRequest>
read_result message_reader<IsRequest>::parse_body(std::size_t size)
{
    boost::beast::http::buffer_body::value_type& body = m_parser->get().body();
    while (m_buffer.size() > 0 && body.size > 0 && !m_parser->is_done()) {
        boost::beast::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == boost::beast::http::error::need_more ||
            error == boost::beast::http::error::need_buffer) {
            break;
        }
        if (error) {
            return {read_status::rejected, to_failure(error, false), 0, false};
        }
    }
    return {read_status::complete, {}, size - body.size, m_parser->is_done()};
}

template <bool IsRequest>
boost::asio::awaitable<read_result> message_reader<IsRequest>::read_body(boost::asio::ip::tcp::socket& socket,
                                                                         char* data, std::size_t size)
{
    if (m_parser->is_done()) {
        co_return read_result{read_status::complete, {}, 0, true};
    }
    boost::beast::http::buffer_body::value_type& body = m_parser->get().body();
    body.data = data;
    body.size = size;
    body.more = true;
    while (true) {
        const read_result parsed = parse_body(size);
        if (parsed.status != read_status::complete || parsed.body_bytes > 0 || parsed.is_end) {
            co_return parsed;
        }
        // A chunk-size line is not body data: without this check a long line would fill the buffer without
        // limit.
        if (m_buffer.size() >= m_header_limit_bytes + read_size_bytes) {
            co_return read_result{read_status::rejected, dispatch::failure::malformed_body, 0, false};
        }
        boost::beast::error_code error;
        const std::size_t received =
            co_await socket.async_read_some(m_buffer.prepare(read_size_bytes),
                                            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        m_buffer.commit(received);
        if (error == boost::asio::error::eof) {
            boost::beast::error_code incomplete;
            m_parser->put_eof(incomplete);
            if (!incomplete) {
                co_return read_result{read_status::complete, {}, 0, true};
            }
        }
        if (error) {
            co_return read_result{read_status::interrupted, {}, 0, false};
        }
    }
}

} // namespace quetzalspan::upstream
