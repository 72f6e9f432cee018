// Reads and writes on a caller's connection under deadlines, and detects a disconnect by waiting until the
// socket becomes readable.

#include "caller/caller_stream.h"

#include <boost/asio/write.hpp>

#include <array>

namespace quetzalspan::caller
{

namespace asio = boost::asio;
using upstream::read_result;
using upstream::read_status;

namespace
{

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

} // namespace

std::shared_ptr<caller_stream> caller_stream::create(asio::ip::tcp::socket socket,
                                                     const proxy_options& options)
{
    return std::shared_ptr<caller_stream>(new caller_stream(std::move(socket), options));
}

caller_stream::caller_stream(asio::ip::tcp::socket socket, const proxy_options& options)
    : m_socket(std::move(socket)),
      m_options(options),
      m_reader(options.header_limit_bytes, options.body_limit_bytes),
      m_read_deadline(upstream::socket_deadline::create(m_socket.get_executor())),
      m_write_deadline(upstream::socket_deadline::create(m_socket.get_executor()))
{
    boost::system::error_code error;
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    // peek() must not block. Asynchronous operations do not depend on this
    // mode.
    m_socket.non_blocking(true, error);
    const asio::ip::tcp::endpoint peer = m_socket.remote_endpoint(error);
    m_peer_address = peer.address().to_string();
    m_read_deadline->set_expiry_handler([this] { cancel(); });
    m_write_deadline->set_expiry_handler([this] { cancel(); });
}

caller_stream::~caller_stream()
{
    m_read_deadline->stop();
    m_write_deadline->stop();
}

asio::awaitable<read_result> caller_stream::read_header()
{
    m_is_idle = true;
    m_read_deadline->set(current_time() + m_options.idle_timeout);
    const std::function<void()> on_first_byte = [this] {
        m_is_idle = false;
        m_read_deadline->set(current_time() + m_options.header_timeout);
    };
    read_result result = co_await m_reader.read_header(m_socket, on_first_byte);
    m_read_deadline->clear();
    const bool was_idle = m_is_idle;
    m_is_idle = false;
    if (result.status == read_status::interrupted && was_idle) {
        result.status = read_status::closed;
    } else if (result.status == read_status::interrupted && m_read_deadline->has_expired()) {
        result.status = read_status::rejected;
        result.fault = dispatch::failure::header_timeout;
    }
    co_return result;
}

asio::awaitable<read_result> caller_stream::read_body(char* data, std::size_t size, core::instant deadline)
{
    m_read_deadline->set(std::min(current_time() + m_options.body_idle_timeout, deadline));
    read_result result = co_await m_reader.read_body(m_socket, data, size);
    m_read_deadline->clear();
    if (result.status == read_status::interrupted && m_read_deadline->has_expired()) {
        result.status = read_status::rejected;
        result.fault = dispatch::failure::body_timeout;
    }
    co_return result;
}

asio::awaitable<bool> caller_stream::write(const upstream::write_buffers& buffers, core::instant deadline)
{
    m_write_deadline->set(deadline);
    boost::system::error_code error;
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_write_deadline->clear();
    co_return !error;
}

void caller_stream::watch_disconnect(std::function<void()> on_disconnect)
{
    m_on_disconnect = std::move(on_disconnect);
    m_is_watching_disconnect = true;
    wait_until_readable();
}

void caller_stream::stop_watching_disconnect()
{
    m_is_watching_disconnect = false;
    m_on_disconnect = nullptr;
}

void caller_stream::wait_until_readable()
{
    // A wait that is still pending from an earlier request also serves this one.
    if (m_is_readable_wait_pending) {
        return;
    }
    m_is_readable_wait_pending = true;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code&) {
                            self->m_is_readable_wait_pending = false;
                            self->handle_readable();
                        });
}

void caller_stream::handle_readable()
{
    if (!m_is_watching_disconnect) {
        return;
    }
    const peek_result found = peek();
    if (found == peek_result::nothing) {
        wait_until_readable();
    }
    if (found != peek_result::closed) {
        return;
    }
    m_is_watching_disconnect = false;
    const std::function<void()> on_disconnect = std::exchange(m_on_disconnect, nullptr);
    on_disconnect();
}

caller_stream::peek_result caller_stream::peek()
{
    boost::system::error_code error;
    char byte = 0;
    const std::size_t size = m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        return peek_result::nothing;
    }
    return size > 0 && !error ? peek_result::bytes : peek_result::closed;
}

bool caller_stream::has_caller_closed()
{
    return peek() == peek_result::closed;
}

void caller_stream::cancel()
{
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void caller_stream::close_if_idle()
{
    if (m_is_idle) {
        cancel();
    }
}

asio::awaitable<void> caller_stream::close_gracefully()
{
    boost::system::error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_read_deadline->set(current_time() + m_options.peer_close_timeout);
    std::array<char, 4096> discarded{};
    std::uint64_t received = 0;
    while (!error && received < m_options.discard_limit_bytes) {
        received += co_await m_socket.async_read_some(asio::buffer(discarded),
                                                      asio::redirect_error(asio::use_awaitable, error));
    }
    close();
}

void caller_stream::reset_connection()
{
    set_reset_on_close(true);
    close();
}

void caller_stream::set_reset_on_close(bool is_reset)
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(is_reset, 0), ignored);
}

void caller_stream::close_and_notify()
{
    const std::function<void()> on_disconnect = std::exchange(m_on_disconnect, nullptr);
    close();
    if (on_disconnect) {
        on_disconnect();
    }
}

void caller_stream::close()
{
    m_read_deadline->stop();
    m_write_deadline->stop();
    stop_watching_disconnect();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace quetzalspan::caller
