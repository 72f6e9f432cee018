// The store's HTTP and JSON protocol, and the choice of the address for each call.

#include "store/store_client.h"

#include "core/log_event.h"
#include "http/status.h"
#include "store/json_call.h"

#include <random>

namespace quetzalspan::store
{

namespace asio = boost::asio;

namespace
{

// A listing holds several values of up to 1 MB, and escaping as JSON strings makes each longer.
constexpr std::uint64_t body_limit_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_items = 100'000;

std::function<double()> make_default_random()
{
    std::mt19937_64 generator(std::random_device{}());
    return [generator, distribution = std::uniform_real_distribution<double>(0, 1)]() mutable {
        return distribution(generator);
    };
}

std::string key_target(const std::string& key)
{
    return "/v1/kv/" + http::encode_parameter(key);
}

store_entry read_entry(codec::json_reader& in, const Json::Value& value, const std::string& path)
{
    store_entry result;
    result.key = in.read_string(value, "key", path);
    result.value = in.read_string(value, "value", path);
    result.revision = in.read_unsigned(value, "revision", path);
    result.created_revision = in.read_unsigned(value, "created_revision", path);
    result.lease = in.read_unsigned(value, "lease", path);
    return result;
}

std::optional<store_entry> read_optional_entry(codec::json_reader& in, const Json::Value& parent,
                                               const char* name, const std::string& path)
{
    if (!parent.isObject() || parent[name].isNull()) {
        return std::nullopt;
    }
    return read_entry(in, parent[name], path + "." + name);
}

[[noreturn]] void throw_for_status(const http::response& response)
{
    const std::string message =
        "the store responded with status " + std::to_string(response.status) + ": " + response.body;
    if (response.status == 429 || response.status >= 500) {
        throw store_unavailable(message);
    }
    throw store_rejected(message);
}

bool is_server_error(unsigned status)
{
    return status >= 500;
}

} // namespace

store_client::store_client(asio::any_io_executor executor, store_options options, store_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks))
{
    if (m_options.addresses.empty()) {
        throw std::invalid_argument("no store address is configured");
    }
    if (!m_hooks.now) {
        m_hooks.now = [] { return std::chrono::steady_clock::now(); };
    }
    if (!m_hooks.random) {
        m_hooks.random = make_default_random();
    }
    for (const store_address& address : m_options.addresses) {
        m_addresses.push_back(
            {std::make_unique<http::client>(executor, address.host, address.port,
                                            http::client_options{body_limit_bytes, m_options.call_timeout}),
             circuit_breaker(m_options.breaker, [this] { return m_hooks.random(); })});
    }
}

asio::awaitable<read_result> store_client::read(std::string key)
{
    const http::response response = co_await call_read(make_json_request("GET", key_target(key)));
    if (response.status != 200 && response.status != 404) {
        throw_for_status(response);
    }
    co_return parse_json_response<read_result>(response, [](codec::json_reader& in, const Json::Value& body) {
        return read_result{in.read_unsigned(body, "revision", "response"),
                           read_optional_entry(in, body, "entry", "response")};
    });
}

asio::awaitable<list_result> store_client::list(std::string prefix)
{
    const http::response response =
        co_await call_read(make_json_request("GET", "/v1/kv?prefix=" + http::encode_parameter(prefix)));
    if (response.status != 200) {
        throw_for_status(response);
    }
    co_return parse_json_response<list_result>(response, [](codec::json_reader& in, const Json::Value& body) {
        list_result result;
        result.revision = in.read_unsigned(body, "revision", "response");
        in.for_each_item(body, "entries", "response", max_items,
                         [&](const Json::Value& item, const std::string& item_path) {
                             result.entries.push_back(read_entry(in, item, item_path));
                         });
        return result;
    });
}

asio::awaitable<write_result> store_client::write(std::string key, std::string value,
                                                  std::uint64_t expected_revision, std::uint64_t lease)
{
    Json::Value body;
    body["value"] = value;
    body["expected_revision"] = Json::UInt64(expected_revision);
    body["lease"] = Json::UInt64(lease);
    co_return co_await call_write(make_json_request("PUT", key_target(key), body));
}

