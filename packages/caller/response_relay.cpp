// Implements how an exchange receives, checks and relays an upstream's response.

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

// An upstream connection whose rejected response is longer than this is closed instead of read to its end.
constexpr std::uint64_t dropped_body_limit_bytes = 16 * 1024;

// Whether a response of this status can have a body.
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

asio::awaitable<std::optional<rejection>> request_exchange::receive(upstream::forwarder& exchange,
                                                                    attempt_result& result)
{
    const dispatch::message_profile& profile = m_context.options.profile;
    for (unsigned dropped = 0;; ++dropped) {
        const beast::http::response_header<>& header = exchange.response().get().base();
        result.status = header.result_int();
        result.is_draining = dispatch::is_drain_response(result.status, header, profile);
        if (!profile.load_field.empty()) {
            result.load = std::string(header[profile.load_field]);
        }
        const dispatch::response_kind kind =
            dispatch::classify_response(result.status, header, m_request_id, profile);
        if (kind == dispatch::response_kind::answer) {
            break;
        }
        const bool is_drained = co_await drain_body(exchange);
        const bool is_replaced = kind == dispatch::response_kind::foreign && is_drained &&
                                 dropped < m_context.options.foreign_response_limit;
        if (!is_replaced) {
            co_return rejection{failure_of(kind)};
        }
        core::info_event("foreign_response_dropped")
            .with("request_id", m_request_id)
            .with("status", result.status);
        const std::optional<upstream::forward_failure> unread = co_await exchange.read_header(m_is_head);
        if (unread) {
            co_return failure_of(*unread);
        }
    }
    if (m_context.options.response_buffer_bytes == 0) {
        m_has_response = true;
        co_return co_await relay_response(exchange, {});
    }
    co_return co_await receive_whole(exchange, result);
}

failure request_exchange::failure_of(dispatch::response_kind kind)
{
    switch (kind) {
    case dispatch::response_kind::shed:
        return failure::upstream_shed;
    case dispatch::response_kind::misdirected:
        return failure::misdirected;
    case dispatch::response_kind::answer:
    case dispatch::response_kind::foreign:
    case dispatch::response_kind::unverified:
        return failure::response_unverified;
    }
    core::unreachable("every kind of response has a failure");
}

asio::awaitable<bool> request_exchange::drain_body(upstream::forwarder& exchange)
{
    std::uint64_t size = 0;
    bool is_end = false;
    while (!is_end && size <= dropped_body_limit_bytes) {
        const upstream::read_result part =
            co_await exchange.read_body(m_memory.relay.data(), m_memory.relay.size());
        if (part.status != read_status::complete) {
            co_return false;
        }
        size += part.size;
        is_end = part.is_end;
    }
    co_return is_end;
}

asio::awaitable<std::optional<rejection>> request_exchange::receive_whole(upstream::forwarder& exchange,
                                                                          const attempt_result& result)
{
    std::vector<char> whole;
    bool is_end = exchange.response().is_done();
    while (!is_end && whole.size() < m_context.options.response_buffer_bytes) {
        const upstream::read_result part =
            co_await exchange.read_body(m_memory.relay.data(), m_memory.relay.size());
        if (part.status != read_status::complete) {
            co_return rejection{m_has_left ? failure::caller_left : failure::response_incomplete};
        }
        whole.insert(whole.end(), m_memory.relay.data(), m_memory.relay.data() + part.size);
        is_end = part.is_end;
    }
    // Another endpoint may succeed where this one failed; its answer is dropped only if a retry is granted.
    constexpr unsigned first_server_error = 500;
    if (result.status >= first_server_error && is_end && m_context.hooks.retry &&
        may_retry(failure::upstream_error)) {
        m_is_retry_granted = true;
        co_return rejection{failure::upstream_error};
    }
    m_has_response = true;
    co_return co_await relay_response(exchange, whole);
}

asio::awaitable<std::optional<rejection>> request_exchange::relay_response(upstream::forwarder& exchange,
                                                                           const std::vector<char>& received)
{
    beast::http::response_header<> header = std::move(exchange.response().get().base());
    const bool has_length = exchange.response().content_length().has_value();
    const bool has_body = !exchange.response().is_done();
    const bool is_received = m_context.options.response_buffer_bytes > 0 && !has_body;
    const bool is_chunked = has_body && !has_length && m_version >= 11;
    header.version(11);
    dispatch::prepare_caller_response(header, m_request_id, m_context.options.profile);
    if (is_received && !m_is_head && may_have_body(header.result_int())) {
        header.set(beast::http::field::content_length, std::to_string(received.size()));
    }
    if (is_chunked) {
        header.set(beast::http::field::transfer_encoding, "chunked");
    }
    if (header.result_int() == 204) {
        header.erase(beast::http::field::content_length);
    }
    const bool ends_by_close = has_body && !has_length && !is_chunked;
    // A request whose body is still on its way cannot share the connection with the next one.
    m_is_keep_alive = m_is_keep_alive && !ends_by_close && !m_context.is_draining.load();
    if (!m_is_keep_alive) {
        header.set(beast::http::field::connection, "close");
    } else if (m_version < 11) {
        header.set(beast::http::field::connection, "keep-alive");
    }
    m_status = header.result_int();
    m_memory.head.clear();
    append_header_text(m_memory.head, header);
    const std::optional<rejection> failed = co_await relay_body(exchange, received, is_chunked);
    co_return failed;
}

asio::awaitable<std::optional<rejection>> request_exchange::relay_body(upstream::forwarder& exchange,
                                                                       const std::vector<char>& received,
                                                                       bool is_chunked)
{
    bool is_end = exchange.response().is_done();
    bool is_head_unsent = true;
    // What was received before the relay began goes with the header.
    bool is_prefix_sent = received.empty();
    while (is_head_unsent || !is_end) {
        upstream::read_result part;
        std::optional<chunk_line> line;
        // The header waits only for a part of the body that is there already, which saves a write.
        const bool reads_body =
            !is_end && is_prefix_sent && (!is_head_unsent || exchange.has_buffered_body());
        if (reads_body) {
            part = co_await exchange.read_body(m_memory.relay.data(), m_memory.relay.size());
            is_end = part.is_end;
        }
        if (part.status != read_status::complete) {
            co_return failure_of(upstream::forward_failure::body_truncated);
        }
        upstream::write_buffers buffers;
        if (std::exchange(is_head_unsent, false)) {
            buffers.push_back(to_buffer(m_memory.head));
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
        if (is_chunked && part.size > 0) {
            line.emplace(part.size);
            buffers.push_back(to_buffer(line->text()));
        }
        buffers.push_back(asio::buffer(m_memory.relay.data(), part.size));
        if (is_chunked && part.size > 0) {
            buffers.push_back(to_buffer(chunk_end));
        }
        if (is_chunked && is_end) {
            buffers.push_back(to_buffer(last_chunk));
        }
        m_is_response_begun = true;
        const bool is_sent = co_await m_stream.write(buffers, m_summary.deadline);
        if (!is_sent) {
            m_has_left = true;
            co_return rejection{failure::caller_left};
        }
        m_response_bytes += part.size;
    }
    co_return std::nullopt;
}

} // namespace quetzalspan::caller
