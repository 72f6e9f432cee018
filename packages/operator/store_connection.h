// A small synchronous client of the store's HTTP interface, for commands that run to their end.

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

struct stored_entry {
    std::string key;
    std::string value;
    std::uint64_t store_revision = 0;
};

// Not thread-safe. Addresses are tried in order, the last one that answered first.
class store_connection
{
public:
    // Throws std::invalid_argument if there is no address.
    store_connection(const std::vector<config::host_port>& addresses, core::duration timeout);

    store_connection(const store_connection&) = delete;
    store_connection& operator=(const store_connection&) = delete;

    // Return nothing or an empty list for keys that do not exist. Throw store_error if no address answers.
    std::optional<stored_entry> read(const std::string& key);
    std::vector<stored_entry> list(const std::string& prefix);

    // Throws store_error if certainly nothing was written.
    write_outcome write(const std::string& key, const std::string& value, std::uint64_t expected_revision);

    // Returns the hooks for "config/current". The connection must outlive them.
    configuration_store make_configuration_store();

private:
    http::response send(const http::request& message, http::client& client);
    // Sends to one address after the other until one answers with a status below 500 other than 429.
    http::response send_with_failover(const http::request& message);

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<http::client>> m_clients;
    core::duration m_timeout;
};

} // namespace quetzalspan::admin
