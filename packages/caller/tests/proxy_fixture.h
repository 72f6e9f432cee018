// A proxy server whose hooks admit every request, with two scripted upstreams and a caller that sends raw
// bytes, all on the loopback interface.

#pragma once

#include "caller/proxy_server.h"
#include "packages/caller/tests/scripted_upstream.h"

#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzalspan::testing
{

// The values of a record that the hook on_finished() received.
struct finished_request {
    std::optional<dispatch::failure> failure;
    dispatch::outcome outcome = dispatch::outcome::unknown;
    unsigned status = 0;
    std::uint32_t attempts = 0;
};

// A caller's connection that sends and receives raw bytes.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port);

    // Sends the text. Errors are ignored, because a server may close before it has read everything.
    void send(const std::string& text);
    // Returns what arrives until the connection ends or the hang time-out passes. Sets was_reset() unless the
    // peer closed the connection in an orderly way.
    std::string receive_all();
    // Returns one response, delimited by Content-Length or by the last chunk. If the connection ends before,
    // returns what has arrived.
    std::string receive_response();
    void close();
    bool was_reset() const { return m_was_reset; }

private:
    bool receive_more();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_was_reset = false;
};

class proxy_fixture
{
public:
    proxy_fixture();
    ~proxy_fixture();

    proxy_fixture(const proxy_fixture&) = delete;
    proxy_fixture& operator=(const proxy_fixture&) = delete;

    // Starts the server with the options and hooks below.
    void start();

    // Requires responses to have the signature and the identifier of the request. The caller chooses the
    // identifier.
    void require_signature();

    // Sends one request on a new connection and returns the response.
    std::string exchange(const std::string& text);

    // Waits until at least that many requests have finished, and returns the records of all finished
    // requests. After the hang time-out, returns those that there are.
    std::vector<finished_request> wait_for_finished(std::size_t count);

    // Polls the condition every millisecond until it holds or the hang time-out passes.
    static void wait_until(const std::function<bool()>& condition);

    // Declared first, so that it is destroyed after everything that uses its services.
    boost::asio::io_context context;
    // Runs the upstreams on one thread; the server runs on several.
    boost::asio::io_context upstream_context;
    caller::proxy_options options;
    caller::proxy_hooks hooks;
    upstream::connection_pool_options pool_options;
    std::shared_ptr<scripted_upstream> first;
    std::shared_ptr<scripted_upstream> second;
    std::shared_ptr<caller::proxy_server> server;
    std::shared_ptr<upstream::connection_pool> pool;
    // If it is not 0, all attempts go to the upstream at this port instead of the scripted ones.
    std::atomic<std::uint16_t> upstream_port{0};
    // Leases created minus leases released. It differs from zero after all requests have ended if a lease was
    // lost or released twice.
    std::atomic<int> open_leases{0};
    std::atomic<unsigned> rejected_message_count{0};

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<finished_request> m_finished;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_upstream_work;
    std::vector<std::thread> m_threads;
};

// Returns a request with the framing fields of its body.
std::string make_request(const std::string& method, const std::string& target, const std::string& body = "",
                         const std::string& fields = "");

// Returns the status code of a response, or 0 if the response is too short to have one.
int parse_status(const std::string& response);

// Returns whether the response is complete according to Content-Length or, without it, to the last chunk.
bool is_complete_response(const std::string& response);

bool contains(const std::string& text, const std::string& part);

} // namespace quetzalspan::testing
