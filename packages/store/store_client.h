// The asynchronous client of the platform's key-value store.

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
    // Time for one call at one address. The store responds in milliseconds.
    core::duration call_timeout = std::chrono::seconds(1);
    circuit_breaker_options breaker;
};

// Hooks for what is not deterministic; the defaults are the steady clock and a seeded generator.
struct store_hooks {
    std::function<core::instant()> now;
    // Returns a fraction from 0 to 1. Called under the client's lock.
    std::function<double()> random;
};

struct store_statistics {
    // HTTP messages sent, of any kind.
    std::uint64_t calls = 0;
    std::uint64_t failed_calls = 0;
    // Calls that the circuit breaker held back.
    std::uint64_t suppressed_calls = 0;
};

// Threads may share a client. Reads and lists try each address once; a write goes to a further address only
// if it was certainly not executed at the one before. Every call throws store_unavailable if no address can
// be used, and store_rejected if the store refuses the request itself.
class store_client : public key_value_store
{
public:
    // Throws std::invalid_argument without addresses, boost::system::system_error for one that is not
    // numeric.
    store_client(boost::asio::any_io_executor executor, store_options options, store_hooks hooks = {});

    boost::asio::awaitable<read_result> read(std::string key);
    boost::asio::awaitable<listing> list(std::string prefix) override;

    // Writes if the entry's revision is the expected one; 0 means that there must be no entry.
    boost::asio::awaitable<write_result> write(std::string key, std::string value,
                                               std::uint64_t expected_revision,
                                               std::uint64_t lease = 0) override;
    boost::asio::awaitable<write_result> erase(std::string key, std::uint64_t expected_revision);

    // Returns the changes under the prefix after the revision, waiting for the first one at most the
    // time-out. A watch never counts against an address by timing out: it may have stalled on its own.
    boost::asio::awaitable<watch_result> watch(std::string prefix, std::uint64_t after_revision,
                                               core::duration timeout) override;

    // Returns the new lease. A lost response leaves a lease that expires unused; the call throws
    // store_unavailable.
    boost::asio::awaitable<std::uint64_t> create_lease(core::duration time_to_live) override;
    boost::asio::awaitable<lease_outcome> keep_alive(std::uint64_t lease) override;
    boost::asio::awaitable<lease_outcome> revoke_lease(std::uint64_t lease) override;

    // The platform's lagging list of live and leaving instances.
    boost::asio::awaitable<std::vector<instance_entry>> list_instances();

    store_statistics statistics() const;

private:
    enum class call_kind { read, write, watch };
    struct address_state {
        std::unique_ptr<http::client> client;
        circuit_breaker breaker;
    };

    // Sends the message to the addresses in turn. Returns nothing if a write may have been executed.
    boost::asio::awaitable<std::optional<http::response>> call(http::request message, call_kind kind,
                                                               core::duration timeout);
    boost::asio::awaitable<http::response> call_read(http::request message);
    boost::asio::awaitable<write_result> call_write(http::request message);
    boost::asio::awaitable<lease_outcome> call_lease(http::request message);

    // Returns the address to use, or nothing if all that were not yet tried are held back.
    std::optional<std::size_t> choose_address(const std::vector<bool>& tried);
    void record_success(std::size_t address);
    void record_failure(std::size_t address);

    store_options m_options;
    store_hooks m_hooks;
    mutable std::mutex m_guard;
    // The rest is guarded by m_guard; the list of addresses itself does not change.
    std::vector<address_state> m_addresses;
    std::size_t m_preferred_address = 0;
    store_statistics m_statistics;
};

} // namespace quetzalspan::store
