// Asynchronous HTTP client of the key-value store, with failover between its addresses.

#pragma once

#include "core/time.h"
#include "http/client.h"
#include "store/circuit_breaker.h"
#include "store/key_value_store.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalspan::store
{

struct store_address {
    std::string host;
    std::uint16_t port = 0;
};

struct store_options {
    std::vector<store_address> addresses;
    // Time-out of a call to one address. The store normally responds within milliseconds.
    core::duration call_timeout = std::chrono::seconds(1);
    circuit_breaker_options breaker;
};

// Sources of time and randomness, which tests replace. The defaults are the steady clock and a randomly
// seeded generator.
struct store_hooks {
    std::function<core::instant()> now;
    // Returns a fraction from 0 to 1. Called while the client's mutex is held.
    std::function<double()> random;
};

struct store_statistics {
    // Requests sent, of any kind.
    std::uint64_t calls = 0;
    std::uint64_t failed_calls = 0;
    // Calls that could not go on to an untried address because its circuit breaker was open.
    std::uint64_t suppressed_calls = 0;
};

// Safe for concurrent use. Reads and listings try each address once. A write is sent to another address only
// if the previous one certainly did not execute it. Every call throws store_unavailable if no address can be
// used, and store_rejected if the store rejects the request as invalid.
class store_client : public key_value_store
{
public:
    // Throws std::invalid_argument if there are no addresses, and boost::system::system_error if one is not
    // a numeric IP address.
    store_client(boost::asio::any_io_executor executor, store_options options, store_hooks hooks = {});

    boost::asio::awaitable<read_result> read(std::string key);
    boost::asio::awaitable<list_result> list(std::string prefix) override;

    // Writes the value if the entry has the expected revision; 0 means that the key must not exist yet.
    boost::asio::awaitable<write_result> write(std::string key, std::string value,
                                               std::uint64_t expected_revision,
                                               std::uint64_t lease = 0) override;
    // Deletes the entry if it has the expected revision.
    boost::asio::awaitable<write_result> erase(std::string key, std::uint64_t expected_revision);

    // Returns the changes after the revision to keys that begin with the prefix. Waits for the first change
    // for at most the time-out. A watch that gets no response does not count as a failure of the address,
    // since a watch can stall while the address serves other calls.
    boost::asio::awaitable<watch_result> watch(std::string prefix, std::uint64_t after_revision,
                                               core::duration timeout) override;

    // Returns the id of the new lease. Throws store_unavailable if the response is lost; a lease that was
    // created then expires unused.
    boost::asio::awaitable<std::uint64_t> create_lease(core::duration time_to_live) override;
    boost::asio::awaitable<lease_outcome> keep_alive(std::uint64_t lease) override;
    boost::asio::awaitable<lease_outcome> revoke_lease(std::uint64_t lease) override;

    // Returns the platform's list of live and leaving instances, which lags behind the member records.
    boost::asio::awaitable<std::vector<instance_entry>> list_instances();

    store_statistics statistics() const;

private:
    enum class call_kind { read, write, watch };
    struct address_state {
        std::unique_ptr<http::client> client;
        circuit_breaker breaker;
    };

    // Sends the request to one address after another until one responds. Returns nothing if a write got no
    // response but may have been executed, or if a watch timed out.
    boost::asio::awaitable<std::optional<http::response>> call(http::request message, call_kind kind,
                                                               core::duration timeout);
    boost::asio::awaitable<http::response> call_read(http::request message);
    boost::asio::awaitable<write_result> call_write(http::request message);
    boost::asio::awaitable<lease_outcome> call_lease(http::request message);

    // Returns the index of the next address to call, or nothing if the circuit breakers of all untried
    // addresses are open.
    std::optional<std::size_t> choose_address(const std::vector<bool>& tried);
    void record_success(std::size_t address);
    void record_failure(std::size_t address);

    store_options m_options;
    store_hooks m_hooks;
    mutable std::mutex m_mutex;
    // m_mutex protects the members below. The list of addresses itself does not change.
    std::vector<address_state> m_addresses;
    // Index of the address that is called first: the last one that responded, or the one after the last that
    // failed.
    std::size_t m_preferred_address = 0;
    store_statistics m_statistics;
};

} // namespace quetzalspan::store
