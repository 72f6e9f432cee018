// Sends the questions, and falls back to the instance's own watches while the relay is of no use.

#include "edge/confirmation_client.h"

#include "core/log_event.h"

namespace quetzalspan::edge
{

namespace asio = boost::asio;

namespace
{

// Far above a round trip within a region. The instance's own watch follows if there is no answer.
constexpr core::duration answer_timeout = std::chrono::milliseconds(200);
// The oldest confirmation that is used. That of a relay that works is at most 1 s old, and an older one would
// soon have to be replaced; see instance_options::max_confirmation_age.
constexpr core::duration max_age = std::chrono::milliseconds(1200);
// Time before a relay that did not answer, or whose knowledge was old, is asked again.
constexpr core::duration skip_time = std::chrono::milliseconds(1500);
constexpr double skip_lines_per_second = 1;

} // namespace

confirmation_client::confirmation_client(const asio::any_io_executor& executor, std::string own_instance,
                                         hooks callbacks)
    : m_own_instance(std::move(own_instance)),
      m_hooks(std::move(callbacks)),
      m_pending(executor),
      m_skip_lines(skip_lines_per_second)
{
}

void confirmation_client::skip_relay(const instance_record& relay, const char* cause)
{
    m_skipped_until = core::boot_clock::now() + skip_time;
    const std::optional<std::uint64_t> skipped = m_skip_lines.try_take(std::chrono::steady_clock::now());
    if (skipped) {
        core::info_event("relay_skipped")
            .with("relay", relay.instance)
            .with("cause", cause)
            .with("lines_skipped", *skipped);
    }
}

asio::awaitable<std::optional<store::peer_confirmation>> confirmation_client::ask()
{
    const core::boot_instant asked_at = core::boot_clock::now();
    const std::optional<instance_record> relay = m_hooks.relay();
    if (!relay || asked_at < m_skipped_until) {
        co_return std::nullopt;
    }
    const std::uint64_t number = m_pending.take_number();
    const std::string question = to_text(confirmation_request_message{m_own_instance, number});
    if (!m_hooks.send(*relay, question)) {
        co_return std::nullopt;
    }
    const std::optional<confirmation_message> answer = co_await m_pending.wait(number, answer_timeout);
    if (!answer) {
        skip_relay(*relay, "no-answer");
        co_return std::nullopt;
    }
    const store::peer_confirmation result{answer->epoch, answer->revision, asked_at - answer->age};
    if (core::boot_clock::now() - result.as_of > max_age) {
        skip_relay(*relay, "old");
        co_return std::nullopt;
    }
    co_return result;
}

} // namespace quetzalspan::edge
