// A caller for tests and the demo. It looks up an instance for its service, sends requests at a fixed rate
// and checks that each response is complete and belongs to its request.

#pragma once

#include "core/time.h"
#include "http/client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalspan::standins
{

struct address {
    std::string host;
    std::uint16_t port = 0;
};

struct caller_options {
    // Instances that lookups are sent to. Without a service to look up, requests go to them in turn.
    std::vector<address> instances;
    // Name of the service to look up; empty for no lookups.
    std::string service;
    // Client address sent in lookups; the instances find its client block by it.
    std::string client_address = "127.0.0.1";
    // Value of Quetzal-Key; empty sends none.
    std::string key;
    std::string method = "POST";
    std::string path = "/";
    // Whether each request gets its own Idempotency-Key.
    bool has_idempotency_keys = false;
    double rate_per_second = 100;
    // Requests in flight at the same time. A request above this limit is not sent and counts as skipped.
    std::uint32_t concurrency = 32;
    // Time during which requests are sent.
    core::duration run_time = std::chrono::seconds(5);
    // Time limit for a request or lookup.
    core::duration timeout = std::chrono::seconds(10);
    // Value of Quetzal-Deadline-Ms; 0 sends none.
    std::uint32_t deadline_ms = 0;
    // Size of the bodies of POST and PUT requests; the token is sent in full even if it is longer.
    std::size_t request_bytes = 64;
    // Size of the filler that the upstream stand-in is asked to put into response bodies.
    std::size_t response_bytes = 64;
    // Prefix of the request tokens. Callers with the same name would send the same tokens.
    std::string name = "caller";
};

struct caller_counts {
    std::uint64_t sent = 0;
    // Responses of any status.
    std::uint64_t answered = 0;
    // Responses with status 200 that are incomplete or belong to another request.
    std::uint64_t wrong = 0;
    // Requests whose connection failed or that got no complete response within the timeout.
    std::uint64_t failed = 0;
    // Requests not sent because of the concurrency limit.
    std::uint64_t skipped = 0;
    std::uint64_t lookups = 0;
    std::uint64_t failed_lookups = 0;
    // Responses by status and by the values of Quetzal-Outcome and Quetzal-Reason.
    std::map<unsigned, std::uint64_t> by_status;
    std::map<std::string, std::uint64_t> by_outcome;
    std::map<std::string, std::uint64_t> by_reason;
    // Latencies of the responses in milliseconds, in the order of arrival.
    std::vector<double> latencies_ms;
};

// The io_context must be run by one thread only.
class caller_standin : public std::enable_shared_from_this<caller_standin>
{
public:
    // Throws std::invalid_argument if the list of instances is empty.
    static std::shared_ptr<caller_standin> create(boost::asio::io_context& context, caller_options options);

    // Begins to send requests and returns. The io_context runs out of work once the run time has passed and
    // all requests have ended.
    void start();

    const caller_counts& counts() const { return m_counts; }

private:
    caller_standin(boost::asio::io_context& context, caller_options options);

    boost::asio::awaitable<void> send_requests();
    boost::asio::awaitable<void> send_request(std::uint64_t request_number);
    // Returns the instance for the next request: from the last lookup, which is renewed when its TTL has
    // passed.
    boost::asio::awaitable<address> find_instance();
    // Looks up the service at one instance after the other until one gives a valid response.
    boost::asio::awaitable<void> look_up();
    void check_response(const http::response& response, const std::string& token,
                        const std::string& expected_text);
    // Returns the client for the instance, which is kept so that its connections are reused.
    http::client& client_for(const address& instance);

    boost::asio::io_context& m_context;
    caller_options m_options;
    caller_counts m_counts;
    std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<http::client>> m_clients;
    // The cached result of the last lookup and the end of its TTL.
    std::vector<address> m_entry_instances;
    core::instant m_entry_instances_expiry;
    bool m_is_looking_up = false;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_next_instance = 0;
};

} // namespace quetzalspan::standins
