// Implements claims on the store client.

#include "node/claim_keeper.h"

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

// How long a repeated request finds its claim.
constexpr std::chrono::hours claim_lifetime(24);
// Claims written within this time share a lease, so that a claim costs no lease of its own.
constexpr std::chrono::hours lease_use(1);
constexpr std::chrono::seconds lease_check_interval(1);

store_result to_result(store::write_outcome outcome)
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
    target.report(to_result(written.outcome), written.revision);
}

} // namespace

claim_keeper::claim_keeper(asio::any_io_executor control, std::shared_ptr<store::store_client> store)
    : m_control(std::move(control)), m_store(std::move(store))
{
}

asio::awaitable<std::uint64_t> claim_keeper::find_lease()
{
    const core::instant now = std::chrono::steady_clock::now();
    if (m_lease == 0 || now - m_lease_created > lease_use) {
        m_lease = co_await m_store->create_lease(claim_lifetime + lease_use);
        m_lease_created = now;
    }
    co_return m_lease;
}

asio::awaitable<void> claim_keeper::keep_lease()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        try {
            co_await find_lease();
        } catch (const std::runtime_error& error) {
            core::debug_event("claim_lease_failed").with("error", error.what());
        }
        timer.expires_after(lease_check_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> claim_keeper::write(dispatch::idempotency_claim& target,
                                          std::uint64_t expected_revision)
{
    // A lease is lost if the store was restored or emptied; nothing was written then, and a new lease serves.
    constexpr int most_attempts = 2;
    for (int attempt = 0; attempt < most_attempts; ++attempt) {
        const std::uint64_t lease = co_await find_lease();
        const store::write_result written =
            co_await m_store->write(target.key(), target.value(), expected_revision, lease);
        if (written.outcome != store::write_outcome::lease_lost) {
            report_write(target, written);
            co_return;
        }
        m_lease = 0;
    }
    throw store::store_unavailable("the store loses leases");
}

asio::awaitable<void> claim_keeper::perform_one(dispatch::idempotency_claim& target)
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
            target.report(store_result::done, found.entry->revision, found.entry->value);
        } else {
            target.report(store_result::absent);
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

asio::awaitable<void> claim_keeper::perform(std::shared_ptr<dispatch::idempotency_claim> target)
{
    while (target->action() != claim_action::none) {
        bool is_unavailable = false;
        try {
            co_await perform_one(*target);
        } catch (const store::store_unavailable&) {
            is_unavailable = true;
        } catch (const store::store_rejected&) {
            is_unavailable = true;
        }
        if (is_unavailable) {
            target->report(store_result::unavailable);
        }
    }
}

asio::awaitable<void> claim_keeper::run(std::shared_ptr<dispatch::idempotency_claim> target)
{
    co_await asio::co_spawn(m_control, perform(std::move(target)), asio::use_awaitable);
}

asio::awaitable<std::optional<caller::rejection>> claim_keeper::claim(const caller::request_summary& request,
                                                                      const caller::admission& admitted,
                                                                      caller::wait_context&)
{
    const std::shared_ptr<dispatch::idempotency_claim> target =
        std::make_shared<dispatch::idempotency_claim>(dispatch::idempotency_claim::create(
            admitted.workspace, request.idempotency_key, core::random_hex(nonce_bytes)));
    co_await run(target);
    if (target->phase() == claim_phase::held) {
        const std::lock_guard<std::mutex> guard(m_guard);
        m_held.emplace(request.request_id, target);
        co_return std::nullopt;
    }
    if (target->phase() == claim_phase::duplicate) {
        co_return caller::rejection{dispatch::failure::duplicate_request, core::duration(0),
                                    target->recorded()};
    }
    co_return caller::rejection{dispatch::failure::claim_unavailable};
}

asio::awaitable<void> claim_keeper::settle(const caller::request_summary& request, const caller::admission&,
                                           dispatch::outcome outcome, unsigned status)
{
    std::shared_ptr<dispatch::idempotency_claim> target;
    {
        const std::lock_guard<std::mutex> guard(m_guard);
        const auto found = m_held.find(request.request_id);
        if (found == m_held.end()) {
            co_return;
        }
        target = std::move(found->second);
        m_held.erase(found);
    }
    target->settle(outcome, status);
    co_await run(target);
}

} // namespace quetzalspan::node
