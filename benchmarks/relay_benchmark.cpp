// Compares the throughput, latency and processor time of the proxy server, whose hooks are trivial, with
// those of a minimal HTTP relay on Beast in the same run, and counts the heap allocations of the routing
// decisions. The relay forwards one message at a time over one upstream connection for each caller; it checks
// nothing, has no timeouts and cannot retry. Exits with 1 if the proxy needs too much processor time or a
// decision allocates.

#include "caller/proxy_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>
#include <pthread.h>
#include <thread>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace caller = quetzalspan::caller;
namespace core = quetzalspan::core;
using tcp = asio::ip::tcp;

// Set while the thread runs a decision. Its allocations are then counted by operator new.
thread_local bool is_counting_allocations = false;
std::atomic<std::uint64_t> decision_allocations{0};
std::atomic<std::uint64_t> decision_count{0};

constexpr unsigned client_connections = 16;
constexpr unsigned requests_per_client = 4000;
constexpr unsigned warm_up_requests = 200;
constexpr int round_count = 5;
// Lowest accepted median of the ratio of the relay's processor time to that of the proxy.
constexpr double min_cpu_ratio = 0.8;
// The response of the upstream, with a body of 256 bytes.
const std::string response_text =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 256\r\n\r\n" + std::string(256, 'x');
const std::string request_text =
    "POST /orders HTTP/1.1\r\nHost: quay\r\nUser-Agent: benchmark\r\nContent-Type: text/plain\r\n"
    "Quetzal-Key: 0123456789abcdef\r\nContent-Length: 64\r\n\r\n" +
    std::string(64, 'b');

// Runs a decision hook and adds its heap allocations to decision_allocations.
template <typename Decision>
auto count_allocations(Decision&& decision)
{
    ++decision_count;
    is_counting_allocations = true;
    auto result = decision();
    is_counting_allocations = false;
    return result;
}

