// Queues of requests that wait for tokens of a limit while the control thread borrows tokens from peers.

#pragma once

#include "allowance/share.h"
#include "caller/wait_context.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalspan::node
{

// Any thread may call it. Only requests that found no token come here, so a request that is admitted at once
// does not take the lock.
class token_wait_queues
{
public:
    // Micro-tokens that the waiting requests of a limit lack together.
    struct shortage {
        std::string limit;
        std::int64_t micro_tokens = 0;
    };

    // on_shortage is called, outside the lock, when a request begins to wait.
    explicit token_wait_queues(std::function<void()> on_shortage) : m_on_shortage(std::move(on_shortage)) {}

    token_wait_queues(const token_wait_queues&) = delete;
    token_wait_queues& operator=(const token_wait_queues&) = delete;

    // Waits until the tokens are taken from the share, the deadline passes or the request is cancelled.
    // Returns whether the tokens were taken.
    boost::asio::awaitable<bool> wait(std::string limit, std::shared_ptr<allowance::share> share,
                                      std::int64_t micro_tokens, core::instant deadline,
                                      caller::wait_context& context);

    // Gives available tokens to waiting requests, oldest first. Returns what the requests that still wait
    // lack.
    std::vector<shortage> serve();

    // Returns the number of requests that wait.
    std::size_t waiting_count() const;

private:
    struct waiter {
        waiter(const boost::asio::any_io_executor& executor, std::shared_ptr<allowance::share> source,
               std::int64_t wanted)
            : timer(executor), share(std::move(source)), micro_tokens(wanted)
        {
        }

        // Used on the strand of the request.
        boost::asio::steady_timer timer;
        std::shared_ptr<allowance::share> share;
        std::int64_t micro_tokens;
        // Guarded by m_mutex.
        bool is_served = false;
    };

    using waiter_queue = std::deque<std::shared_ptr<waiter>>;

    // Serves the requests at the front of the queue while their share has enough tokens.
    static void serve_queue(waiter_queue& queue);
    // Removes a request that was not served from its queue. Returns whether it was served.
    bool finish_wait(const std::string& limit, const std::shared_ptr<waiter>& entry);

    std::function<void()> m_on_shortage;
    mutable std::mutex m_mutex;
    std::map<std::string, waiter_queue> m_queues;
};

} // namespace quetzalspan::node
