// Transfers the body of a caller's request to the upstream. A body up to the replay limit is read completely
// first, so that it can be sent again; a longer one is streamed.

#pragma once

#include "caller/caller_stream.h"
#include "caller/message_text.h"
#include "caller/proxy_options.h"
#include "upstream/forwarder.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace quetzalspan::caller
{

// Used only on the strand of the caller's connection.
class request_body
{
public:
    // The header of the request must have been read from the stream, which must outlive this object.
    request_body(caller_stream& stream, const proxy_options& options,
                 const boost::asio::any_io_executor& strand, bool is_continue_expected,
                 core::instant deadline);

    // Reads the body up to the replay limit; a body whose announced length exceeds the limit is not read yet.
    // Returns the failure if the body cannot be read, after which the request cannot be served.
    boost::asio::awaitable<std::optional<dispatch::failure>> read_prefix();

    // Sets Content-Length or Transfer-Encoding of the request that is sent to the upstream.
    void set_framing(boost::beast::http::fields& fields) const;

    // Appends what read_prefix() has read, as a chunk if the body is sent chunked.
    void append_prefix(upstream::write_buffers& buffers);

    // Starts to stream the part of the body that was not read yet to the upstream. The function is called
    // once the body is complete; if it is complete already, before start_upload() returns.
    void start_upload(upstream::forwarder& exchange, std::function<void()> on_complete);

    // Cancels the upload, if one is running, and waits until it has ended.
    boost::asio::awaitable<void> stop_upload();

    // Reads and discards the rest of the body if its announced length is within the discard limit. Returns
    // whether the connection can carry another request.
    boost::asio::awaitable<bool> discard();

    // Whether the body has been read completely from the caller.
    bool is_complete() const { return m_is_complete; }
    bool is_uploading() const { return m_is_upload_running; }
    // Whether the body has been read completely and no write of it to the upstream has failed.
    bool is_uploaded() const { return m_is_complete && !m_has_upload_failed; }
    // Whether streaming has not begun, so that another attempt can send the body from its beginning.
    bool is_replayable() const { return !m_has_streamed; }
    // Why reading from the caller ended early; no value if it did not.
    std::optional<dispatch::failure> fault() const { return m_fault; }
    std::uint64_t size() const { return m_size; }
    // What read_prefix() has read, and the announced length; no value for a chunked body.
    std::string_view prefix() const { return {m_prefix.data(), m_prefix.size()}; }
    std::optional<std::uint64_t> announced_length() const { return m_content_length; }

private:
    boost::asio::awaitable<std::optional<dispatch::failure>> send_continue();
    boost::asio::awaitable<void> upload(upstream::forwarder& exchange, std::function<void()> on_complete);
    boost::asio::awaitable<void> upload_parts(upstream::forwarder& exchange);
    static dispatch::failure to_failure(const upstream::read_result& part);

    caller_stream& m_stream;
    const proxy_options& m_options;
    boost::asio::any_io_executor m_strand;
    core::instant m_deadline;
    // Bytes read before the request was dispatched; at most replay_limit_bytes.
    std::vector<char> m_prefix;
    std::optional<std::uint64_t> m_content_length;
    bool m_is_chunked = false;
    bool m_is_continue_expected = false;
    bool m_is_complete = false;
    bool m_has_streamed = false;
    bool m_is_upload_running = false;
    bool m_is_upload_stop_requested = false;
    bool m_has_upload_failed = false;
    std::optional<dispatch::failure> m_fault;
    std::uint64_t m_size = 0;
    // Cancelled when the upload ends, to wake up stop_upload().
    boost::asio::steady_timer m_upload_end_timer;
    // Keeps the text to which the buffers of append_prefix() refer.
    std::optional<chunk_size_line> m_prefix_size_line;
};

} // namespace quetzalspan::caller
