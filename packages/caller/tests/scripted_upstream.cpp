// Accepts connections, reads requests and follows the script step by step.

#include "packages/caller/tests/scripted_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace quetzalspan::testing
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

void reset(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// Returns the response that a step sends, or an empty string if it sends none.
std::string response_text(upstream_step step, const std::string& body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    switch (step) {
    case upstream_step::answer:
    case upstream_step::answer_and_close:
        return "HTTP/1.1 200 OK\r\nQuetzal-Outcome: ran\r\nX-Upstream: yes\r\n" + length;
    case upstream_step::answer_with_excess:
        return "HTTP/1.1 200 OK\r\n" + length + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nexcess!";
    case upstream_step::answer_after_interim:
        return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + length;
    case upstream_step::answer_chunked:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
    case upstream_step::reset_within_body:
        return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body;
    case upstream_step::reset_within_chunked_body:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    case upstream_step::malformed_response:
        return "no HTTP at all\r\n\r\n";
    case upstream_step::ambiguous_response:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length;
    case upstream_step::server_error:
        return "HTTP/1.1 500 Failed\r\nQuetzal-Request-Id: own\r\n" + length;
    case upstream_step::answer_unframed:
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n\r\n" + body;
    case upstream_step::reset_within_unframed_body:
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n\r\n" + body.substr(0, 2);
    case upstream_step::answer_after_foreign:
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: other\r\nContent-Length: "
               "5\r\n\r\nalien"
               "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" +
               length;
    case upstream_step::answer_signed:
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" + length;
    case upstream_step::unstated_408:
        return "HTTP/1.1 408 Request Timeout\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" + length;
    case upstream_step::unstated_429:
        return "HTTP/1.1 429 Too Many Requests\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" + length;
    case upstream_step::unstated_503:
        return "HTTP/1.1 503 Busy\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" + length;
    case upstream_step::unstated_503_without_id:
        return "HTTP/1.1 503 Busy\r\n" + length;
    case upstream_step::shed_twice:
        return "HTTP/1.1 503 Busy\r\nQuetzal-Outcome: not-run\r\nQuetzal-Request-Id: own\r\n"
               "Content-Length: 4\r\n\r\nbusy";
    case upstream_step::misdirected_twice:
    case upstream_step::misdirected:
        return "HTTP/1.1 421 Misdirected Request\r\nQuetzal-Request-Id: own\r\nContent-Length: "
               "5\r\n\r\nother";
    case upstream_step::answer_after_refusal:
        return "HTTP/1.1 503 Busy\r\nQuetzal-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy"
               "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\n" +
               length;
    case upstream_step::close_within_header:
        return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nQuetzal-Request-Id: own\r\nContent-Length: 0\r\n";
    case upstream_step::shed:
        return "HTTP/1.1 503 Busy\r\nQuetzal-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy";
    case upstream_step::answer_early:
        return "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge";
    case upstream_step::endless_field:
        return "HTTP/1.1 200 OK\r\nX-Long: ";
    case upstream_step::endless_header:
        return "HTTP/1.1 200 OK\r\n";
    case upstream_step::endless_unframed_body:
        return "HTTP/1.1 200 OK\r\n\r\n";
    case upstream_step::endless_interim_responses:
        return "HTTP/1.1 103 Early Hints\r\n\r\n";
    case upstream_step::endless_chunk_extension:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=";
    case upstream_step::endless_body:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    case upstream_step::endless_trailer:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    case upstream_step::endless_noise:
    case upstream_step::reset_on_accept:
    case upstream_step::reset_after_header:
    case upstream_step::reset_after_running:
    case upstream_step::hang:
        return {};
    }
    return {};
}

// Returns whether the step refuses the request without running it.
bool is_refusal(upstream_step step)
{
    switch (step) {
    case upstream_step::shed:
    case upstream_step::shed_twice:
    case upstream_step::misdirected:
    case upstream_step::misdirected_twice:
    case upstream_step::answer_early:
        return true;
    default:
        return false;
    }
}

// Returns what a step without end repeats, or no value for another step.
std::optional<std::string> endless_part(upstream_step step)
{
    switch (step) {
    case upstream_step::endless_noise:
        return std::string(1024, '\0');
    case upstream_step::endless_field:
    case upstream_step::endless_chunk_extension:
    case upstream_step::endless_unframed_body:
        return std::string(1024, 'a');
    case upstream_step::endless_header:
    case upstream_step::endless_trailer:
        return "X-Field: value\r\n";
    case upstream_step::endless_interim_responses:
        return "HTTP/1.1 103 Early Hints\r\n\r\n";
    case upstream_step::endless_body:
        return "400\r\n" + std::string(1024, 'b') + "\r\n";
    default:
        return std::nullopt;
    }
}

} // namespace

std::shared_ptr<scripted_upstream> scripted_upstream::create(asio::io_context& context)
{
    const std::shared_ptr<scripted_upstream> result(new scripted_upstream(context));
    asio::co_spawn(
        context, [result] { return result->accept_connections(); }, asio::detached);
    return result;
}

scripted_upstream::scripted_upstream(asio::io_context& context)
    : m_context(context),
      m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      m_port(m_acceptor.local_endpoint().port())
{
}

