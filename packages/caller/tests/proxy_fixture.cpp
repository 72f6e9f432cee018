// Starts and stops the proxy server with its upstreams, and reads responses from a raw connection.

#include "packages/caller/tests/proxy_fixture.h"

#include <boost/asio/write.hpp>

namespace quetzalspan::testing
{

namespace asio = boost::asio;

namespace
{

// Ends a wait that would otherwise hang. It is long enough that it does not decide whether a test passes.
constexpr std::chrono::seconds hang_timeout(20);

constexpr int server_threads = 3;

} // namespace

raw_caller::raw_caller(std::uint16_t port) : m_socket(m_context)
{
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    const timeval limit{hang_timeout.count(), 0};
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void raw_caller::send(const std::string& text)
{
    boost::system::error_code ignored;
    asio::write(m_socket, asio::buffer(text), ignored);
}

bool raw_caller::receive_more()
{
    std::array<char, 16384> part{};
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(part), error);
    m_received.append(part.data(), size);
    m_was_reset = m_was_reset || (error && error != asio::error::eof);
    return !error;
}

std::string raw_caller::receive_all()
{
    while (receive_more()) {
    }
    return std::exchange(m_received, {});
}

std::string raw_caller::receive_response()
{
    std::size_t end = std::string::npos;
    while ((end = m_received.find("\r\n\r\n")) == std::string::npos) {
        if (!receive_more()) {
            return std::exchange(m_received, {});
        }
    }
    end += 4;
    const std::string header = m_received.substr(0, end);
    const std::size_t field = header.find("Content-Length: ");
    const bool is_chunked = header.find("Transfer-Encoding: chunked") != std::string::npos;
    if (is_chunked) {
        while (m_received.find("0\r\n\r\n", end) == std::string::npos && receive_more()) {
        }
        end = std::min(m_received.size(), m_received.find("0\r\n\r\n", end) + 5);
    } else if (field != std::string::npos) {
        end += std::stoul(header.substr(field + 16));
        while (m_received.size() < end && receive_more()) {
        }
        end = std::min(end, m_received.size());
    }
    std::string result = m_received.substr(0, end);
    m_received.erase(0, end);
    return result;
}

void raw_caller::close()
{
    m_socket.close();
}

proxy_fixture::proxy_fixture()
    : m_work(context.get_executor()), m_upstream_work(upstream_context.get_executor())
{
    options.drain_linger = std::chrono::milliseconds(1);
    first = scripted_upstream::create(upstream_context);
    second = scripted_upstream::create(upstream_context);
    hooks.route_request = [](const caller::request_summary&, core::instant) -> caller::admission_result {
        caller::admission admitted;
        admitted.workspace = "harbour";
        admitted.service = "orders";
        return admitted;
    };
    hooks.acquire_endpoint = [this](const caller::request_summary&, const caller::admission&,
                                    const std::vector<std::string>& tried,
                                    caller::wait_context&) -> asio::awaitable<caller::lease_result> {
        ++open_leases;
        // Attempts alternate between the upstreams.
        const bool is_first = tried.size() % 2 == 0;
        const std::uint16_t scripted_port = is_first ? first->port() : second->port();
        co_return caller::endpoint_lease::create(is_first ? "first" : "second", "127.0.0.1",
                                                 upstream_port == 0 ? scripted_port : upstream_port.load(),
                                                 [this](const caller::attempt_result&) { --open_leases; });
    };
    hooks.on_finished = [this](const caller::request_record& record) {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_finished.push_back({record.failure, record.outcome, record.status, record.attempts});
        m_changed.notify_all();
    };
    hooks.on_message_rejected = [this](dispatch::failure, std::string_view) { ++rejected_message_count; };
}

proxy_fixture::~proxy_fixture()
{
    if (server) {
        server->stop();
        wait_until([this] { return server->connections() == 0; });
    }
    first->stop();
    second->stop();
    context.stop();
    upstream_context.stop();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void proxy_fixture::start()
{
    pool = std::make_shared<upstream::connection_pool>(context.get_executor(), pool_options);
    server = caller::proxy_server::create(context.get_executor(), "127.0.0.1", 0, options, hooks, pool);
    server->start();
    for (int index = 0; index < server_threads; ++index) {
        m_threads.emplace_back([this] { context.run(); });
    }
    m_threads.emplace_back([this] { upstream_context.run(); });
}

void proxy_fixture::require_signature()
{
    options.profile.signature_field = "X-Signature";
    options.profile.keeps_request_id = true;
    options.profile.is_request_id_echoed = true;
}

std::string proxy_fixture::exchange(const std::string& text)
{
    raw_caller caller(server->port());
    caller.send(text);
    return caller.receive_response();
}

std::vector<finished_request> proxy_fixture::wait_for_finished(std::size_t count)
{
    std::unique_lock<std::mutex> guard(m_mutex);
    m_changed.wait_for(guard, hang_timeout, [&] { return m_finished.size() >= count; });
    return m_finished;
}

void proxy_fixture::wait_until(const std::function<bool()>& condition)
{
    const core::instant end = std::chrono::steady_clock::now() + hang_timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

std::string make_request(const std::string& method, const std::string& target, const std::string& body,
                         const std::string& fields)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: quay\r\n" + fields;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

int parse_status(const std::string& response)
{
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

bool is_complete_response(const std::string& response)
{
    const std::size_t end = response.find("\r\n\r\n");
    const std::size_t field = response.find("Content-Length: ");
    if (end == std::string::npos) {
        return false;
    }
    if (field == std::string::npos || field > end) {
        return response.ends_with("0\r\n\r\n");
    }
    return response.size() == end + 4 + std::stoul(response.substr(field + 16));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace quetzalspan::testing
