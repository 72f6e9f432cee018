// Reads a request body from the caller, streams it to an upstream, and sends 100 Continue before the first
// read.

#include "caller/request_body.h"

#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace quetzalspan::caller
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using upstream::read_result;
using upstream::read_status;

namespace
{

constexpr std::string_view continue_text = "HTTP/1.1 100 Continue\r\n\r\n";

asio::const_buffer to_buffer(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

request_body::request_body(caller_stream& stream, const proxy_options& options,
                           const asio::any_io_executor& strand, bool is_continue_expected,
                           core::instant deadline)
    : m_stream(stream),
      m_options(options),
      m_strand(strand),
      m_deadline(deadline),
      m_is_chunked(stream.parser().chunked()),
      m_is_continue_expected(is_continue_expected),
      m_is_complete(stream.parser().is_done()),
      m_upload_end_timer(strand)
{
    const boost::optional<std::uint64_t> length = stream.parser().content_length();
    if (length) {
        m_content_length = *length;
    }
}

dispatch::failure request_body::to_failure(const read_result& part)
{
    return part.status == read_status::rejected ? part.fault : dispatch::failure::caller_disconnected;
}

asio::awaitable<std::optional<dispatch::failure>> request_body::send_continue()
{
    if (!std::exchange(m_is_continue_expected, false)) {
        co_return std::nullopt;
    }
    upstream::write_buffers buffers;
    buffers.push_back(to_buffer(continue_text));
    const bool is_sent = co_await m_stream.write(buffers, m_deadline);
    if (!is_sent) {
        co_return dispatch::failure::caller_disconnected;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<dispatch::failure>> request_body::read_prefix()
{
    if (m_is_complete || (m_content_length && *m_content_length > m_options.replay_limit_bytes)) {
        co_return std::nullopt;
    }
    const std::optional<dispatch::failure> send_failure = co_await send_continue();
    if (send_failure) {
        co_return send_failure;
    }
    while (!m_is_complete && m_prefix.size() < m_options.replay_limit_bytes) {
        const std::size_t begin = m_prefix.size();
        const std::size_t capacity =
            m_content_length ? static_cast<std::size_t>(*m_content_length) - begin
                             : std::min(m_options.relay_buffer_bytes, m_options.replay_limit_bytes - begin);
        m_prefix.resize(begin + capacity);
        const read_result part = co_await m_stream.read_body(m_prefix.data() + begin, capacity, m_deadline);
        m_prefix.resize(begin + part.body_bytes);
        if (part.status != read_status::complete) {
            m_fault = to_failure(part);
            co_return m_fault;
        }
        m_size += part.body_bytes;
        m_is_complete = part.is_end;
    }
    co_return std::nullopt;
}

void request_body::set_framing(beast::http::fields& fields) const
{
    if (m_content_length) {
        fields.set(beast::http::field::content_length, std::to_string(*m_content_length));
    } else if (m_is_chunked && m_is_complete && !m_has_streamed) {
        fields.set(beast::http::field::content_length, std::to_string(m_prefix.size()));
    } else if (m_is_chunked) {
        fields.set(beast::http::field::transfer_encoding, "chunked");
    }
}

void request_body::append_prefix(upstream::write_buffers& buffers)
{
    if (m_prefix.empty()) {
        return;
    }
    if (m_is_complete || m_content_length) {
        buffers.push_back(asio::buffer(m_prefix));
        return;
    }
    m_prefix_size_line.emplace(m_prefix.size());
    buffers.push_back(to_buffer(m_prefix_size_line->text()));
    buffers.push_back(asio::buffer(m_prefix));
    buffers.push_back(to_buffer(chunk_end));
}

void request_body::start_upload(upstream::forwarder& exchange, std::function<void()> on_complete)
{
    if (m_is_complete) {
        on_complete();
        return;
    }
    m_is_upload_running = true;
    m_has_streamed = true;
    m_upload_end_timer.expires_at(core::instant::max());
    asio::co_spawn(m_strand, upload(exchange, std::move(on_complete)), asio::detached);
}

asio::awaitable<void> request_body::upload(upstream::forwarder& exchange, std::function<void()> on_complete)
{
    try {
        co_await upload_parts(exchange);
    } catch (const std::exception& error) {
        core::error_event("upload_failed").with("error", error.what());
        m_has_upload_failed = true;
        exchange.cancel();
    }
    m_is_upload_running = false;
    if (m_is_complete && !m_is_upload_stop_requested) {
        on_complete();
    }
    m_upload_end_timer.cancel();
}

asio::awaitable<void> request_body::upload_parts(upstream::forwarder& exchange)
{
    const std::optional<dispatch::failure> send_failure = co_await send_continue();
    if (send_failure) {
        m_fault = send_failure;
        exchange.cancel();
        co_return;
    }
    std::vector<char> memory(m_options.relay_buffer_bytes);
    while (!m_is_complete && !m_is_upload_stop_requested) {
        const read_result part = co_await m_stream.read_body(memory.data(), memory.size(), m_deadline);
        if (m_is_upload_stop_requested) {
            co_return;
        }
        if (part.status != read_status::complete) {
            m_fault = to_failure(part);
            exchange.cancel();
            co_return;
        }
        m_size += part.body_bytes;
        m_is_complete = part.is_end;
        upstream::write_buffers buffers;
        std::optional<chunk_size_line> line;
        if (part.body_bytes > 0 && m_is_chunked) {
            line.emplace(part.body_bytes);
            buffers.push_back(to_buffer(line->text()));
        }
        buffers.push_back(asio::buffer(memory.data(), part.body_bytes));
        if (part.body_bytes > 0 && m_is_chunked) {
            buffers.push_back(to_buffer(chunk_end));
        }
        if (m_is_complete && m_is_chunked) {
            buffers.push_back(to_buffer(last_chunk));
        }
        const std::optional<upstream::forward_failure> failed = co_await exchange.write(buffers);
        // An upstream that stops reading may have sent a response already. Reading that response decides the
        // result of the attempt, so a failed write does not cancel the exchange.
        if (failed) {
            m_has_upload_failed = true;
            co_return;
        }
    }
}

asio::awaitable<void> request_body::stop_upload()
{
    if (!m_is_upload_running) {
        co_return;
    }
    m_is_upload_stop_requested = true;
    m_stream.cancel();
    while (m_is_upload_running) {
        boost::system::error_code ignored;
        co_await m_upload_end_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> request_body::discard()
{
    // A body for which 100 Continue was never sent cannot be discarded: after a final response the caller may
    // send it or not, so the start of the next request is not known.
    if (m_is_complete) {
        co_return true;
    }
    const bool is_small = m_content_length && *m_content_length <= m_options.discard_limit_bytes;
    if (!is_small || m_is_continue_expected || m_fault || m_is_upload_stop_requested) {
        co_return false;
    }
    std::array<char, 4096> discarded{};
    const core::instant deadline = std::chrono::steady_clock::now() + m_options.response_write_timeout;
    while (!m_is_complete) {
        const read_result part = co_await m_stream.read_body(discarded.data(), discarded.size(), deadline);
        if (part.status != read_status::complete) {
            co_return false;
        }
        m_is_complete = part.is_end;
    }
    co_return true;
}

} // namespace quetzalspan::caller
