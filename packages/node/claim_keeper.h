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

// Called from request threads; the store is called on the control executor.
class claim_keeper
{
public:
    claim_keeper(boost::asio::any_io_executor control, std::shared_ptr<store::store_client> store);

    claim_keeper(const claim_keeper&) = delete;
    claim_keeper& operator=(const claim_keeper&) = delete;

    // Creates the lease of claims ahead of need, so that a lost response of the store delays no request. Runs
    // on the control executor and does not end.
    boost::asio::awaitable<void> keep_lease();

    // Returns nothing if the claim is held, so that the request may be dispatched.
    boost::asio::awaitable<std::optional<caller::rejection>> claim(const caller::request_summary& request,
                                                                   const caller::admission& admitted,
                                                                   caller::wait_context& context);

    // Records the outcome, or releases the claim of a request that was not run.
    boost::asio::awaitable<void> settle(const caller::request_summary& request,
                                        const caller::admission& admitted, dispatch::outcome outcome,
                                        unsigned status);

private:
    // Performs the actions of the claim until none is left. Runs on the control executor.
    boost::asio::awaitable<void> perform(std::shared_ptr<dispatch::idempotency_claim> target);
    boost::asio::awaitable<void> perform_one(dispatch::idempotency_claim& target);
    boost::asio::awaitable<void> write(dispatch::idempotency_claim& target, std::uint64_t expected_revision);
    // Returns the lease that bounds the life of the claims written now.
    boost::asio::awaitable<std::uint64_t> find_lease();
    boost::asio::awaitable<void> run(std::shared_ptr<dispatch::idempotency_claim> target);

    boost::asio::any_io_executor m_control;
    std::shared_ptr<store::store_client> m_store;
    // Used on the control executor. 0 if there is none.
    std::uint64_t m_lease = 0;
    core::instant m_lease_created;
    std::mutex m_guard;
    // Held claims by request identifier.
    std::map<std::string, std::shared_ptr<dispatch::idempotency_claim>, std::less<>> m_held;
};

} // namespace quetzalspan::node