asio::awaitable<write_result> store_client::erase(std::string key, std::uint64_t expected_revision)
{
    const std::string target = key_target(key) + "?expected_revision=" + std::to_string(expected_revision);
    co_return co_await call_write(make_json_request("DELETE", target));
}

asio::awaitable<watch_result> store_client::watch(std::string prefix, std::uint64_t after_revision,
                                                  core::duration timeout)
{
    const std::string target = "/v1/watch?prefix=" + http::encode_parameter(prefix) +
                               "&after=" + std::to_string(after_revision) +
                               "&timeout_ms=" + std::to_string(core::to_milliseconds(timeout));
    const std::optional<http::response> response =
        co_await call(make_json_request("GET", target), call_kind::watch, timeout + m_options.call_timeout);
    if (!response) {
        throw store_unavailable("the watch timed out without a response");
    }
    if (response->status != 200 && response->status != 410) {
        throw_for_status(*response);
    }
    const bool is_discarded = response->status == 410;
    co_return parse_json_response<watch_result>(*response, [is_discarded](codec::json_reader& in,
                                                                          const Json::Value& body) {
        watch_result result;
        result.is_history_discarded = is_discarded;
        result.revision = in.read_unsigned(body, "revision", "response");
        in.for_each_item(body, "changes", "response", max_items,
                         [&](const Json::Value& item, const std::string& item_path) {
                             result.changes.push_back({in.read_string(item, "key", item_path),
                                                       in.read_unsigned(item, "revision", item_path),
                                                       read_optional_entry(in, item, "entry", item_path)});
                         });
        return result;
    });
}

asio::awaitable<std::uint64_t> store_client::create_lease(core::duration time_to_live)
{
    Json::Value body;
    body["ttl_ms"] = Json::Int64(core::to_milliseconds(time_to_live));
    const std::optional<http::response> response = co_await call(
        make_json_request("POST", "/v1/leases", body), call_kind::write, m_options.call_timeout);
    if (!response) {
        throw store_unavailable("the response to the creation of a lease was lost");
    }
    if (response->status != 200) {
        throw_for_status(*response);
    }
    co_return parse_json_response<std::uint64_t>(*response,
                                                 [](codec::json_reader& in, const Json::Value& document) {
                                                     return in.read_unsigned(document, "lease", "response");
                                                 });
}

asio::awaitable<lease_outcome> store_client::keep_alive(std::uint64_t lease)
{
    co_return co_await call_lease(
        make_json_request("POST", "/v1/leases/" + std::to_string(lease) + "/keepalive"));
}

asio::awaitable<lease_outcome> store_client::revoke_lease(std::uint64_t lease)
{
    co_return co_await call_lease(make_json_request("DELETE", "/v1/leases/" + std::to_string(lease)));
}

asio::awaitable<std::vector<instance_entry>> store_client::list_instances()
{
    const http::response response = co_await call_read(make_json_request("GET", "/v1/instances"));
    if (response.status != 200) {
        throw_for_status(response);
    }
    co_return parse_json_response<std::vector<instance_entry>>(
        response, [](codec::json_reader& in, const Json::Value& body) {
            std::vector<instance_entry> result;
            in.for_each_item(body, "instances", "response", max_items,
                             [&](const Json::Value& item, const std::string& item_path) {
                                 result.push_back({in.read_string(item, "id", item_path),
                                                   in.read_string(item, "state", item_path)});
                             });
            return result;
        });
}

store_statistics store_client::statistics() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_statistics;
}

asio::awaitable<http::response> store_client::call_read(http::request message)
{
    std::optional<http::response> response =
        co_await call(std::move(message), call_kind::read, m_options.call_timeout);
    if (!response) {
        throw store_unavailable("the store did not respond");
    }
    co_return std::move(*response);
}