void scripted_upstream::stop()
{
    asio::post(m_context, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

void scripted_upstream::set_script(std::deque<upstream_step> script)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_script = std::move(script);
}

upstream_step scripted_upstream::next_step()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const upstream_step step = m_script.front();
    if (m_script.size() > 1) {
        m_script.pop_front();
    }
    return step;
}

void scripted_upstream::record_execution(const std::string& request_id)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    ++m_executions[request_id];
}

std::uint32_t scripted_upstream::executions() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::uint32_t sum = 0;
    for (const std::pair<const std::string, std::uint32_t>& entry : m_executions) {
        sum += entry.second;
    }
    return sum;
}

std::uint32_t scripted_upstream::max_executions_per_request() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::uint32_t max_count = 0;
    for (const std::pair<const std::string, std::uint32_t>& entry : m_executions) {
        max_count = std::max(max_count, entry.second);
    }
    return max_count;
}

std::uint32_t scripted_upstream::accepted() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_accepted;
}

std::uint32_t scripted_upstream::cancelled() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_cancelled;
}

std::uint64_t scripted_upstream::endless_bytes() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_endless_bytes;
}

asio::awaitable<void> scripted_upstream::send_without_end(asio::ip::tcp::socket& socket, std::string text,
                                                          std::string part)
{
    constexpr std::uint64_t max_bytes = 512U * 1024 * 1024;
    constexpr std::size_t repetitions = 16;
    std::string block;
    for (std::size_t index = 0; index < repetitions; ++index) {
        block += part;
    }
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    std::uint64_t sent = 0;
    while (!error && sent < max_bytes) {
        sent += co_await asio::async_write(socket, asio::buffer(block),
                                           asio::redirect_error(asio::use_awaitable, error));
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_endless_bytes += sent;
    m_cancelled += error ? 1 : 0;
}

std::string scripted_upstream::last_header() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_last_header;
}

std::string scripted_upstream::last_body() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_last_body;
}

asio::awaitable<void> scripted_upstream::accept_connections()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            ++m_accepted;
        }
        asio::co_spawn(
            m_context,
            [self = shared_from_this(), accepted = std::move(socket)]() mutable {
                return self->serve(std::move(accepted));
            },
            asio::detached);
    }
}

asio::awaitable<void> scripted_upstream::serve(asio::ip::tcp::socket socket)
{
    beast::flat_buffer buffer;
    // The refusal that is sent once more before the next response.
    std::string repeated_refusal;
    while (true) {
        beast::error_code error;
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(boost::none);
        co_await beast::http::async_read_header(socket, buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const upstream_step step = next_step();
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            std::ostringstream text;
            text << parser.get().base();
            m_last_header = text.str();
        }
        if (step == upstream_step::reset_on_accept || step == upstream_step::reset_after_header) {
            reset(socket);
            co_return;
        }
        if (step != upstream_step::answer_early) {
            co_await beast::http::async_read(socket, buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                const std::lock_guard<std::mutex> guard(m_mutex);
                ++m_cancelled;
                co_return;
            }
        }
        const std::string request_id(parser.get()["Quetzal-Request-Id"]);
        if (!is_refusal(step)) {
            record_execution(request_id);
        }
        std::string body;
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_last_body = parser.get().body();
            body = std::string(parser.get().method_string()) + " " + std::string(parser.get().target()) +
                   " " + m_last_body;
        }
        if (step == upstream_step::reset_after_running || step == upstream_step::end_while_running) {
            if (step == upstream_step::end_while_running) {
                m_acceptor.close(error);
            }
            reset(socket);
            co_return;
        }
        if (step == upstream_step::hang) {
            char byte = 0;
            co_await socket.async_read_some(asio::buffer(&byte, 1),
                                            asio::redirect_error(asio::use_awaitable, error));
            const std::lock_guard<std::mutex> guard(m_mutex);
            ++m_cancelled;
            co_return;
        }
        std::string text = response_text(step, body);
        if (const std::optional<std::string> part = endless_part(step)) {
            co_await send_without_end(socket, std::move(text), *part);
            co_return;
        }
        if (parser.get().method() == beast::http::verb::head) {
            text.resize(text.find("\r\n\r\n") + 4);
        }
        text.insert(0, std::exchange(repeated_refusal, {}));
        if (step == upstream_step::misdirected_twice || step == upstream_step::shed_twice) {
            repeated_refusal = text;
        }
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (step == upstream_step::reset_within_body || step == upstream_step::reset_within_chunked_body) {
            // A close instead of a reset, so that the bytes written so far are delivered. The rest of the
            // body is never sent.
            socket.close(error);
            co_return;
        }
        if (step == upstream_step::answer_early) {
            std::array<char, 4096> discarded{};
            while (!error) {
                co_await socket.async_read_some(asio::buffer(discarded),
                                                asio::redirect_error(asio::use_awaitable, error));
            }
            const std::lock_guard<std::mutex> guard(m_mutex);
            ++m_cancelled;
            co_return;
        }
        if (step == upstream_step::reset_within_unframed_body) {
            reset(socket);
            co_return;
        }
        if (step == upstream_step::answer_unframed || step == upstream_step::close_within_header ||
            step == upstream_step::answer_and_close || step == upstream_step::malformed_response ||
            step == upstream_step::ambiguous_response) {
            socket.close(error);
            co_return;
        }
    }
}

} // namespace quetzalspan::testing
