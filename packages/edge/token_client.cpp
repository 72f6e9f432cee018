// Sends token requests to collectors, waits for their answers with a timeout, and remembers rejections.

#include "edge/token_client.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace quetzalspan::edge
{

namespace asio = boost::asio;

namespace
{

// Two round trips between regions. Waiting longer costs a request more than being retried would.
constexpr core::duration answer_timeout = std::chrono::milliseconds(60);
// Minimum time before a workspace is asked for again after a rejection, for rejections that give no
// retry-after time.
constexpr core::duration min_exhausted_time = std::chrono::milliseconds(20);

} // namespace

void token_client::handle_answer(const token_answer_message& answer)
{
    const std::map<std::uint64_t, std::shared_ptr<pending_request>>::const_iterator found =
        m_pending.find(answer.number);
    if (found != m_pending.end()) {
        found->second->answer = answer;
        found->second->timer.cancel();
    }
}

asio::awaitable<std::optional<token_answer_message>>
token_client::ask_collector(const instance_record& collector, const std::string& workspace)
{
    const std::uint64_t number = m_next_number++;
    if (!m_hooks.send(collector, to_text(token_request_message{m_own_instance, number, workspace}))) {
        co_return std::nullopt;
    }
    const std::shared_ptr<pending_request> pending = std::make_shared<pending_request>(
        pending_request{asio::steady_timer(m_executor, answer_timeout), {}});
    m_pending.emplace(number, pending);
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_pending.erase(number);
    if (!pending->answer) {
        core::info_event("token_not_answered")
            .with("workspace", workspace)
            .with("collector", collector.instance);
    }
    co_return pending->answer;
}

asio::awaitable<quota::quota_decision> token_client::request_token(std::string workspace)
{
    quota::quota_decision result;
    const core::instant now = std::chrono::steady_clock::now();
    const core::instant exhausted_until = m_exhausted_until[workspace];
    if (now < exhausted_until) {
        result.retry_after = exhausted_until - now;
        co_return result;
    }
    for (const std::optional<instance_record>& collector : m_hooks.granters(workspace)) {
        if (!collector) {
            co_return m_hooks.grant(workspace);
        }
        const std::optional<token_answer_message> answer = co_await ask_collector(*collector, workspace);
        if (answer) {
            result.is_admitted = answer->is_granted;
            result.retry_after = answer->retry_after;
            break;
        }
    }
    if (!result.is_admitted) {
        m_exhausted_until[workspace] =
            std::chrono::steady_clock::now() + std::max(result.retry_after, min_exhausted_time);
    }
    co_return result;
}

} // namespace quetzalspan::edge