asio::awaitable<write_result> store_client::call_write(http::request message)
{
    const std::optional<http::response> response =
        co_await call(std::move(message), call_kind::write, m_options.call_timeout);
    write_result result;
    if (!response) {
        co_return result;
    }
    if (response->status == 412) {
        result.outcome = write_outcome::lease_lost;
        co_return result;
    }
    if (response->status != 200 && response->status != 409) {
        if (http::is_client_error(response->status)) {
            throw_for_status(*response);
        }
        co_return result;
    }
    result.outcome = response->status == 200 ? write_outcome::applied : write_outcome::conflict;
    try {
        co_return parse_json_response<write_result>(
            *response, [&result](codec::json_reader& in, const Json::Value& body) {
                write_result parsed = result;
                parsed.revision = in.read_unsigned(body, "revision", "response");
                parsed.current = read_optional_entry(in, body, "current", "response");
                return parsed;
            });
    } catch (const store_unavailable&) {
        // The status tells the outcome, but the revision is missing, so the caller must read it back.
        result.outcome = write_outcome::unknown;
    }
    co_return result;
}

asio::awaitable<lease_outcome> store_client::call_lease(http::request message)
{
    const std::optional<http::response> response =
        co_await call(std::move(message), call_kind::write, m_options.call_timeout);
    if (!response) {
        co_return lease_outcome::unknown;
    }
    if (response->status == 404) {
        co_return lease_outcome::lost;
    }
    if (http::is_client_error(response->status)) {
        throw_for_status(*response);
    }
    co_return response->status == 200 ? lease_outcome::applied : lease_outcome::unknown;
}

asio::awaitable<std::optional<http::response>> store_client::call(http::request message, call_kind kind,
                                                                  core::duration timeout)
{
    std::vector<bool> tried(m_options.addresses.size(), false);
    std::string last_error = "the circuit breakers of all store addresses are open";
    while (const std::optional<std::size_t> address = choose_address(tried)) {
        tried[*address] = true;
        std::optional<http::transport_failure> failure;
        try {
            http::response response = co_await m_addresses[*address].client->send(message, timeout);
            // With status 503 the request was certainly not executed; after any other 5xx status it may have
            // been.
            if (!is_server_error(response.status)) {
                record_success(*address);
                co_return response;
            }
            last_error = "status " + std::to_string(response.status);
            failure = response.status == 503 ? http::transport_failure::not_connected
                                             : http::transport_failure::interrupted;
        } catch (const http::transport_error& error) {
            failure = error.kind();
            last_error = error.what();
        }
        const bool is_stalled_watch =
            kind == call_kind::watch && failure == http::transport_failure::timed_out;
        if (is_stalled_watch) {
            co_return std::nullopt;
        }
        record_failure(*address);
        core::debug_event("store_call_failed")
            .with("host", m_options.addresses[*address].host)
            .with("port", m_options.addresses[*address].port)
            .with("target", message.target)
            .with("error", last_error);
        const bool may_be_executed =
            failure == http::transport_failure::interrupted || failure == http::transport_failure::timed_out;
        if (kind == call_kind::write && may_be_executed) {
            co_return std::nullopt;
        }
    }
    throw store_unavailable(last_error);
}

std::optional<std::size_t> store_client::choose_address(const std::vector<bool>& tried)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const core::instant now = m_hooks.now();
    bool is_suppressed = false;
    for (std::size_t step = 0; step < m_addresses.size(); ++step) {
        const std::size_t address = (m_preferred_address + step) % m_addresses.size();
        if (tried[address]) {
            continue;
        }
        if (m_addresses[address].breaker.allow_call(now)) {
            ++m_statistics.calls;
            return address;
        }
        is_suppressed = true;
    }
    m_statistics.suppressed_calls += is_suppressed ? 1 : 0;
    return std::nullopt;
}

void store_client::record_success(std::size_t address)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_addresses[address].breaker.record_success();
    m_preferred_address = address;
}

void store_client::record_failure(std::size_t address)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    ++m_statistics.failed_calls;
    m_addresses[address].breaker.record_failure(m_hooks.now());
    if (m_preferred_address == address) {
        m_preferred_address = (address + 1) % m_addresses.size();
    }
}

} // namespace quetzalspan::store
