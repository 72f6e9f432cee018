// Accepts connections, executes or rejects requests, applies faults, and answers /health, /load and the
// control endpoints under /standin/.

#include "standins/upstream/upstream_standin.h"

#include "core/log_event.h"

#include <json/reader.h>
#include <json/writer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sstream>

namespace quetzalspan::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr std::uint64_t body_limit_bytes = 256ULL * 1024 * 1024;
constexpr std::size_t response_limit_bytes = 64 * 1024 * 1024;
constexpr std::size_t state_sample_limit = 100'000;

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

// Closes the connection with a reset (RST).
void reset_connection(asio::ip::tcp::socket& socket)
{
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value) + "\n";
}

// Returns the number at the start of the text, or 0 if there is none.
std::uint64_t parse_number(beast::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Returns whether the peer has closed the connection. Bytes that have arrived stay in the socket.
bool is_closed_by_peer(asio::ip::tcp::socket& socket)
{
    beast::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

} // namespace

std::shared_ptr<upstream_standin> upstream_standin::create(asio::io_context& context, standin_options options)
{
    std::shared_ptr<upstream_standin> result(new upstream_standin(context, std::move(options)));
    result->open_acceptor();
    return result;
}

upstream_standin::upstream_standin(asio::io_context& context, standin_options options)
    : m_context(context),
      m_options(std::move(options)),
      m_acceptor(context),
      m_address(asio::ip::make_address(m_options.host), m_options.port),
      m_random(m_options.seed),
      m_start_time(current_time()),
      m_slot_freed(context)
{
    m_slot_freed.expires_at(core::instant::max());
}

void upstream_standin::open_acceptor()
{
    m_acceptor.open(m_address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_address);
    m_acceptor.listen();
    m_address = m_acceptor.local_endpoint();
}

void upstream_standin::start()
{
    const std::shared_ptr<upstream_standin> self = shared_from_this();
    asio::co_spawn(
        m_context, [self] { return self->accept_connections(); }, asio::detached);
}

asio::awaitable<void> upstream_standin::wait_while_frozen()
{
    while (current_time() < m_frozen_until) {
        asio::steady_timer timer(m_context, m_frozen_until);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> upstream_standin::accept_connections()
{
    while (m_acceptor.is_open()) {
        beast::error_code error;
        asio::ip::tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        co_await wait_while_frozen();
        if (error || m_connections >= m_options.connection_limit) {
            continue;
        }
        ++m_connections;
        const std::shared_ptr<upstream_standin> self = shared_from_this();
        const std::shared_ptr<asio::ip::tcp::socket> shared =
            std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        asio::co_spawn(
            m_context, [self, shared] { return self->serve(shared); },
            [self](const std::exception_ptr&) { --self->m_connections; });
    }
}

asio::awaitable<void> upstream_standin::refuse_connections()
{
    beast::error_code error;
    m_acceptor.close(error);
    asio::steady_timer timer(m_context, m_options.control.refuse_time);
    m_options.control.refuse_time = core::duration(0);
    co_await timer.async_wait(asio::use_awaitable);
    open_acceptor();
    start();
}

asio::awaitable<void> upstream_standin::serve(std::shared_ptr<asio::ip::tcp::socket> socket)
{
    beast::error_code error;
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    bool keeps_open = true;
    while (keeps_open) {
        keeps_open = co_await serve_message(*socket, buffer);
    }
    socket->close(error);
}

asio::awaitable<bool> upstream_standin::serve_message(asio::ip::tcp::socket& socket,
                                                      beast::flat_buffer& buffer)
{
    beast::error_code error;
    co_await socket.async_wait(asio::socket_base::wait_read,
                               asio::redirect_error(asio::use_awaitable, error));
    co_await wait_while_frozen();
    if (error) {
        co_return false;
    }
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    co_await beast::http::async_read_header(socket, buffer, parser,
                                            asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    const std::string target(parser.get().target());
    const bool is_control = target.starts_with("/standin/");
    const bool is_status_request = target == "/health" || target == "/load";
    // Faults do not apply to the control endpoints, /health and /load.
    const fault request_fault =
        is_control || is_status_request ? fault::none : m_options.control.take_fault();
    if (request_fault == fault::reset_before_reading || request_fault == fault::reset_after_header) {
        reset_connection(socket);
        co_return false;
    }
    co_await beast::http::async_read(socket, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_log.record_cancelled();
        co_return false;
    }
    const request_type message = parser.release();
    bool keeps_open = false;
    if (is_control) {
        const response_type response = handle_control(message);
        keeps_open = co_await send(socket, response);
    } else if (is_status_request) {
        const response_type response = handle_status_request(message);
        keeps_open = co_await send(socket, response);
    } else {
        keeps_open = co_await serve_request(socket, message, request_fault);
    }
    co_return keeps_open&& message.keep_alive();
}

asio::awaitable<bool> upstream_standin::serve_request(asio::ip::tcp::socket& socket,
                                                      const request_type& message, fault request_fault)
{
    if (message.count("Quetzal-Key") > 0) {
        m_log.record_key_seen();
    }
    const std::uint64_t deadline_ms = parse_number(message["Quetzal-Deadline-Ms"]);
    const core::instant deadline =
        deadline_ms == 0 ? core::instant::max() : current_time() + std::chrono::milliseconds(deadline_ms);
    if (m_options.control.is_draining) {
        const response_type response = make_shed_response("draining");
        const bool is_sent = co_await send(socket, response);
        co_return is_sent;
    }
    const bool has_slot = co_await wait_for_slot(deadline);
    if (!has_slot) {
        const response_type response = make_shed_response("overloaded");
        const bool is_sent = co_await send(socket, response);
        co_return is_sent;
    }
    m_log.record(std::string(message["Quetzal-Request-Id"]), std::string(message["X-Order"]));
    const core::duration service_time = draw_service_time();
    const bool is_in_time = current_time() + service_time <= deadline;
    // A request that cannot be completed in time is ended at its deadline, with status 504.
    const bool is_complete =
        co_await wait_service_time(socket, is_in_time ? service_time : deadline - current_time());
    --m_running;
    record_state_sample();
    m_slot_freed.cancel_one();
    if (!is_complete) {
        m_log.record_cancelled();
        co_return false;
    }
    co_await wait_while_frozen();
    if (request_fault == fault::reset_after_running) {
        reset_connection(socket);
        co_return false;
    }
    response_type response = make_response(message);
    if (!is_in_time || request_fault == fault::fail) {
        response.result(is_in_time ? beast::http::status::service_unavailable
                                   : beast::http::status::gateway_timeout);
    }
    if (request_fault == fault::reset_within_body) {
        co_await send_half(socket, response);
        reset_connection(socket);
        co_return false;
    }
    const bool is_sent = co_await send(socket, response);
    co_return is_sent;
}

asio::awaitable<bool> upstream_standin::wait_for_slot(core::instant deadline)
{
    if (m_running >= m_options.slots && m_waiting >= m_options.queue_limit) {
        co_return false;
    }
    ++m_waiting;
    while (m_running >= m_options.slots && current_time() < deadline) {
        beast::error_code ignored;
        co_await m_slot_freed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    --m_waiting;
    if (m_running >= m_options.slots) {
        co_return false;
    }
    ++m_running;
    m_log.record_running(m_running);
    record_state_sample();
    co_return true;
}

asio::awaitable<bool> upstream_standin::wait_service_time(asio::ip::tcp::socket& socket, core::duration time)
{
    // A connection that the peer has closed is noticed within one step.
    constexpr core::duration step = std::chrono::milliseconds(5);
    const core::instant end = current_time() + time;
    while (current_time() < end) {
        asio::steady_timer timer(m_context, std::min(end, current_time() + step));
        co_await timer.async_wait(asio::use_awaitable);
        if (is_closed_by_peer(socket)) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> upstream_standin::send(asio::ip::tcp::socket& socket, const response_type& message)
{
    beast::error_code error;
    co_await beast::http::async_write(socket, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> upstream_standin::send_half(asio::ip::tcp::socket& socket, const response_type& message)
{
    std::ostringstream text;
    text << message;
    const std::string message_text = text.str();
    const std::string part = message_text.substr(0, message_text.size() - (message.body().size() + 1) / 2);
    beast::error_code ignored;
    co_await asio::async_write(socket, asio::buffer(part),
                               asio::redirect_error(asio::use_awaitable, ignored));
}

upstream_standin::response_type upstream_standin::make_response(const request_type& message) const
{
    response_type response(beast::http::status::ok, 11);
    const std::string token(message["X-Token"]);
    response.set("X-Token", token);
    response.set("X-Endpoint", m_options.name);
    response.set(beast::http::field::content_type, "text/plain");
    response.keep_alive(message.keep_alive());
    // The token at both ends lets the caller detect a body that is truncated or belongs to another request.
    const std::size_t size =
        std::min<std::size_t>(parse_number(message["X-Response-Bytes"]), response_limit_bytes);
    response.body() = token + "\n" + std::string(size, 'x') + "\n" + message.body() + "\n" + token + "\n";
    response.prepare_payload();
    if (message.method() == beast::http::verb::head) {
        response.body().clear();
    }
    return response;
}

upstream_standin::response_type upstream_standin::make_shed_response(std::string_view reason)
{
    m_log.record_shed();
    response_type response(beast::http::status::service_unavailable, 11);
    response.set("Quetzal-Outcome", "not-run");
    response.set("Quetzal-Reason", beast::string_view(reason.data(), reason.size()));
    response.body() = "shed\n";
    response.prepare_payload();
    return response;
}

core::duration upstream_standin::draw_service_time()
{
    std::lognormal_distribution<double> spread(0, m_options.control.service_sigma);
    double factor = spread(m_random);
    const core::duration age = current_time() - m_start_time;
    if (age < m_options.cold_time) {
        const double remaining_fraction = 1 - core::to_seconds(age) / core::to_seconds(m_options.cold_time);
        factor *= 1 + (m_options.cold_factor - 1) * remaining_fraction;
    }
    const double seconds = core::to_seconds(m_options.control.service_time) * factor;
    return m_options.control.delay +
           std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

void upstream_standin::record_state_sample()
{
    m_state_samples.push_back({current_time(), m_running, !m_options.control.is_draining});
    if (m_state_samples.size() > state_sample_limit) {
        m_state_samples.pop_front();
    }
}

upstream_standin::state_sample upstream_standin::lagged_state()
{
    const core::instant time = current_time() - m_options.control.report_lag;
    state_sample result;
    for (const state_sample& sample : m_state_samples) {
        if (sample.time > time) {
            break;
        }
        result = sample;
    }
    return result;
}

upstream_standin::response_type upstream_standin::handle_status_request(const request_type& message)
{
    const state_sample state = lagged_state();
    const bool is_healthy = m_options.control.reported_health.value_or(state.is_healthy);
    response_type response(beast::http::status::ok, 11);
    Json::Value body(Json::objectValue);
    if (message.target() == "/health") {
        response.result(is_healthy ? 200U : 503U);
        body["healthy"] = is_healthy;
        body["draining"] = m_options.control.is_draining;
    } else {
        const double load = static_cast<double>(state.running) / static_cast<double>(m_options.slots);
        body["running"] = state.running;
        body["slots"] = m_options.slots;
        body["load"] = m_options.control.reported_load.value_or(load);
    }
    response.set(beast::http::field::content_type, "application/json");
    response.body() = to_text(body);
    response.prepare_payload();
    return response;
}

upstream_standin::response_type upstream_standin::handle_control(const request_type& message)
{
    response_type response(beast::http::status::ok, 11);
    response.set(beast::http::field::content_type, "application/json");
    const std::string target(message.target());
    if (target.starts_with("/standin/executions")) {
        response.body() = to_text(m_log.to_json(target.ends_with("details=1")));
    } else if (target == "/standin/reset" && message.method() == beast::http::verb::post) {
        m_log.reset();
        response.body() = "{}\n";
    } else if (target == "/standin/control" && message.method() == beast::http::verb::post) {
        Json::Value changes;
        std::istringstream input(message.body());
        std::string errors;
        try {
            if (!Json::parseFromStream(Json::CharReaderBuilder(), input, &changes, &errors)) {
                throw std::invalid_argument(errors);
            }
            m_options.control.merge(changes);
            record_state_sample();
            m_frozen_until = current_time() + std::exchange(m_options.control.freeze_time, core::duration(0));
            if (m_options.control.refuse_time > core::duration(0)) {
                const std::shared_ptr<upstream_standin> self = shared_from_this();
                asio::co_spawn(
                    m_context, [self] { return self->refuse_connections(); }, asio::detached);
            }
            response.body() = "{}\n";
        } catch (const std::exception& error) {
            response.result(beast::http::status::bad_request);
            response.body() = std::string(error.what()) + "\n";
        }
    } else {
        response.result(beast::http::status::not_found);
    }
    response.prepare_payload();
    return response;
}

} // namespace quetzalspan::standins
