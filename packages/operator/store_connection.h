// A synchronous client of the HTTP interface of the store, for command-line programs.

#pragma once

#include "config/host_port.h"
#include "http/client.h"
#include "operator/configuration_store.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace quetzalspan::admin
{

// A key of the store with its value.
struct stored_entry {
    std::string key;
    std::string value;
    // The store's revision of the last write to the key.
    std::uint64_t store_revision = 0;
};

// Tries the addresses of the store in order. The address that answered the latest read or list is tried
// first. Not thread-safe.
class store_connection
{
public:
    // The timeout holds for each request to one address. Throws std::invalid_argument if there is no address.
    store_connection(const std::vector<config::host_port>& addresses, core::duration timeout);

    store_connection(const store_connection&) = delete;
    store_connection& operator=(const store_connection&) = delete;

    // Return nothing or an empty list for keys that do not exist. Throw store_error if no address answers, or
    // if the response is an error or cannot be parsed.
    std::optional<stored_entry> read(const std::string& key);
    std::vector<stored_entry> list(const std::string& prefix);

    // Writes the value if the store's revision of the key equals the expected one; 0 means that the key must
    // not exist. Throws store_error if no address accepted the write, so that nothing was written. Returns
    // unknown, and tries no further address, if the request may have reached the store and the response was
    // lost or a server error.
    write_outcome write(const std::string& key, const std::string& value, std::uint64_t expected_revision);

    // Returns the read and write hooks for the key "config/current". The connection must outlive them.
    configuration_store make_configuration_store();

private:
    http::response send(const http::request& message, http::client& client);
    // Sends to one address after another until one responds with a status below 500 other than 429. Throws
    // store_error if none does. Not for writes: a write must stop at the first unknown outcome.
    http::response send_with_failover(const http::request& message);

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<http::client>> m_clients;
    core::duration m_timeout;
};

} // namespace quetzalspan::admin
