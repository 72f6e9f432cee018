// Queues requests by limit and gives them tokens in order of arrival.

#include "node/token_wait_queues.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace quetzalspan::node
{

namespace asio = boost::asio;

asio::awaitable<bool> token_wait_queues::wait(std::string limit, std::shared_ptr<allowance::share> share,
                                              std::int64_t micro_tokens, core::instant deadline,
                                              caller::wait_context& context)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<waiter> entry = std::make_shared<waiter>(executor, std::move(share), micro_tokens);
    entry->timer.expires_at(deadline);
    context.on_cancel = [entry] { entry->timer.cancel(); };
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_queues[limit].push_back(entry);
    }
    m_on_shortage();
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    context.on_cancel = nullptr;
    co_return finish_wait(limit, entry);
}

bool token_wait_queues::finish_wait(const std::string& limit, const std::shared_ptr<waiter>& entry)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (entry->is_served) {
        return true;
    }
    const auto queue = m_queues.find(limit);
    std::erase(queue->second, entry);
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
    return false;
}

void token_wait_queues::serve_queue(waiter_queue& queue)
{
    while (!queue.empty() && queue.front()->share->try_acquire(queue.front()->micro_tokens)) {
        const std::shared_ptr<waiter> entry = std::move(queue.front());
        queue.pop_front();
        entry->is_served = true;
        asio::post(entry->timer.get_executor(), [entry] { entry->timer.cancel(); });
    }
}

std::vector<token_wait_queues::shortage> token_wait_queues::serve()
{
    std::vector<shortage> result;
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (auto queue = m_queues.begin(); queue != m_queues.end();) {
        serve_queue(queue->second);
        if (queue->second.empty()) {
            queue = m_queues.erase(queue);
            continue;
        }
        shortage missing{queue->first, 0};
        for (const std::shared_ptr<waiter>& entry : queue->second) {
            missing.micro_tokens += entry->micro_tokens;
        }
        result.push_back(std::move(missing));
        ++queue;
    }
    return result;
}

std::size_t token_wait_queues::waiting_count() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::size_t count = 0;
    for (const auto& queue : m_queues) {
        count += queue.second.size();
    }
    return count;
}

} // namespace quetzalspan::node
