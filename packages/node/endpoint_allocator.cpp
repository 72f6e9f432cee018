// Selects an endpoint and takes its permit, queues requests while no endpoint has a free permit, and returns
// the permit at the end of the request.

#include "node/endpoint_allocator.h"

#include "node/fleet_limits.h"
#include "steering/region_selector.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace quetzalspan::node
{

namespace asio = boost::asio;
using dispatch::failure;
using steering::rejection_reason;

namespace
{

// Estimated bytes of a request and its response, charged to the cap of a link between regions. The length of
// the response is not known before it arrives, so the actual bytes cannot be charged.
constexpr std::uint64_t expected_request_bytes = 16 * 1024;

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

core::wall_time current_wall_time()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

steering::request_result to_request_result(const caller::attempt_result& attempt)
{
    if (!attempt.was_contacted) {
        return steering::request_result::cancelled;
    }
    if (!attempt.failure) {
        return steering::request_result::success;
    }
    switch (*attempt.failure) {
    case failure::upstream_shed:
        return steering::request_result::shed;
    case failure::response_timeout:
        return steering::request_result::timeout;
    case failure::connect_failed:
    case failure::nothing_written:
    case failure::response_lost:
    case failure::malformed_response:
    case failure::body_truncated:
        return steering::request_result::failure;
    default:
        return steering::request_result::cancelled;
    }
}

failure to_failure(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::shift_cap:
    case rejection_reason::link_cap:
        return failure::shift_capped;
    case rejection_reason::none:
    case rejection_reason::no_endpoint:
    case rejection_reason::no_permit:
    case rejection_reason::region_in_slow_start:
        break;
    }
    return failure::no_permit;
}

} // namespace

namespace
{

std::uint32_t queue_weight(const published_state& state, const caller::admission& admitted)
{
    return admitted.is_public ? 1 : state.routing().workspaces()[admitted.workspace_index].weight;
}

} // namespace

struct endpoint_allocator::waiter {
    waiter(const asio::any_io_executor& executor, const caller::request_summary& request,
           const caller::admission& admitted)
        : timer(executor),
          request_id(request.request_id),
          is_idempotent(request.is_idempotent),
          state(std::static_pointer_cast<const published_state>(admitted.hook_data)),
          service(admitted.service_index),
          workspace(admitted.workspace),
          weight(queue_weight(*state, admitted))
    {
    }

    // Used on the strand of the request.
    asio::steady_timer timer;
    // Views the request's summary, which outlives the wait.
    std::string_view request_id;
    bool is_idempotent;
    std::shared_ptr<const published_state> state;
    steering::service_index service;
    // Empty for public requests, which share one lane of the queue.
    std::string workspace;
    std::uint32_t weight;
    core::instant leave_region_at;
    std::vector<const steering::endpoint_state*> excluded;
    // The members below are guarded by the allocator's m_mutex while the request is in the queue.
    dispatch::fair_queue::entry queue_entry;
    std::optional<steering::selection> selected;
    rejection_reason last_reason = rejection_reason::none;
};

endpoint_allocator::endpoint_allocator(endpoint_allocator_options options, std::function<void()> on_shortage)
    : m_options(options), m_on_shortage(std::move(on_shortage))
{
}

steering::selection endpoint_allocator::select(const waiter& entry, core::instant now)
{
    // A busy region is left only once half of the time that the request may wait has passed: a request that
    // can still wait for a permit in its own region need not use up the cap on shifted traffic.
    steering::steering_request request;
    request.service = entry.service;
    request.excluded_endpoints = entry.excluded;
    request.expected_bytes = expected_request_bytes;
    request.request_id = entry.request_id;
    request.may_be_trial = entry.is_idempotent;
    request.may_leave_busy_region = now >= entry.leave_region_at;
    const steering::region_selector selector(entry.state->selection_hooks());
    return selector.select(entry.state->routing(), request, now, current_wall_time());
}

caller::endpoint_lease endpoint_allocator::make_lease(const waiter& entry, const steering::selection& chosen)
{
    const steering::endpoint_index index = *chosen.endpoint;
    const steering::compiled_endpoint& endpoint = entry.state->routing().endpoints()[index];
    return caller::endpoint_lease::create(
        endpoint.id, endpoint.host, endpoint.port,
        [this, state = entry.state, index, ticket = chosen.ticket](const caller::attempt_result& result) {
            const core::instant now = current_time();
            steering::endpoint_state& target = *state->routing().endpoints()[index].state;
            if (result.is_draining) {
                target.record_drain(now);
            }
            target.end_request(ticket, to_request_result(result), now);
            state->slot_share(index).release(micro_per_token);
            if (m_waiting_count.load(std::memory_order_acquire) > 0) {
                m_on_shortage();
            }
        });
}

