// Creates and settles the claims of non-idempotent requests in the store.

#pragma once

#include "caller/proxy_hooks.h"
#include "dispatch/idempotency_claim.h"
#include "store/store_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace quetzalspan::node
{

// Runs the store calls of idempotency claims. Request threads call claim() and settle(); the store is called
// on the control executor.
class idempotency_claims
{
public:
    idempotency_claims(boost::asio::any_io_executor control_executor,
                       std::shared_ptr<store::store_client> store);

    idempotency_claims(const idempotency_claims&) = delete;
    idempotency_claims& operator=(const idempotency_claims&) = delete;

    // Creates the shared lease of the claims before a request needs it, so that a lost response of the store
    // delays no request. Runs on the control executor and does not return.
    boost::asio::awaitable<void> maintain_lease();

    // Claims the Idempotency-Key of the request. Returns an empty result if the claim is held, so that the
    // request may be dispatched. Rejects with duplicate_request and the recorded outcome if the key was
    // claimed before, and with claim_unavailable if the store could not confirm the claim.
    boost::asio::awaitable<std::optional<caller::rejection>> claim(const caller::request_summary& request,
                                                                   const caller::admission& admitted,
                                                                   caller::wait_context& context);

    // Records the outcome in the claim, or releases the claim of a request that was not run. Does nothing for
    // a request that holds no claim.
    boost::asio::awaitable<void> settle(const caller::request_summary& request,
                                        const caller::admission& admitted, dispatch::outcome outcome,
                                        unsigned status);

private:
    // Performs the store calls that the claim asks for until none is left. Runs on the control executor.
    boost::asio::awaitable<void> perform_actions(std::shared_ptr<dispatch::idempotency_claim> target);
    boost::asio::awaitable<void> perform_next_action(dispatch::idempotency_claim& target);
    boost::asio::awaitable<void> write(dispatch::idempotency_claim& target, std::uint64_t expected_revision);
    // Returns the lease under which claims are written now; creates one if there is none or it is too old to
    // be shared. Throws what store_client throws.
    boost::asio::awaitable<std::uint64_t> get_or_create_lease();
    boost::asio::awaitable<void> run_on_control_executor(std::shared_ptr<dispatch::idempotency_claim> target);

    boost::asio::any_io_executor m_control_executor;
    std::shared_ptr<store::store_client> m_store;
    // The shared lease and its time of creation. Used on the control executor only; the lease is 0 if there
    // is none.
    std::uint64_t m_lease = 0;
    core::instant m_lease_created;
    std::mutex m_mutex;
    // Held claims by request identifier, until they are settled. Guarded by m_mutex.
    std::map<std::string, std::shared_ptr<dispatch::idempotency_claim>, std::less<>> m_held_claims;
};

} // namespace quetzalspan::node
