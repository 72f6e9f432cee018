// Accepts connections and serves requests one after another on each with Boost.Beast and coroutines.

#include "http/server.h"

#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace quetzalspan::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast_request = beast::http::request<beast::http::string_body>;
using beast_response = beast::http::response<beast::http::string_body>;

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay(50);

request to_request(beast_request&& message)
{
    request result;
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    for (const beast_request::value_type& field : message) {
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    result.body = std::move(message.body());
    return result;
}

beast_response to_beast(response&& answer, bool keep_alive)
{
    beast_response message(beast::http::int_to_status(answer.status), 11);
    message.set(beast::http::field::content_type, answer.content_type);
    for (const header& field : answer.headers) {
        message.set(field.name, field.value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    return message;
}

response make_error_response(unsigned status, std::string_view message)
{
    response answer;
    answer.status = status;
    answer.content_type = "text/plain";
    answer.body = std::string(message) + "\n";
    return answer;
}

asio::awaitable<response> call_handler(const request_handler& handler, request message)
{
    try {
        co_return co_await handler(std::move(message));
    } catch (const std::invalid_argument& error) {
        co_return make_error_response(400, error.what());
    } catch (const std::exception& error) {
        core::error_event("control_request_failed").with("error", error.what());
        co_return make_error_response(500, error.what());
    }
}

// Returns the status of the response to a request that could not be read, or 0 if the connection ended,
// failed or timed out and is closed without a response.
unsigned status_for_read_error(const beast::error_code& error)
{
    if (error == beast::http::error::body_limit || error == beast::http::error::buffer_overflow) {
        return 413;
    }
    if (error == beast::http::error::header_limit) {
        return 431;
    }
    const bool is_protocol_error =
        error.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
    if (is_protocol_error && error != beast::http::error::end_of_stream &&
        error != beast::http::error::partial_message) {
        return 400;
    }
    return 0;
}

} // namespace

server::server(asio::any_io_executor executor, server_options options, request_handler handler)
    : m_executor(executor), m_acceptor(executor), m_options(options), m_handler(std::move(handler))
{
}

std::shared_ptr<server> server::create(asio::any_io_executor executor, const std::string& host,
                                       std::uint16_t port, server_options options, request_handler handler)
{
    const std::shared_ptr<server> result(
        new server(asio::make_strand(executor), options, std::move(handler)));
    result->m_executor = executor;
    const asio::ip::tcp::endpoint listen_endpoint(asio::ip::make_address(host), port);
    result->m_acceptor.open(listen_endpoint.protocol());
    result->m_acceptor.set_option(asio::socket_base::reuse_address(true));
    result->m_acceptor.bind(listen_endpoint);
    result->m_acceptor.listen();
    result->m_port = result->m_acceptor.local_endpoint().port();
    return result;
}

void server::start()
{
    const std::shared_ptr<server> self = shared_from_this();
    asio::co_spawn(
        m_acceptor.get_executor(), [self] { return self->accept_connections(); }, asio::detached);
}

void server::stop()
{
    m_is_stopped = true;
    const std::shared_ptr<server> self = shared_from_this();
    asio::post(m_acceptor.get_executor(), [self] {
        beast::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

asio::awaitable<void> server::accept_connections()
{
    const std::shared_ptr<server> self = shared_from_this();
    while (!m_is_stopped) {
        beast::error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(
            asio::make_strand(m_executor), asio::redirect_error(asio::use_awaitable, error));
        if (m_is_stopped) {
            co_return;
        }
        if (error) {
            // Running out of file descriptors must not end the listener, so it retries after a delay.
            asio::steady_timer retry_timer(co_await asio::this_coro::executor, accept_retry_delay);
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (m_connection_count >= m_options.connection_limit) {
            ++m_rejected_message_count;
            continue;
        }
        ++m_connection_count;
        asio::any_io_executor executor = socket.get_executor();
        asio::co_spawn(
            executor,
            [self, accepted = std::move(socket)]() mutable {
                return self->serve_connection(std::move(accepted));
            },
            [self](std::exception_ptr) { --self->m_connection_count; });
    }
}

asio::awaitable<void> server::serve_connection(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive && !m_is_stopped) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(m_options.body_limit_bytes);
        parser.header_limit(m_options.header_limit_bytes);
        stream.expires_after(m_options.message_timeout);
        beast::error_code error;
        co_await beast::http::async_read(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        beast_response message;
        if (error) {
            const unsigned status = status_for_read_error(error);
            if (status == 0) {
                co_return;
            }
            ++m_rejected_message_count;
            core::warning_event("control_message_rejected")
                .with("status", status)
                .with("error", error.message());
            keep_alive = false;
            message = to_beast(make_error_response(status, error.message()), keep_alive);
        } else {
            keep_alive = parser.get().keep_alive();
            response answer = co_await call_handler(m_handler, to_request(parser.release()));
            if (answer.close_without_response) {
                co_return;
            }
            message = to_beast(std::move(answer), keep_alive);
        }
        stream.expires_after(m_options.message_timeout);
        co_await beast::http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace quetzalspan::http
