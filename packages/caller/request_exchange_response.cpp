// The part of request_exchange that receives, checks and relays an upstream's response.

#include "caller/request_exchange.h"

#include "core/check.h"
#include "core/log_event.h"
#include "dispatch/header_rules.h"

namespace quetzalspan::caller
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using dispatch::failure;
using upstream::read_status;

namespace
{

// If the body of a discarded response is longer than this, the upstream connection is closed instead of
// reading the body to its end.
constexpr std::uint64_t discarded_body_limit_bytes = 16 * 1024;

// Returns whether a response with this status can have a body.
bool may_have_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status != no_content && status != not_modified;
}

asio::const_buffer to_buffer(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

asio::awaitable<std::optional<rejection>> request_exchange::receive_response(upstream::forwarder& exchange,
                                                                             attempt_result& result)
{
    const dispatch::message_profile& profile = m_context.options.profile;
    for (unsigned other_responses = 0;; ++other_responses) {
        const beast::http::response_header<>& header = exchange.response().get().base();
        result.status = header.result_int();
        // An answer to another request also comes from this endpoint.
        result.is_draining =
            result.is_draining || dispatch::is_drain_response(result.status, header, profile);
        const std::optional<core::duration> wait =
            dispatch::find_upstream_wait(result.status, header, profile);
        result.wait = wait ? wait : result.wait;
        if (!profile.load_field.empty()) {
            result.load_report = std::string(header[profile.load_field]);
        }
        const dispatch::response_kind kind =
            dispatch::classify_response(result.status, header, m_request_id, profile);
        if (kind == dispatch::response_kind::answer || kind == dispatch::response_kind::shed ||
            kind == dispatch::response_kind::unstated_refusal) {
            result.rate_limit = dispatch::find_upstream_rate_limit(header, profile);
        }
        if (kind == dispatch::response_kind::answer) {
            break;
        }
        const bool is_body_discarded = co_await discard_body(exchange);
        const bool is_next_response_awaited = kind == dispatch::response_kind::other_request &&
                                              is_body_discarded &&
                                              other_responses < m_context.options.max_discarded_responses;
        if (!is_next_response_awaited) {
            if (failure_for(kind) == failure::response_unverified) {
                exchange.reject_response();
            }
            co_return rejection{failure_for(kind)};
        }
        core::info_event("foreign_response_dropped")
            .with("request_id", m_request_id)
            .with("status", result.status);
        const std::optional<upstream::forward_failure> read_failure =
            co_await exchange.read_header(m_is_head);
        if (read_failure) {
            co_return failure_for(*read_failure);
        }
    }
    // The header is taken before the body is read: the parser appends the trailer fields of a chunked body to
    // the fields that it holds.
    beast::http::response_header<> header = std::move(exchange.response().get().base());
    if (m_context.options.response_buffer_bytes == 0) {
        m_has_response = true;
        co_return co_await relay_response(exchange, std::move(header), {});
    }
    co_return co_await receive_whole_response(exchange, std::move(header), result);
}

failure request_exchange::failure_for(dispatch::response_kind kind)
{
    switch (kind) {
    case dispatch::response_kind::shed:
        return failure::upstream_shed;
    case dispatch::response_kind::misdirected:
        return failure::misdirected_request;
    case dispatch::response_kind::unstated_refusal:
        return failure::refusal_unstated;
    case dispatch::response_kind::answer:
    case dispatch::response_kind::other_request:
    case dispatch::response_kind::unverified:
        return failure::response_unverified;
    }
    core::unreachable("response kind without a failure");
}

asio::awaitable<bool> request_exchange::discard_body(upstream::forwarder& exchange)
{
    std::uint64_t size = 0;
    bool is_end = false;
    while (!is_end && size <= discarded_body_limit_bytes) {
        const upstream::read_result part =
            co_await exchange.read_body(m_memory.relay_buffer.data(), m_memory.relay_buffer.size());
        if (part.status != read_status::complete) {
            co_return false;
        }
        size += part.body_bytes;
        is_end = part.is_end;
    }
    co_return is_end;
}

asio::awaitable<std::optional<rejection>>
request_exchange::receive_whole_response(upstream::forwarder& exchange, beast::http::response_header<> header,
                                         const attempt_result& result)
{
    std::vector<char> body;
    bool is_end = exchange.response().is_done();
    while (!is_end && body.size() < m_context.options.response_buffer_bytes) {
        const upstream::read_result part =
            co_await exchange.read_body(m_memory.relay_buffer.data(), m_memory.relay_buffer.size());
        if (part.status != read_status::complete) {
            co_return rejection{m_has_disconnected ? failure::caller_disconnected
                                                   : failure::response_incomplete};
        }
        body.insert(body.end(), m_memory.relay_buffer.data(), m_memory.relay_buffer.data() + part.body_bytes);
        is_end = part.is_end;
    }
    // Another endpoint may succeed where this one failed. The error response is discarded only if a retry is
    // granted.
    constexpr unsigned first_server_error = 500;
    if (result.status >= first_server_error && is_end && m_context.hooks.grant_retry &&
        try_grant_retry(failure::upstream_error)) {
        m_is_retry_granted = true;
        co_return rejection{failure::upstream_error};
    }
    m_has_response = true;
    co_return co_await relay_response(exchange, std::move(header), body);
}

asio::awaitable<std::optional<rejection>>
request_exchange::relay_response(upstream::forwarder& exchange, beast::http::response_header<> header,
                                 const std::vector<char>& received)
{
    const bool has_length = exchange.response().content_length().has_value();
    const bool has_body = !exchange.response().is_done();
    const bool is_fully_received = m_context.options.response_buffer_bytes > 0 && !has_body;
    const bool is_chunked = has_body && !has_length && m_http_version >= 11;
    header.version(11);
    dispatch::prepare_caller_response(header, m_request_id, m_context.options.profile);
    if (is_fully_received && !m_is_head && may_have_body(header.result_int())) {
        header.set(beast::http::field::content_length, std::to_string(received.size()));
    }
    if (is_chunked) {
        header.set(beast::http::field::transfer_encoding, "chunked");
    }
    if (header.result_int() == 204) {
        header.erase(beast::http::field::content_length);
    }
    const bool ends_by_close = has_body && !has_length && !is_chunked;
    // A connection that delimits the response by its end cannot be kept, nor one of a draining server. A
    // request whose body is still arriving cannot share its connection with the next request either; finish()
    // checks that.
    m_is_keep_alive = m_is_keep_alive && !ends_by_close && !m_context.announces_close.load();
    if (!m_is_keep_alive) {
        header.set(beast::http::field::connection, "close");
    } else if (m_http_version < 11) {
        header.set(beast::http::field::connection, "keep-alive");
    }
    m_response_status = header.result_int();
    m_memory.header_text.clear();
    append_header_text(m_memory.header_text, header);
    // Until the body is complete, an orderly end of the connection would delimit it.
    if (ends_by_close) {
        m_stream.set_reset_on_close(true);
    }
    const std::optional<rejection> failed = co_await relay_body(exchange, received, is_chunked);
    if (ends_by_close && !failed) {
        m_stream.set_reset_on_close(false);
    }
    co_return failed;
}

asio::awaitable<std::optional<rejection>> request_exchange::relay_body(upstream::forwarder& exchange,
                                                                       const std::vector<char>& received,
                                                                       bool is_chunked)
{
    bool is_end = exchange.response().is_done();
    bool is_header_pending = true;
    // The part of the body that was received before relaying began is written together with the header.
    bool is_prefix_sent = received.empty();
    while (is_header_pending || !is_end) {
        upstream::read_result part;
        std::optional<chunk_size_line> line;
        // The header is written together with a part of the body only if that part has arrived already, which
        // saves a write. Otherwise the header is not delayed.
        const bool may_read_body =
            !is_end && is_prefix_sent && (!is_header_pending || exchange.has_buffered_body());
        if (may_read_body) {
            part = co_await exchange.read_body(m_memory.relay_buffer.data(), m_memory.relay_buffer.size());
            is_end = part.is_end;
        }
        if (part.status != read_status::complete) {
            co_return failure_for(upstream::forward_failure::body_truncated);
        }
        upstream::write_buffers buffers;
        if (std::exchange(is_header_pending, false)) {
            buffers.push_back(to_buffer(m_memory.header_text));
        }
        if (!std::exchange(is_prefix_sent, true)) {
            if (is_chunked) {
                line.emplace(received.size());
                buffers.push_back(to_buffer(line->text()));
            }
            buffers.push_back(asio::buffer(received));
            if (is_chunked) {
                buffers.push_back(to_buffer(chunk_end));
            }
            m_response_bytes += received.size();
        }
        if (is_chunked && part.body_bytes > 0) {
            line.emplace(part.body_bytes);
            buffers.push_back(to_buffer(line->text()));
        }
        buffers.push_back(asio::buffer(m_memory.relay_buffer.data(), part.body_bytes));
        if (is_chunked && part.body_bytes > 0) {
            buffers.push_back(to_buffer(chunk_end));
        }
        if (is_chunked && is_end) {
            buffers.push_back(to_buffer(last_chunk));
        }
        m_has_response_started = true;
        const bool is_sent = co_await m_stream.write(buffers, m_summary.deadline);
        if (!is_sent) {
            m_has_disconnected = true;
            co_return rejection{failure::caller_disconnected};
        }
        m_response_bytes += part.body_bytes;
    }
    co_return std::nullopt;
}

} // namespace quetzalspan::caller
