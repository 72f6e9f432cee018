// Finds an endpoint with a free permit for a request, and queues the request fairly among workspaces while
// there is none.

#pragma once

#include "caller/proxy_hooks.h"
#include "dispatch/fair_queue.h"
#include "node/published_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalspan::node
{

struct endpoint_allocator_options {
    // Limits of the queue that each service has.
    dispatch::fair_queue_options queue{dispatch::queue_discipline::deficit_round_robin, 64, 512, 1};
};

// Assigns endpoints to requests. Any thread may call it. A request that finds a free permit takes no lock
// while no other request waits.
class endpoint_allocator
{
public:
    // A limit that waiting requests lack permits or tokens of. The control thread borrows that many
    // micro-tokens from peers.
    struct shortage {
        std::string limit;
        std::int64_t micro_tokens = 0;
    };

    // on_shortage is called, outside the lock, when a request begins to wait, and when a permit is returned
    // while requests wait.
    endpoint_allocator(endpoint_allocator_options options, std::function<void()> on_shortage);

    endpoint_allocator(const endpoint_allocator&) = delete;
    endpoint_allocator& operator=(const endpoint_allocator&) = delete;

    // Waits for an endpoint with a free permit until the deadline of the context, and takes the permit.
    // Endpoints whose ids are in tried are left out. Returns a rejection if no endpoint can be used, the
    // queue refuses the request, or the wait ends without a permit.
    boost::asio::awaitable<caller::lease_result> acquire(const caller::request_summary& request,
                                                         const caller::admission& admitted,
                                                         const std::vector<std::string>& tried,
                                                         caller::wait_context& context);

    // Gives free permits to waiting requests. Called when permits have become free. Returns what the requests
    // that still wait lack.
    std::vector<shortage> serve();

    // Returns the number of requests that wait.
    std::size_t waiting_count() const;

private:
    struct waiter;

    // The waiting requests of one service.
    struct service_queue {
        explicit service_queue(const dispatch::fair_queue_options& options) : order(options) {}

        dispatch::fair_queue order;
        std::map<dispatch::fair_queue::identifier, std::shared_ptr<waiter>> entries;
        // Moving average of the time between two requests that were served from the queue; 0 before the first
        // two.
        core::duration mean_serve_interval{0};
        core::instant last_served;
    };

    static steering::selection select(const waiter& entry, core::instant now);
    static core::duration expected_wait(const service_queue& queue, std::string_view workspace);
    caller::endpoint_lease make_lease(const waiter& entry, const steering::selection& chosen);
    // Serves the request that is next in turn. Returns false if the queue is empty or no endpoint can be
    // selected.
    bool serve_next(service_queue& queue, core::instant now);
    void add_shortages(const service_queue& queue, std::vector<shortage>& result) const;
    std::optional<dispatch::failure> enqueue(const std::shared_ptr<waiter>& entry, core::instant deadline);
    void remove(const std::shared_ptr<waiter>& entry);
    service_queue& get_or_create_queue(const waiter& entry);

    endpoint_allocator_options m_options;
    std::function<void()> m_on_shortage;
    std::atomic<std::size_t> m_waiting_count{0};
    mutable std::mutex m_mutex;
    // By service name, which does not change from one configuration to the next, unlike service indexes.
    std::map<std::string, service_queue> m_queues;
    dispatch::fair_queue::identifier m_last_id = 0;
};

} // namespace quetzalspan::node