// Answers every request on a connection with the same response.
asio::awaitable<void> serve_upstream(tcp::socket socket)
{
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (!error) {
        beast::http::request<beast::http::string_body> message;
        co_await beast::http::async_read(socket, buffer, message,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            co_await asio::async_write(socket, asio::buffer(response_text),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

// The minimal relay, for one connection of a caller.
asio::awaitable<void> relay(tcp::socket socket, tcp::endpoint upstream_address)
{
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    tcp::socket upstream(socket.get_executor());
    co_await upstream.async_connect(upstream_address, asio::use_awaitable);
    upstream.set_option(tcp::no_delay(true), error);
    beast::flat_buffer caller_buffer;
    beast::flat_buffer upstream_buffer;
    while (!error) {
        beast::http::request<beast::http::string_body> request;
        co_await beast::http::async_read(socket, caller_buffer, request,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        co_await beast::http::async_write(upstream, request,
                                          asio::redirect_error(asio::use_awaitable, error));
        beast::http::response<beast::http::string_body> response;
        co_await beast::http::async_read(upstream, upstream_buffer, response,
                                         asio::redirect_error(asio::use_awaitable, error));
        co_await beast::http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
    }
}

// Accepts connections and runs serve(socket) for each, on a strand of its own.
template <typename Serve>
asio::awaitable<void> accept(tcp::acceptor& acceptor, Serve serve)
{
    while (true) {
        const asio::any_io_executor strand = asio::make_strand(acceptor.get_executor());
        tcp::socket socket = co_await acceptor.async_accept(strand, asio::use_awaitable);
        asio::co_spawn(
            strand, [serve, accepted = std::move(socket)]() mutable { return serve(std::move(accepted)); },
            asio::detached);
    }
}

// An I/O context with a thread that runs it, so that the processor time of each server can be read apart.
// Both stop in the destructor, which requires that start() was called.
class server_thread
{
public:
    server_thread() : m_work(context.get_executor()) {}
    ~server_thread()
    {
        context.stop();
        m_thread.join();
    }
    server_thread(const server_thread&) = delete;
    server_thread& operator=(const server_thread&) = delete;

    void start()
    {
        m_thread = std::thread([this] { context.run(); });
    }

    // Returns the processor time that the thread has used, in seconds.
    double cpu_seconds()
    {
        clockid_t clock = 0;
        timespec time{};
        pthread_getcpuclockid(m_thread.native_handle(), &clock);
        clock_gettime(clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    asio::io_context context{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

struct measurement {
    double requests_per_second = 0;
    double p99_microseconds = 0;
    // Processor time of the server's thread for each request. It varies less with the load of the machine
    // than the elapsed time does.
    double cpu_microseconds = 0;
};

// Opens one connection and sends requests on it one after the other. Appends the latency of each in
// microseconds. Exits with 2 at an unexpected response.
asio::awaitable<void> send_requests(asio::io_context& context, std::uint16_t port, unsigned count,
                                    std::vector<double>& latencies)
{
    tcp::socket socket(context);
    co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    for (unsigned index = 0; index < count; ++index) {
        const core::instant begin = std::chrono::steady_clock::now();
        co_await asio::async_write(socket, asio::buffer(request_text), asio::use_awaitable);
        beast::http::response<beast::http::string_body> response;
        co_await beast::http::async_read(socket, buffer, response, asio::use_awaitable);
        if (response.result_int() != 200 || response.body().size() != 256) {
            std::printf("unexpected response: status %u, or a body not of 256 bytes\n",
                        response.result_int());
            std::exit(2);
        }
        latencies.push_back(core::to_seconds(std::chrono::steady_clock::now() - begin) * 1e6);
    }
}

// Sends the given number of requests on each connection concurrently and measures the server at the port.
measurement measure(server_thread& server, std::uint16_t port, unsigned requests)
{
    asio::io_context context(1);
    std::vector<double> latencies;
    for (unsigned client = 0; client < client_connections; ++client) {
        asio::co_spawn(context, send_requests(context, port, requests, latencies),
                       [](std::exception_ptr thrown) {
                           if (thrown) {
                               std::rethrow_exception(thrown);
                           }
                       });
    }
    const core::instant begin = std::chrono::steady_clock::now();
    const double cpu_begin = server.cpu_seconds();
    context.run();
    const double seconds = core::to_seconds(std::chrono::steady_clock::now() - begin);
    std::sort(latencies.begin(), latencies.end());
    const double count = static_cast<double>(latencies.size());
    return {count / seconds, latencies[latencies.size() * 99 / 100],
            (server.cpu_seconds() - cpu_begin) / count * 1e6};
}

// Returns hooks that admit every request and route it to the one endpoint.
caller::proxy_hooks make_hooks(std::uint16_t upstream_port)
{
    caller::proxy_hooks hooks;
    hooks.route_request = [](const caller::request_summary&, core::instant) -> caller::admission_result {
        return count_allocations([]() -> caller::admission_result {
            caller::admission admitted;
            admitted.workspace = "harbour";
            admitted.service = "orders";
            return admitted;
        });
    };
    hooks.acquire_endpoint = [upstream_port](const caller::request_summary&, const caller::admission&,
                                             const std::vector<std::string>&,
                                             caller::wait_context&) -> asio::awaitable<caller::lease_result> {
        co_return count_allocations([&]() -> caller::lease_result {
            return caller::endpoint_lease::create("endpoint-1", "127.0.0.1", upstream_port,
                                                  [](const caller::attempt_result&) {});
        });
    };
    hooks.recheck_authorization = [](const caller::request_summary&, const caller::admission&,
                                     core::instant) {
        return count_allocations([] { return std::optional<caller::rejection>(); });
    };
    hooks.on_finished = [](const caller::request_record&) {};
    return hooks;
}

} // namespace

void* operator new(std::size_t size)
{
    if (is_counting_allocations) {
        decision_allocations.fetch_add(1, std::memory_order_relaxed);
    }
    if (void* const memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc)
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

int main()
{
    const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
    server_thread upstream_thread;
    tcp::acceptor upstream_acceptor(upstream_thread.context, any_port);
    const tcp::endpoint upstream_address = upstream_acceptor.local_endpoint();
    asio::co_spawn(upstream_thread.context, accept(upstream_acceptor, serve_upstream), asio::detached);
    upstream_thread.start();

    server_thread relay_thread;
    tcp::acceptor relay_acceptor(relay_thread.context, any_port);
    const auto serve_relay = [upstream_address](tcp::socket socket) {
        return relay(std::move(socket), upstream_address);
    };
    asio::co_spawn(relay_thread.context, accept(relay_acceptor, serve_relay), asio::detached);
    relay_thread.start();

    server_thread proxy_thread;
    const std::shared_ptr<quetzalspan::upstream::connection_pool> pool =
        std::make_shared<quetzalspan::upstream::connection_pool>(
            proxy_thread.context.get_executor(), quetzalspan::upstream::connection_pool_options());
    const std::shared_ptr<caller::proxy_server> server = caller::proxy_server::create(
        proxy_thread.context.get_executor(), "127.0.0.1", 0, {}, make_hooks(upstream_address.port()), pool);
    server->start();
    proxy_thread.start();

    measure(proxy_thread, server->port(), warm_up_requests);
    measure(relay_thread, relay_acceptor.local_endpoint().port(), warm_up_requests);
    decision_count = 0;
    decision_allocations = 0;
    // Each round measures both servers, so that a change of the machine's load affects both. The result is
    // the median of the rounds, because the best round would overstate the proxy.
    std::vector<double> throughput_ratios;
    std::vector<double> cpu_ratios;
    for (int round = 0; round < round_count; ++round) {
        const measurement relay_result =
            measure(relay_thread, relay_acceptor.local_endpoint().port(), requests_per_client);
        const measurement proxy_result = measure(proxy_thread, server->port(), requests_per_client);
        throughput_ratios.push_back(proxy_result.requests_per_second / relay_result.requests_per_second);
        cpu_ratios.push_back(relay_result.cpu_microseconds / proxy_result.cpu_microseconds);
        std::printf(
            "round=%d relay_rps=%.0f relay_p99_us=%.0f relay_cpu_us=%.2f proxy_rps=%.0f proxy_p99_us=%.0f "
            "proxy_cpu_us=%.2f ratio=%.3f cpu_ratio=%.3f\n",
            round, relay_result.requests_per_second, relay_result.p99_microseconds,
            relay_result.cpu_microseconds, proxy_result.requests_per_second, proxy_result.p99_microseconds,
            proxy_result.cpu_microseconds, throughput_ratios.back(), cpu_ratios.back());
    }
    std::sort(throughput_ratios.begin(), throughput_ratios.end());
    std::sort(cpu_ratios.begin(), cpu_ratios.end());
    const double median_throughput_ratio = throughput_ratios[throughput_ratios.size() / 2];
    const double median_cpu_ratio = cpu_ratios[cpu_ratios.size() / 2];
    // The bound applies to processor time, because the ratio of throughputs also depends on other processes
    // that the machine runs.
    const bool has_passed = median_cpu_ratio >= min_cpu_ratio && decision_allocations == 0;
    std::printf("median_ratio=%.3f median_cpu_ratio=%.3f decisions=%llu decision_allocations=%llu "
                "upstream_connections=%llu result=%s\n",
                median_throughput_ratio, median_cpu_ratio,
                static_cast<unsigned long long>(decision_count.load()),
                static_cast<unsigned long long>(decision_allocations.load()),
                static_cast<unsigned long long>(pool->created_connections()), has_passed ? "pass" : "fail");
    server->stop();
    return has_passed ? 0 : 1;
}
