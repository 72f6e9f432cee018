// Creates, reads, updates and removes idempotency claims through the store client, under a shared store
// lease.

#include "node/idempotency_claims.h"

#include "core/digest.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspan::node
{

namespace asio = boost::asio;
using dispatch::claim_action;
using dispatch::claim_phase;
using dispatch::store_result;

namespace
{

constexpr std::size_t nonce_bytes = 16;

// How long a repeated request is recognised by the claim of the first one.
constexpr std::chrono::hours claim_lifetime(24);
// Claims written within this period share a lease, so that not every claim costs a lease of its own. The
// lease outlives the period by claim_lifetime.
constexpr std::chrono::hours lease_reuse_period(1);
constexpr std::chrono::seconds lease_check_interval(1);

store_result to_store_result(store::write_outcome outcome)
{
    switch (outcome) {
    case store::write_outcome::applied:
        return store_result::done;
    case store::write_outcome::conflict:
    case store::write_outcome::lease_lost:
        return store_result::conflict;
    case store::write_outcome::unknown:
        return store_result::lost;
    }
    return store_result::lost;
}

void report_write(dispatch::idempotency_claim& target, const store::write_result& written)
{
    target.process_result(to_store_result(written.outcome), written.revision);
}

} // namespace

idempotency_claims::idempotency_claims(asio::any_io_executor control_executor,
                                       std::shared_ptr<store::store_client> store)
    : m_control_executor(std::move(control_executor)), m_store(std::move(store))
{
}

asio::awaitable<std::uint64_t> idempotency_claims::get_or_create_lease()
{
    const core::instant now = std::chrono::steady_clock::now();
    if (m_lease == 0 || now - m_lease_created > lease_reuse_period) {
        m_lease = co_await m_store->create_lease(claim_lifetime + lease_reuse_period);
        m_lease_created = now;
    }
    co_return m_lease;
}

asio::awaitable<void> idempotency_claims::maintain_lease()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        try {
            co_await get_or_create_lease();
        } catch (const std::runtime_error& error) {
            core::debug_event("claim_lease_failed").with("error", error.what());
        }
        timer.expires_after(lease_check_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> idempotency_claims::write(dispatch::idempotency_claim& target,
                                                std::uint64_t expected_revision)
{
    // The store reports a lost lease if it was restored or emptied. Nothing was written then, so the write is
    // repeated under a new lease.
    constexpr int max_attempts = 2;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const std::uint64_t lease = co_await get_or_create_lease();
        const store::write_result written =
            co_await m_store->write(target.key(), target.value(), expected_revision, lease);
        if (written.outcome != store::write_outcome::lease_lost) {
            report_write(target, written);
            co_return;
        }
        m_lease = 0;
    }
    throw store::store_unavailable("claim not written: the store lost the lease at every attempt");
}

asio::awaitable<void> idempotency_claims::perform_next_action(dispatch::idempotency_claim& target)
{
    switch (target.action()) {
    case claim_action::none:
        break;
    case claim_action::create:
        co_await write(target, 0);
        break;
    case claim_action::read: {
        const store::read_result found = co_await m_store->read(target.key());
        if (found.entry) {
            target.process_result(store_result::done, found.entry->revision, found.entry->value);
        } else {
            target.process_result(store_result::absent);
        }
        break;
    }
    case claim_action::update:
        co_await write(target, target.revision());
        break;
    case claim_action::remove: {
        const store::write_result erased = co_await m_store->erase(target.key(), target.revision());
        report_write(target, erased);
        break;
    }
    }
}

asio::awaitable<void> idempotency_claims::perform_actions(std::shared_ptr<dispatch::idempotency_claim> target)
{
    while (target->action() != claim_action::none) {
        bool is_unavailable = false;
        try {
            co_await perform_next_action(*target);
        } catch (const store::store_unavailable&) {
            is_unavailable = true;
        } catch (const store::store_rejected&) {
            is_unavailable = true;
        }
        if (is_unavailable) {
            target->process_result(store_result::unavailable);
        }
    }
}

asio::awaitable<void>
idempotency_claims::run_on_control_executor(std::shared_ptr<dispatch::idempotency_claim> target)
{
    co_await asio::co_spawn(m_control_executor, perform_actions(std::move(target)), asio::use_awaitable);
}

asio::awaitable<std::optional<caller::rejection>>
idempotency_claims::claim(const caller::request_summary& request, const caller::admission& admitted,
                          caller::wait_context&)
{
    const std::shared_ptr<dispatch::idempotency_claim> target =
        std::make_shared<dispatch::idempotency_claim>(dispatch::idempotency_claim::create(
            admitted.workspace, request.idempotency_key, core::random_hex(nonce_bytes)));
    co_await run_on_control_executor(target);
    if (target->phase() == claim_phase::held) {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_held_claims.emplace(request.request_id, target);
        co_return std::nullopt;
    }
    if (target->phase() == claim_phase::duplicate) {
        co_return caller::rejection{dispatch::failure::duplicate_request, core::duration(0),
                                    target->recorded_outcome()};
    }
    co_return caller::rejection{dispatch::failure::claim_unavailable};
}

asio::awaitable<void> idempotency_claims::settle(const caller::request_summary& request,
                                                 const caller::admission&, dispatch::outcome outcome,
                                                 unsigned status)
{
    std::shared_ptr<dispatch::idempotency_claim> target;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        const auto found = m_held_claims.find(request.request_id);
        if (found == m_held_claims.end()) {
            co_return;
        }
        target = std::move(found->second);
        m_held_claims.erase(found);
    }
    target->settle(outcome, status);
    co_await run_on_control_executor(target);
}

} // namespace quetzalspan::node
