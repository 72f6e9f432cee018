// Sends requests over pooled Boost.Beast streams with coroutines, and maps errors of the connection to
// transport_error.

#include "http/client.h"

#include "http/status.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace quetzalspan::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr std::size_t max_idle_connections = 8;

transport_error to_transport_error(const beast::error_code& error)
{
    if (error == beast::error::timeout) {
        return {transport_failure::timed_out, "timed out before a complete response arrived"};
    }
    return {transport_failure::interrupted, error.message()};
}

beast::http::request<beast::http::string_body> to_beast(request&& message, const std::string& host)
{
    beast::http::request<beast::http::string_body> result;
    result.version(11);
    result.method_string(message.method);
    result.target(message.target);
    result.set(beast::http::field::host, host);
    for (const header& field : message.headers) {
        result.set(field.name, field.value);
    }
    result.body() = std::move(message.body);
    result.prepare_payload();
    return result;
}

// Returns the response without its body.
response to_response(const beast::http::response_header<>& message)
{
    response result;
    result.status = message.result_int();
    result.content_type = std::string(message[beast::http::field::content_type]);
    for (const beast::http::fields::value_type& field : message) {
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return result;
}

} // namespace

client::client(asio::any_io_executor executor, const std::string& host, std::uint16_t port,
               client_options options)
    : m_executor(executor), m_host(host), m_endpoint(asio::ip::make_address(host), port), m_options(options)
{
}

client::stream_pointer client::take_idle()
{
    const std::lock_guard<std::mutex> lock(m_idle_mutex);
    if (m_idle_streams.empty()) {
        return nullptr;
    }
    stream_pointer stream = std::move(m_idle_streams.back());
    m_idle_streams.pop_back();
    return stream;
}

void client::put_idle(stream_pointer stream)
{
    stream->expires_never();
    const std::lock_guard<std::mutex> lock(m_idle_mutex);
    if (m_idle_streams.size() < max_idle_connections) {
        m_idle_streams.push_back(std::move(stream));
    }
}

void client::close_idle()
{
    const std::lock_guard<std::mutex> lock(m_idle_mutex);
    m_idle_streams.clear();
}

asio::awaitable<client::stream_pointer> client::connect(core::duration timeout)
{
    stream_pointer stream = std::make_unique<beast::tcp_stream>(asio::make_strand(m_executor));
    stream->expires_after(timeout);
    beast::error_code error;
    co_await stream->async_connect(m_endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::connection_refused) {
        throw transport_error(transport_failure::refused, error.message());
    }
    if (error) {
        throw transport_error(transport_failure::not_connected, error.message());
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return stream;
}

asio::awaitable<void> client::read_final_header(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                std::optional<response_parser>& parser) const
{
    for (unsigned count = 0; count <= max_interim_responses; ++count) {
        parser.emplace();
        parser->body_limit(m_options.body_limit_bytes);
        beast::error_code error;
        co_await beast::http::async_read_header(stream, buffer, *parser,
                                                asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            throw to_transport_error(error);
        }
        switch (classify_status(parser->get().result_int())) {
        case status_class::invalid:
            throw transport_error(transport_failure::interrupted, "the status of the response is invalid");
        case status_class::interim:
            break;
        case status_class::final_response:
            co_return;
        }
    }
    throw transport_error(transport_failure::interrupted, "too many interim responses");
}

asio::awaitable<response> client::send(request message, core::duration timeout)
{
    co_return co_await send(std::move(message), response_timeouts{timeout, timeout});
}

asio::awaitable<response> client::send(request message, response_timeouts timeouts)
{
    const beast::http::request<beast::http::string_body> outgoing = to_beast(std::move(message), m_host);
    stream_pointer stream = take_idle();
    // The server may have closed an idle connection, which shows only when it is read. A peek that does not
    // block finds this before anything is sent, and the connection is replaced.
    if (stream) {
        beast::error_code error;
        stream->socket().non_blocking(true, error);
        char byte = 0;
        stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error != asio::error::would_block) {
            stream.reset();
        }
    }
    if (!stream) {
        stream = co_await connect(std::min(timeouts.header, m_options.connect_timeout));
    }
    const core::instant opened_at = std::chrono::steady_clock::now();
    stream->expires_at(opened_at + std::min(timeouts.header, timeouts.whole));
    beast::error_code error;
    co_await beast::http::async_write(*stream, outgoing, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        throw to_transport_error(error);
    }
    beast::flat_buffer buffer;
    std::optional<response_parser> parser;
    co_await read_final_header(*stream, buffer, parser);
    // The fields are copied before the body is read, because the parser appends the trailer fields to them.
    response result = to_response(parser->get().base());
    stream->expires_at(opened_at + timeouts.whole);
    co_await beast::http::async_read(*stream, buffer, *parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        throw to_transport_error(error);
    }
    if (parser->get().keep_alive() && buffer.size() == 0) {
        put_idle(std::move(stream));
    }
    result.body = std::move(parser->get().body());
    co_return result;
}

} // namespace quetzalspan::http