asio::awaitable<caller::lease_result> endpoint_allocator::acquire(const caller::request_summary& request,
                                                                  const caller::admission& admitted,
                                                                  const std::vector<std::string>& tried,
                                                                  caller::wait_context& context)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<waiter> entry = std::make_shared<waiter>(executor, request, admitted);
    const steering::snapshot& routing = entry->state->routing();
    for (const std::string& id : tried) {
        const std::optional<steering::endpoint_index> index = routing.find_endpoint(entry->service, id);
        if (index) {
            entry->excluded.push_back(routing.endpoints()[*index].state.get());
        }
    }
    entry->leave_region_at = current_time() + (context.deadline - current_time()) / 2;
    // A new request tries at once only while no other request waits, so that it does not overtake the queue.
    if (m_waiting_count.load(std::memory_order_acquire) == 0) {
        const steering::selection chosen = select(*entry, current_time());
        if (chosen.endpoint) {
            co_return make_lease(*entry, chosen);
        }
        entry->last_reason = chosen.reason;
        if (chosen.reason == rejection_reason::no_endpoint) {
            co_return caller::rejection{to_failure(chosen.reason)};
        }
    }
    const std::optional<failure> queue_failure = enqueue(entry, context.deadline);
    if (queue_failure) {
        co_return caller::rejection{*queue_failure};
    }
    m_on_shortage();
    entry->timer.expires_at(context.deadline);
    context.on_cancel = [entry] { entry->timer.cancel(); };
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    context.on_cancel = nullptr;
    remove(entry);
    if (entry->selected) {
        co_return make_lease(*entry, *entry->selected);
    }
    co_return caller::rejection{to_failure(entry->last_reason)};
}

endpoint_allocator::service_queue& endpoint_allocator::get_or_create_queue(const waiter& entry)
{
    const std::string& service = entry.state->routing().services()[entry.service].name;
    return m_queues.try_emplace(service, m_options.queue).first->second;
}

core::duration endpoint_allocator::expected_wait(const service_queue& queue, std::string_view workspace)
{
    // Estimates how many requests are served first. In the worst case all that wait are; in a fair queue with
    // equal weights at most as many of each other workspace as of this one.
    const std::size_t ahead = std::min(queue.order.size(), queue.order.workspace_count() *
                                                               (queue.order.workspace_size(workspace) + 1));
    return queue.mean_serve_interval * static_cast<core::duration::rep>(ahead);
}

std::optional<failure> endpoint_allocator::enqueue(const std::shared_ptr<waiter>& entry,
                                                   core::instant deadline)
{
    const core::instant now = current_time();
    const std::lock_guard<std::mutex> guard(m_mutex);
    service_queue& queue = get_or_create_queue(*entry);
    queue.order.set_weight(entry->workspace, entry->weight);
    entry->queue_entry = {++m_last_id, 1, deadline};
    const std::optional<failure> refused =
        queue.order.push(entry->workspace, entry->queue_entry, now, expected_wait(queue, entry->workspace));
    if (refused) {
        return refused;
    }
    queue.entries.emplace(entry->queue_entry.id, entry);
    ++m_waiting_count;
    return std::nullopt;
}

void endpoint_allocator::remove(const std::shared_ptr<waiter>& entry)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    service_queue& queue = get_or_create_queue(*entry);
    queue.order.cancel(entry->queue_entry.id);
    if (queue.entries.erase(entry->queue_entry.id) > 0) {
        --m_waiting_count;
    }
}

bool endpoint_allocator::serve_next(service_queue& queue, core::instant now)
{
    const std::optional<dispatch::fair_queue::identifier> id = queue.order.pop(now);
    if (!id) {
        return false;
    }
    const std::shared_ptr<waiter> entry = queue.entries.at(*id);
    const steering::selection chosen = select(*entry, now);
    if (!chosen.endpoint) {
        entry->last_reason = chosen.reason;
        queue.order.put_back(entry->workspace, entry->queue_entry);
        return false;
    }
    entry->selected = chosen;
    queue.entries.erase(*id);
    --m_waiting_count;
    // The moving average over about eight requests follows a change of load within a few requests.
    constexpr core::duration::rep smoothing_divisor = 8;
    if (queue.last_served != core::instant()) {
        queue.mean_serve_interval +=
            (now - queue.last_served - queue.mean_serve_interval) / smoothing_divisor;
    }
    queue.last_served = queue.order.is_empty() ? core::instant() : now;
    asio::post(entry->timer.get_executor(), [entry] { entry->timer.cancel(); });
    return true;
}

void endpoint_allocator::add_shortages(const service_queue& queue, std::vector<shortage>& result) const
{
    if (queue.entries.empty()) {
        return;
    }
    // Asks for one permit of each busy endpoint in the region of the instance, for at most as many endpoints
    // as there are waiting requests.
    const waiter& first = *queue.entries.begin()->second;
    const steering::snapshot& routing = first.state->routing();
    std::size_t wanted = queue.entries.size();
    const steering::endpoint_range range =
        routing.services()[first.service].endpoint_ranges[routing.own_region()];
    for (steering::endpoint_index index = range.begin; index < range.end && wanted > 0; ++index) {
        const steering::compiled_endpoint& endpoint = routing.endpoints()[index];
        if (endpoint.is_draining || first.state->slot_share(index).tokens_micro() >= micro_per_token) {
            continue;
        }
        result.push_back(
            {slot_limit_name(routing.services()[first.service].name, endpoint.id), micro_per_token});
        --wanted;
    }
}

std::vector<endpoint_allocator::shortage> endpoint_allocator::serve()
{
    std::vector<shortage> result;
    if (m_waiting_count.load(std::memory_order_acquire) == 0) {
        return result;
    }
    const core::instant now = current_time();
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (auto& [service, queue] : m_queues) {
        // Drops expired requests from the order of service. The timer of each one ends its wait.
        queue.order.take_expired(now);
        while (serve_next(queue, now)) {
        }
        add_shortages(queue, result);
    }
    return result;
}

std::size_t endpoint_allocator::waiting_count() const
{
    return m_waiting_count.load();
}

} // namespace quetzalspan::node
