// Sends the requests of the store client, with failover for reads, and parses the responses.

#include "operator/store_connection.h"

#include "core/json_text.h"
#include "http/status.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <json/json.h>

#include <algorithm>

namespace quetzalspan::admin
{

namespace asio = boost::asio;

namespace
{

// A list response may hold the member records of a large fleet.
constexpr std::uint64_t body_limit_bytes = 64 * 1024 * 1024;

Json::Value parse_response(const http::response& response)
{
    std::optional<Json::Value> root = core::parse_json_object(response.body);
    if (!root) {
        throw store_error("the store's response is not a JSON object");
    }
    return std::move(*root);
}

stored_entry read_entry(const Json::Value& value)
{
    if (!value.isObject() || !value["key"].isString() || !value["value"].isString() ||
        !value["revision"].isUInt64()) {
        throw store_error("the store's response lacks key, value or revision of an entry");
    }
    return {value["key"].asString(), value["value"].asString(), value["revision"].asUInt64()};
}

std::string key_target(const std::string& key)
{
    return "/v1/kv/" + http::encode_parameter(key);
}

} // namespace

store_connection::store_connection(const std::vector<config::host_port>& addresses, core::duration timeout)
    : m_timeout(timeout)
{
    if (addresses.empty()) {
        throw std::invalid_argument("no store address was given; use --store=host:port");
    }
    for (const config::host_port& address : addresses) {
        m_clients.push_back(std::make_unique<http::client>(
            m_context.get_executor(), address.host, address.port, http::client_options{body_limit_bytes}));
    }
}

http::response store_connection::send(const http::request& message, http::client& client)
{
    std::future<http::response> result =
        asio::co_spawn(m_context, client.send(message, m_timeout), asio::use_future);
    m_context.restart();
    m_context.run();
    return result.get();
}

http::response store_connection::send_with_failover(const http::request& message)
{
    std::string last_failure;
    for (std::size_t index = 0; index < m_clients.size(); ++index) {
        http::client& client = *m_clients[index];
        const std::string address = config::to_text({client.host(), client.port()});
        try {
            const http::response response = send(message, client);
            if (response.status < 500 && response.status != 429) {
                std::rotate(m_clients.begin(), m_clients.begin() + static_cast<std::ptrdiff_t>(index),
                            m_clients.begin() + static_cast<std::ptrdiff_t>(index) + 1);
                return response;
            }
            last_failure = address + ": status " + std::to_string(response.status);
        } catch (const http::transport_error& error) {
            last_failure = address + ": " + error.what();
        }
    }
    throw store_error("the store does not answer (" + last_failure + ")");
}

std::optional<stored_entry> store_connection::read(const std::string& key)
{
    http::request message;
    message.target = key_target(key);
    const http::response response = send_with_failover(message);
    if (response.status != 200 && response.status != 404) {
        throw store_error("the store refused to read " + key + ": status " + std::to_string(response.status));
    }
    // The store's own 404 response has a JSON body. A 404 without one comes from something else at this
    // address and is an error.
    const Json::Value body = parse_response(response);
    if (body["entry"].isNull()) {
        return std::nullopt;
    }
    return read_entry(body["entry"]);
}

std::vector<stored_entry> store_connection::list(const std::string& prefix)
{
    http::request message;
    message.target = "/v1/kv?prefix=" + http::encode_parameter(prefix);
    const http::response response = send_with_failover(message);
    if (response.status != 200) {
        throw store_error("the store refused to list " + prefix + ": status " +
                          std::to_string(response.status));
    }
    const Json::Value body = parse_response(response);
    if (!body["entries"].isArray()) {
        throw store_error("the store's response lacks the list of entries");
    }
    std::vector<stored_entry> entries;
    for (const Json::Value& item : body["entries"]) {
        entries.push_back(read_entry(item));
    }
    return entries;
}

write_outcome store_connection::write(const std::string& key, const std::string& value,
                                      std::uint64_t expected_revision)
{
    Json::Value body;
    body["value"] = value;
    body["expected_revision"] = Json::UInt64(expected_revision);
    body["lease"] = 0;
    http::request message;
    message.method = "PUT";
    message.target = key_target(key);
    message.headers.push_back({"Content-Type", "application/json"});
    message.body = Json::writeString(Json::StreamWriterBuilder(), body);
    std::string last_failure;
    for (const std::unique_ptr<http::client>& client : m_clients) {
        try {
            const http::response response = send(message, *client);
            if (response.status == 200) {
                return write_outcome::applied;
            }
            if (response.status == 409) {
                return write_outcome::conflict;
            }
            if (!http::is_client_error(response.status)) {
                return write_outcome::unknown;
            }
            last_failure = "status " + std::to_string(response.status) + " " + response.body;
        } catch (const http::transport_error& error) {
            // Unless the connection was never opened, the request may have reached the store.
            if (error.kind() != http::transport_failure::refused &&
                error.kind() != http::transport_failure::not_connected) {
                return write_outcome::unknown;
            }
            last_failure = error.what();
        }
    }
    throw store_error("the store did not accept the write (" + last_failure + "); nothing was written");
}

configuration_store store_connection::make_configuration_store()
{
    constexpr const char* key = "config/current";
    configuration_store store;
    store.read = [this]() -> std::optional<stored_configuration> {
        const std::optional<stored_entry> entry = read(key);
        if (!entry) {
            return std::nullopt;
        }
        return stored_configuration{entry->value, entry->store_revision};
    };
    store.write = [this](const std::string& text, std::uint64_t expected_revision) {
        return write(key, text, expected_revision);
    };
    return store;
}

} // namespace quetzalspan::admin
