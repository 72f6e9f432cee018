// Interface of a key-value store with revisions, watches and leases. store_client implements it over the
// product's own protocol; a deployment with another store supplies its own implementation.

#pragma once

#include "core/time.h"
#include "store/store_types.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace quetzalspan::store
{

// Safe for concurrent use. Every call throws store_unavailable if the store gave no valid response, and
// store_rejected if the store rejects the request as invalid.
class key_value_store
{
public:
    key_value_store() = default;
    virtual ~key_value_store() = default;

    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;

    // Returns all entries whose keys begin with the prefix. Entries may be newer than the revision of the
    // listing, never older.
    virtual boost::asio::awaitable<list_result> list(std::string prefix) = 0;

    // Writes the value if the entry has the expected revision; 0 means that the key must not exist yet.
    // Attaches the entry to the lease unless that is 0.
    virtual boost::asio::awaitable<write_result>
    write(std::string key, std::string value, std::uint64_t expected_revision, std::uint64_t lease) = 0;

    // Returns the changes after the revision to keys that begin with the prefix. Waits for the first change
    // for at most the time-out; then the list of changes is empty.
    virtual boost::asio::awaitable<watch_result> watch(std::string prefix, std::uint64_t after_revision,
                                                       core::duration timeout) = 0;

    // Returns the highest epoch that a response has named; 0 if none has. See list_result.
    virtual std::uint64_t epoch() const { return 0; }

    // Returns the id of the new lease. It expires unless it is renewed within its time to live.
    virtual boost::asio::awaitable<std::uint64_t> create_lease(core::duration time_to_live) = 0;
    // Renews the lease for its full time to live.
    virtual boost::asio::awaitable<lease_outcome> keep_alive(std::uint64_t lease) = 0;
    // Ends the lease, which deletes its entries.
    virtual boost::asio::awaitable<lease_outcome> revoke_lease(std::uint64_t lease) = 0;
};

} // namespace quetzalspan::store
