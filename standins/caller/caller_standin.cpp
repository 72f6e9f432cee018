// Looks up instances, sends requests at a fixed rate and counts the results.

#include "standins/caller/caller_standin.h"

#include <json/reader.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sstream>
#include <stdexcept>

namespace quetzalspan::standins
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t response_limit_bytes = 64 * 1024 * 1024;

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

// Returns the body of the upstream stand-in's response: filler and the request body, with the token at both
// ends.
std::string expected_body(const std::string& token, const std::string& body, std::size_t response_bytes)
{
    return token + "\n" + std::string(response_bytes, 'x') + "\n" + body + "\n" + token + "\n";
}

// Returns the token, filled up to the size.
std::string request_body(const std::string& token, std::size_t size)
{
    std::string body = token;
    body.resize(std::max(size, token.size()), 'b');
    return body;
}

} // namespace

std::shared_ptr<caller_standin> caller_standin::create(asio::io_context& context, caller_options options)
{
    if (options.instances.empty()) {
        throw std::invalid_argument("the list of instances is empty; at least one is needed");
    }
    return std::shared_ptr<caller_standin>(new caller_standin(context, std::move(options)));
}

caller_standin::caller_standin(asio::io_context& context, caller_options options)
    : m_context(context), m_options(std::move(options))
{
}

void caller_standin::start()
{
    const std::shared_ptr<caller_standin> self = shared_from_this();
    asio::co_spawn(
        m_context, [self] { return self->send_requests(); }, asio::detached);
}

http::client& caller_standin::client_for(const address& instance)
{
    std::unique_ptr<http::client>& entry = m_clients[{instance.host, instance.port}];
    if (!entry) {
        entry = std::make_unique<http::client>(m_context.get_executor(), instance.host, instance.port,
                                               http::client_options{response_limit_bytes});
    }
    return *entry;
}

asio::awaitable<void> caller_standin::send_requests()
{
    const core::instant start_time = current_time();
    const core::duration interval = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1 / m_options.rate_per_second));
    asio::steady_timer timer(m_context);
    for (std::uint64_t request_number = 0;; ++request_number) {
        const core::instant send_time = start_time + interval * static_cast<std::int64_t>(request_number);
        if (send_time - start_time >= m_options.run_time) {
            co_return;
        }
        timer.expires_at(send_time);
        co_await timer.async_wait(asio::use_awaitable);
        if (m_in_flight >= m_options.concurrency) {
            ++m_counts.skipped;
            continue;
        }
        ++m_in_flight;
        const std::shared_ptr<caller_standin> self = shared_from_this();
        asio::co_spawn(
            m_context, [self, request_number] { return self->send_request(request_number); },
            [self](const std::exception_ptr&) { --self->m_in_flight; });
    }
}

asio::awaitable<address> caller_standin::find_instance()
{
    if (m_options.service.empty()) {
        co_return m_options.instances[m_next_instance++ % m_options.instances.size()];
    }
    if (current_time() >= m_entry_instances_expiry && !m_is_looking_up) {
        m_is_looking_up = true;
        co_await look_up();
        m_is_looking_up = false;
    }
    // Until a lookup has succeeded, falls back to the instances that the caller was started with.
    const std::vector<address>& candidates =
        m_entry_instances.empty() ? m_options.instances : m_entry_instances;
    co_return candidates.front();
}

asio::awaitable<void> caller_standin::look_up()
{
    http::request lookup_request;
    lookup_request.target = "/v1/entry?service=" + http::encode_parameter(m_options.service) +
                            "&client=" + http::encode_parameter(m_options.client_address);
    for (std::size_t attempt = 0; attempt < m_options.instances.size(); ++attempt) {
        const address instance = m_options.instances[m_next_instance++ % m_options.instances.size()];
        ++m_counts.lookups;
        std::string body_text;
        try {
            const http::response response =
                co_await client_for(instance).send(lookup_request, m_options.timeout);
            body_text = response.status == 200 ? response.body : "";
        } catch (const http::transport_error&) {
            body_text.clear();
        }
        Json::Value body;
        std::istringstream input(body_text);
        std::string errors;
        const bool is_valid = Json::parseFromStream(Json::CharReaderBuilder(), input, &body, &errors) &&
                              body.isObject() && body["entries"].isArray() && body["entries"].size() > 0;
        if (!is_valid) {
            ++m_counts.failed_lookups;
            continue;
        }
        m_entry_instances.clear();
        for (const Json::Value& entry : body["entries"]) {
            if (entry.isObject() && entry["host"].isString() && entry["port"].isUInt()) {
                m_entry_instances.push_back(
                    {entry["host"].asString(), static_cast<std::uint16_t>(entry["port"].asUInt())});
            }
        }
        const Json::Value& ttl_ms = body["ttl_ms"];
        m_entry_instances_expiry =
            current_time() + std::chrono::milliseconds(ttl_ms.isInt64() ? ttl_ms.asInt64() : 0);
        co_return;
    }
}

asio::awaitable<void> caller_standin::send_request(std::uint64_t request_number)
{
    const address instance = co_await find_instance();
    const std::string token = m_options.name + "-" + std::to_string(request_number);
    http::request message;
    message.method = m_options.method;
    message.target = m_options.path;
    message.headers = {{"X-Token", token},
                       {"X-Order", token},
                       {"X-Response-Bytes", std::to_string(m_options.response_bytes)}};
    if (!m_options.key.empty()) {
        message.headers.push_back({"Quetzal-Key", m_options.key});
    }
    if (m_options.has_idempotency_keys) {
        message.headers.push_back({"Idempotency-Key", token});
    }
    if (m_options.deadline_ms > 0) {
        message.headers.push_back({"Quetzal-Deadline-Ms", std::to_string(m_options.deadline_ms)});
    }
    const bool has_body = m_options.method == "POST" || m_options.method == "PUT";
    message.body = has_body ? request_body(token, m_options.request_bytes) : std::string();
    const std::string expected_text = expected_body(token, message.body, m_options.response_bytes);
    ++m_counts.sent;
    const core::instant start_time = current_time();
    http::response response;
    try {
        response = co_await client_for(instance).send(message, m_options.timeout);
    } catch (const http::transport_error&) {
        ++m_counts.failed;
        // Expires the cached lookup, so that the next request looks up another instance.
        m_entry_instances_expiry = core::instant();
        co_return;
    }
    constexpr double milliseconds_per_second = 1000;
    m_counts.latencies_ms.push_back(core::to_seconds(current_time() - start_time) * milliseconds_per_second);
    check_response(response, token, expected_text);
}

void caller_standin::check_response(const http::response& response, const std::string& token,
                                    const std::string& expected_text)
{
    ++m_counts.answered;
    ++m_counts.by_status[response.status];
    if (const std::optional<std::string> name = http::find_header(response.headers, "Quetzal-Outcome")) {
        ++m_counts.by_outcome[*name];
    }
    if (const std::optional<std::string> name = http::find_header(response.headers, "Quetzal-Reason")) {
        ++m_counts.by_reason[*name];
    }
    const bool is_expected =
        http::find_header(response.headers, "X-Token") == token && response.body == expected_text;
    if (response.status == 200 && !is_expected) {
        ++m_counts.wrong;
    }
}

} // namespace quetzalspan::standins
