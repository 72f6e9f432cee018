// An upstream for tests that fails at a chosen step of each request and counts what it ran.

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
    // Resets the connection when it is accepted.
    reset_on_accept,
    // Resets after the header, before the request runs.
    reset_after_header,
    // Runs the request and resets.
    reset_after_running,
    // Runs the request and resets within the body of the response.
    reset_within_body,
    // As reset_within_body, with a chunked body.
    reset_within_chunked_body,
    // Runs the request and answers with a header that is no HTTP.
    malformed_response,
    ambiguous_response,
    // Runs the request and answers 500.
    server_error,
    // Runs the request and ends a body without length by closing, or by a reset in the middle of it.
    answer_unframed,
    reset_within_unframed_body,
    // Answers for another request first, and then for this one.
    answer_after_foreign,
    // Answers 421: another endpoint has the address.
    misdirected,
    // Answers that the request was not run.
    shed,
    // Runs the request and never answers.
    hang,
    // Answers and closes the connection without announcing it.
    answer_and_close,
    // Answers with bytes after the response that belong to no request.
    answer_with_excess,
    // Answers with an interim response before the final one.
    answer_after_interim,
    answer_chunked,
    // Answers 413 from the header alone and drops what follows until the peer closes.
    answer_early,
};

class scripted_upstream : public std::enable_shared_from_this<scripted_upstream>
{
public:
    static std::shared_ptr<scripted_upstream> create(boost::asio::io_context& context);

    // The steps of the following requests; the last one stays.
    void set_script(std::deque<upstream_step> script);
    void stop();

    std::uint16_t port() const { return m_port; }
    // How often requests ran, by Quetzal-Request-Id and in total.
    std::uint32_t executions() const;
    std::uint32_t most_executions_of_one() const;
    std::uint32_t accepted() const;
    // The header of the last request, as received, and its body.
    std::string last_header() const;
    std::string last_body() const;
    // Requests whose connection the peer closed before an answer.
    std::uint32_t cancelled() const;

private:
    explicit scripted_upstream(boost::asio::io_context& context);

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    upstream_step next_step();
    void record_execution(const std::string& header);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    mutable std::mutex m_guard;
    std::deque<upstream_step> m_script{upstream_step::answer};
    std::map<std::string, std::uint32_t> m_executions;
    std::uint32_t m_accepted = 0;
    std::uint32_t m_cancelled = 0;
    std::string m_last_header;
    std::string m_last_body;
};

} // namespace quetzalspan::testing
