// A test upstream that fails at a chosen step of each request and counts the requests that it runs.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace quetzalspan::testing
{

enum class upstream_step {
    answer,
    // Resets the connection after the request header, like reset_after_header.
    reset_on_accept,
    // Resets the connection after the request header, before the request runs.
    reset_after_header,
    // Runs the request and resets the connection without a response.
    reset_after_running,
    // Runs the request, closes the listener and resets the connection, like a process that ends.
    end_while_running,
    // Runs the request and closes the connection within the body of the response.
    reset_within_body,
    // Like reset_within_body, with a chunked body.
    reset_within_chunked_body,
    // Runs the request and sends a header that is not HTTP.
    malformed_response,
    // Runs the request and sends a header with both Transfer-Encoding and Content-Length.
    ambiguous_response,
    // Runs the request and sends 500.
    server_error,
    // Run the request and send a body that only the end of the connection delimits: a regular close after the
    // whole body, or a reset within it.
    answer_unframed,
    reset_within_unframed_body,
    // Runs the request and sends a response to another request before the response to this one.
    answer_after_foreign,
    // Runs the request and sends a refusal without a request identifier before the response.
    answer_after_refusal,
    // Run the request and send a refusal with the signature and the request identifier that does not state
    // that the request was not run.
    unstated_408,
    unstated_429,
    unstated_503,
    // Runs the request and sends an unstated refusal without signature and request identifier.
    unstated_503_without_id,
    // Runs the request and closes the connection within the header of the response.
    close_within_header,
    // Sends 421, as an endpoint that has taken over the address of another one, and does not run the request.
    misdirected,
    // Like misdirected, or sends 503 with the outcome not-run and the request identifier. The refusal is sent
    // once more when the next request has arrived on the connection, before the response to that one.
    misdirected_twice,
    shed_twice,
    // Sends 503 with the outcome not-run, and does not run the request.
    shed,
    // Runs the request and sends no response.
    hang,
    // Runs the request and sends a signed response with the request identifier.
    answer_signed,
    // Runs the request, sends the response and closes the connection without announcing it.
    answer_and_close,
    // Runs the request and sends, after the response, a second one that belongs to no request.
    answer_with_excess,
    // Runs the request and sends an interim response (103) before the final one.
    answer_after_interim,
    // Runs the request and sends a complete chunked response.
    answer_chunked,
    // Run the request and send bytes without end, until the peer closes: bytes that are not HTTP, a field in
    // the header, fields in the header, interim responses, an extension of a chunk, a chunked body, a body
    // that only the end of the connection delimits, fields after the last chunk.
    endless_noise,
    endless_field,
    endless_header,
    endless_interim_responses,
    endless_chunk_extension,
    endless_body,
    endless_unframed_body,
    endless_trailer,
    // Sends 413 after the request header, without running the request, and discards what follows until the
    // peer closes.
    answer_early,
};

class scripted_upstream : public std::enable_shared_from_this<scripted_upstream>
{
public:
    static std::shared_ptr<scripted_upstream> create(boost::asio::io_context& context);

    // Sets the steps of the following requests, one per request. The last step is repeated. The script must
    // not be empty.
    void set_script(std::deque<upstream_step> script);
    void stop();

    std::uint16_t port() const { return m_port; }
    // Number of requests that were run: in total, and the maximum for a single Quetzal-Request-Id.
    std::uint32_t executions() const;
    std::uint32_t max_executions_per_request() const;
    std::uint32_t accepted() const;
    // Header and body of the last request, as received.
    std::string last_header() const;
    std::string last_body() const;
    // Number of requests whose connection the peer closed early: within the body, while the upstream hung, or
    // after an early response.
    std::uint32_t cancelled() const;
    // Bytes that were sent by the steps without end.
    std::uint64_t endless_bytes() const;

private:
    explicit scripted_upstream(boost::asio::io_context& context);

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    upstream_step next_step();
    // Sends the text and then the part over and over until the peer closes, at most a number of bytes that no
    // reader with limits takes.
    boost::asio::awaitable<void> send_without_end(boost::asio::ip::tcp::socket& socket, std::string text,
                                                  std::string part);
    void record_execution(const std::string& request_id);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    mutable std::mutex m_mutex;
    std::deque<upstream_step> m_script{upstream_step::answer};
    std::map<std::string, std::uint32_t> m_executions;
    std::uint32_t m_accepted = 0;
    std::uint32_t m_cancelled = 0;
    std::uint64_t m_endless_bytes = 0;
    std::string m_last_header;
    std::string m_last_body;
};

} // namespace quetzalspan::testing
