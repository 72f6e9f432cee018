// Accepts the callers' connections, serves the requests on each of them in order, and closes them when the
// server drains or stops.

#include "caller/proxy_server.h"

#include "caller/generated_response.h"
#include "caller/request_exchange.h"
#include "core/digest.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <limits>
#include <stdexcept>

namespace quetzalspan::caller
{

namespace asio = boost::asio;
using upstream::read_result;
using upstream::read_status;

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay(50);
// Connections that are accepted in one turn of the executor. With one for each turn, connections wait in the
// backlog while the instance is busy, and their requests are read long after their callers have given up.
constexpr std::size_t accept_batch_size = 64;
constexpr std::size_t request_id_prefix_bytes = 6;

// Counts a request as active for the lifetime of this object.
class active_request_guard
{
public:
    explicit active_request_guard(std::atomic<std::uint32_t>& count) : m_count(count) { ++m_count; }
    ~active_request_guard() { --m_count; }

    active_request_guard(const active_request_guard&) = delete;
    active_request_guard& operator=(const active_request_guard&) = delete;

private:
    std::atomic<std::uint32_t>& m_count;
};

} // namespace

proxy_server::proxy_server(const asio::any_io_executor& executor, proxy_options options, proxy_hooks hooks,
                           std::shared_ptr<upstream::connection_pool> pool)
    : m_executor(executor),
      m_acceptor(asio::make_strand(executor)),
      m_linger_timer(m_acceptor.get_executor()),
      m_context{options, std::move(hooks), std::move(pool), dispatch::retry_budget(options.retry_budget),
                core::random_hex(request_id_prefix_bytes) + "-"}
{
}

std::shared_ptr<proxy_server> proxy_server::create(asio::any_io_executor executor, const std::string& host,
                                                   std::uint16_t port, proxy_options options,
                                                   proxy_hooks hooks,
                                                   std::shared_ptr<upstream::connection_pool> pool)
{
    if (!hooks.route_request || !hooks.acquire_endpoint) {
        throw std::invalid_argument(
            "cannot create the proxy server: the hooks route_request and acquire_endpoint are required");
    }
    const std::shared_ptr<proxy_server> result(
        new proxy_server(executor, std::move(options), std::move(hooks), std::move(pool)));
    const asio::ip::tcp::endpoint address(asio::ip::make_address(host), port);
    result->m_acceptor.open(address.protocol());
    result->m_acceptor.set_option(asio::socket_base::reuse_address(true));
    result->m_acceptor.bind(address);
    result->m_acceptor.listen();
    result->m_acceptor.non_blocking(true);
    result->m_port = result->m_acceptor.local_endpoint().port();
    return result;
}

void proxy_server::start()
{
    m_is_accepting = true;
    const std::shared_ptr<proxy_server> self = shared_from_this();
    asio::co_spawn(
        m_acceptor.get_executor(), [self] { return self->accept_connections(); }, asio::detached);
}

asio::awaitable<void> proxy_server::accept_connections()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(
            asio::make_strand(m_executor), asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            serve_accepted(std::move(socket));
            accept_backlog(accept_batch_size);
        } else if (m_acceptor.is_open()) {
            // The process may be out of file descriptors for a while, which must not end the listener.
            asio::steady_timer pause(m_acceptor.get_executor(), accept_retry_delay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_is_accepting = false;
    }
    notify_drained_once();
}

void proxy_server::accept_backlog(std::size_t limit)
{
    boost::system::error_code error;
    for (std::size_t accepted = 0; !error && accepted < limit; ++accepted) {
        asio::ip::tcp::socket socket(asio::make_strand(m_executor));
        m_acceptor.accept(socket, error);
        if (!error) {
            serve_accepted(std::move(socket));
        }
    }
}

void proxy_server::serve_accepted(asio::ip::tcp::socket socket)
{
    const asio::any_io_executor strand = socket.get_executor();
    const std::shared_ptr<caller_stream> stream = caller_stream::create(std::move(socket), m_context.options);
    const bool is_above_limit = m_connections.fetch_add(1) >= m_context.options.connection_limit;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_streams.insert({stream, strand});
    }
    const std::shared_ptr<proxy_server> self = shared_from_this();
    asio::co_spawn(
        strand,
        [self, stream, strand, is_above_limit] {
            return is_above_limit ? self->reject_and_close(stream, dispatch::failure::connection_limit)
                                  : self->serve(stream, strand);
        },
        [self, stream](const std::exception_ptr& thrown) {
            if (thrown) {
                core::error_event("connection_failed").with("peer", stream->peer_address());
            }
            self->end_connection(stream);
        });
}

