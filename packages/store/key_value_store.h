// The key-value store as the rest of the product sees it. The store client implements it over the product's
// own protocol; a deployment with another store brings its own implementation.

#pragma once

#include "core/time.h"
#include "store/store_types.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace quetzalspan::store
{

// Threads may share a store. Every call throws store_unavailable if there is no reliable response, and
// store_rejected if the store refuses the request itself.
class key_value_store
{
public:
    key_value_store() = default;
    virtual ~key_value_store() = default;

    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;

    // Returns all entries under the prefix. They may be newer than the revision of the listing, never older.
    virtual boost::asio::awaitable<listing> list(std::string prefix) = 0;

    // Writes if the entry's revision is the expected one; 0 means that there must be no entry.
    virtual boost::asio::awaitable<write_result>
    write(std::string key, std::string value, std::uint64_t expected_revision, std::uint64_t lease) = 0;

    // Returns the changes under the prefix after the revision, waiting for the first one at most the
    // time-out.
    virtual boost::asio::awaitable<watch_result> watch(std::string prefix, std::uint64_t after_revision,
                                                       core::duration timeout) = 0;

    virtual boost::asio::awaitable<std::uint64_t> create_lease(core::duration time_to_live) = 0;
    virtual boost::asio::awaitable<lease_outcome> keep_alive(std::uint64_t lease) = 0;
    virtual boost::asio::awaitable<lease_outcome> revoke_lease(std::uint64_t lease) = 0;
};

} // namespace quetzalspan::store
