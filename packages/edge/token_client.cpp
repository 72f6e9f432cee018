// Sends token requests to collectors, waits for their answers with a timeout, and remembers rejections and
// missing answers.

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

constexpr double unanswered_lines_per_second = 10;

// Two round trips between regions. Waiting longer costs a request more than being retried would.
constexpr core::duration answer_timeout = std::chrono::milliseconds(60);
// Minimum time before a workspace is asked for again after a rejection, for rejections that give no
// retry-after time.
constexpr core::duration min_rejection_pause = std::chrono::milliseconds(20);
// Time before a workspace is asked for again after no collector has answered. The collectors are overloaded
// or out of reach; further requests would add to their load and wait in vain.
constexpr core::duration unanswered_pause = std::chrono::milliseconds(250);
// Requests of a workspace that wait for an answer at the same time. So many are waiting only if the workspace
// asks for far more than its limit or if the collectors do not answer in time.
constexpr std::size_t max_waiting_requests = 32;

} // namespace

token_client::token_client(const asio::any_io_executor& executor, std::string own_instance, hooks callbacks)
    : m_own_instance(std::move(own_instance)),
      m_hooks(std::move(callbacks)),
      m_unanswered_lines(unanswered_lines_per_second),
      m_pending(executor)
{
}

asio::awaitable<std::optional<token_answer_message>>
token_client::ask_collector(const instance_record& collector, std::uint64_t number,
                            const std::string& request, const std::string& subject)
{
    if (!m_hooks.send(collector, request)) {
        co_return std::nullopt;
    }
    const std::optional<token_answer_message> answer = co_await m_pending.wait(number, answer_timeout);
    if (!answer) {
        if (const std::optional<std::uint64_t> skipped =
                m_unanswered_lines.try_take(std::chrono::steady_clock::now())) {
            core::info_event("token_not_answered")
                .with("for", subject)
                .with("collector", collector.instance)
                .with("lines_skipped", *skipped);
        }
    }
    co_return answer;
}

std::optional<core::duration> token_client::find_pause(const std::string& workspace, core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_pause_mutex);
    const std::map<std::string, core::instant>::const_iterator found = m_paused_until.find(workspace);
    if (found == m_paused_until.end() || now >= found->second) {
        return std::nullopt;
    }
    return found->second - now;
}

void token_client::pause(const std::string& workspace, core::instant until)
{
    const std::lock_guard<std::mutex> guard(m_pause_mutex);
    m_paused_until[workspace] = until;
}

asio::awaitable<quota::quota_decision> token_client::request_token(std::string workspace)
{
    quota::quota_decision result;
    const std::optional<core::duration> paused_for = find_pause(workspace, std::chrono::steady_clock::now());
    std::size_t& waiting = m_waiting[workspace];
    if (paused_for || waiting >= max_waiting_requests) {
        result.retry_after = paused_for.value_or(answer_timeout);
        co_return result;
    }
    ++waiting;
    bool is_answered = false;
    for (const std::optional<instance_record>& collector : m_hooks.granters(workspace)) {
        if (!collector) {
            result = m_hooks.grant(workspace);
            is_answered = true;
            break;
        }
        const std::uint64_t number = m_pending.take_number();
        const std::string request = to_text(token_request_message{m_own_instance, number, workspace});
        const std::optional<token_answer_message> answer =
            co_await ask_collector(*collector, number, request, workspace);
        if (answer) {
            result.is_admitted = answer->is_granted;
            result.retry_after = answer->retry_after;
            is_answered = true;
            break;
        }
    }
    --waiting;
    if (!result.is_admitted) {
        const core::duration pause_time =
            is_answered ? std::max(result.retry_after, min_rejection_pause) : unanswered_pause;
        result.retry_after = std::max(result.retry_after, pause_time);
        pause(workspace, std::chrono::steady_clock::now() + pause_time);
    }
    co_return result;
}

asio::awaitable<std::optional<core::duration>> token_client::request_endpoint_token(std::string endpoint,
                                                                                    double rate)
{
    const designated_instance granter = m_hooks.endpoint_granter(endpoint);
    if (granter.is_own) {
        co_return m_hooks.grant_endpoint_token(endpoint, rate);
    }
    if (!granter.other) {
        co_return std::nullopt;
    }
    core::instant& paused_until = m_granter_paused_until[granter.other->instance];
    if (std::chrono::steady_clock::now() < paused_until) {
        co_return std::nullopt;
    }
    const std::uint64_t number = m_pending.take_number();
    const std::string request =
        to_text(endpoint_token_request_message{m_own_instance, number, endpoint, rate});
    const std::optional<token_answer_message> answer =
        co_await ask_collector(*granter.other, number, request, endpoint);
    if (!answer) {
        paused_until = std::chrono::steady_clock::now() + unanswered_pause;
        co_return std::nullopt;
    }
    co_return answer->is_granted ? core::duration(0) : std::max(answer->retry_after, min_rejection_pause);
}

} // namespace quetzalspan::edge