asio::awaitable<void> proxy_server::serve(std::shared_ptr<caller_stream> stream, asio::any_io_executor strand)
{
    exchange_memory memory;
    memory.upstream_deadline = upstream::socket_deadline::create(strand);
    memory.relay_buffer.resize(m_context.options.relay_buffer_bytes);
    bool is_kept = true;
    while (is_kept && !m_has_drain_linger_ended) {
        is_kept = co_await serve_request(stream, strand, memory);
    }
    memory.upstream_deadline->stop();
}

asio::awaitable<bool> proxy_server::serve_request(std::shared_ptr<caller_stream> stream,
                                                  asio::any_io_executor strand, exchange_memory& memory)
{
    const read_result header = co_await stream->read_header();
    if (header.status == read_status::rejected) {
        co_await reject_and_close(stream, header.fault);
        co_return false;
    }
    if (header.status != read_status::complete) {
        co_return false;
    }
    const active_request_guard counted(m_context.active_requests);
    request_exchange exchange(m_context, *stream, strand, memory);
    const bool is_kept = co_await exchange.run();
    if (!is_kept) {
        co_await stream->close_gracefully();
    }
    co_return is_kept;
}

asio::awaitable<void> proxy_server::reject_and_close(std::shared_ptr<caller_stream> stream,
                                                     dispatch::failure at)
{
    report_malformed_message(m_context, at, stream->peer_address());
    const rejection cause{at};
    const std::string text =
        make_rejection_text(cause, dispatch::outcome::not_run, "", false, false, m_context.options.profile);
    upstream::write_buffers buffers;
    buffers.push_back(asio::buffer(text));
    const core::instant deadline =
        std::chrono::steady_clock::now() + m_context.options.response_write_timeout;
    const bool is_sent = co_await stream->write(buffers, deadline);
    if (is_sent) {
        co_await stream->close_gracefully();
    }
}

void proxy_server::end_connection(const std::shared_ptr<caller_stream>& stream)
{
    stream->close();
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_streams.erase({stream, {}});
    }
    --m_connections;
    notify_drained_once();
}

void proxy_server::notify_drained_once()
{
    std::function<void()> on_drained;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (m_is_accepting || !m_streams.empty()) {
            return;
        }
        on_drained = std::exchange(m_on_drained, nullptr);
    }
    if (on_drained) {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->m_linger_timer.cancel(); });
        on_drained();
    }
}

void proxy_server::for_each_stream(const std::function<void(caller_stream&)>& action)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const open_stream& entry : m_streams) {
        asio::post(entry.strand, [stream = entry.stream, action] { action(*stream); });
    }
}

void proxy_server::send_connection_close()
{
    m_context.announces_close = true;
}

void proxy_server::drain(std::function<void()> on_drained)
{
    m_context.announces_close = true;
    const std::shared_ptr<proxy_server> self = shared_from_this();
    asio::post(m_acceptor.get_executor(), [self, on_drained = std::move(on_drained)] {
        // Closing the listener would reset the connections that the kernel has already accepted for it.
        self->accept_backlog(std::numeric_limits<std::size_t>::max());
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        {
            const std::lock_guard<std::mutex> guard(self->m_mutex);
            self->m_on_drained = on_drained;
        }
        self->notify_drained_once();
        self->m_linger_timer.expires_after(self->m_context.options.drain_linger);
        self->m_linger_timer.async_wait([self](const boost::system::error_code& error) {
            self->m_has_drain_linger_ended = true;
            if (!error) {
                self->for_each_stream([](caller_stream& stream) { stream.close_if_idle(); });
            }
        });
    });
}

void proxy_server::stop()
{
    m_context.announces_close = true;
    const std::shared_ptr<proxy_server> self = shared_from_this();
    asio::post(m_acceptor.get_executor(), [self] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_linger_timer.cancel();
        self->for_each_stream([](caller_stream& stream) { stream.close_and_notify(); });
    });
}

} // namespace quetzalspan::caller
