// Asks collectors for rate-limit tokens from the shared reserve of a workspace, for requests that find none
// left in the share of this instance.

#pragma once

#include "core/log_throttle.h"
#include "edge/instance_record.h"
#include "edge/peer_message.h"
#include "edge/pending_answers.h"
#include "quota/fleet_quota.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

// Runs on the given executor, which must be single-threaded or a strand, except for find_pause().
class token_client
{
public:
    struct hooks {
        // Returns the collectors that may grant tokens from the reserve of the workspace, in the order in
        // which they are asked. An element without a record stands for this instance.
        std::function<std::vector<std::optional<instance_record>>(const std::string& workspace)> granters;
        // Sends a message. Returns whether it was handed to the network.
        std::function<bool(const instance_record& target, const std::string& text)> send;
        // Takes a token from the reserve of this instance.
        std::function<quota::quota_decision(const std::string& workspace)> grant;
    };

    token_client(const boost::asio::any_io_executor& executor, std::string own_instance, hooks callbacks);

    token_client(const token_client&) = delete;
    token_client& operator=(const token_client&) = delete;

    // Asks the collectors one after the other until one answers, with a timeout for each. The result is a
    // rejection if none answers, or if too many requests of the workspace already wait for an answer. After a
    // rejection the workspace is rejected without asking until the retry-after time has passed, and for a
    // longer pause if no collector has answered.
    boost::asio::awaitable<quota::quota_decision> request_token(std::string workspace);

    // Returns the time for which requests of the workspace are rejected without asking, or no value if a
    // collector would be asked. Can be called from any thread.
    std::optional<core::duration> find_pause(const std::string& workspace, core::instant now) const;

    // Handles the answer to a request. An answer that arrives after the timeout of its request is dropped.
    void handle_answer(const token_answer_message& answer) { m_pending.handle(answer); }

private:
    boost::asio::awaitable<std::optional<token_answer_message>>
    ask_collector(const instance_record& collector, const std::string& workspace);
    void pause(const std::string& workspace, core::instant until);

    std::string m_own_instance;
    hooks m_hooks;
    core::log_throttle m_unanswered_lines;
    pending_answers<token_answer_message> m_pending;
    // The number of requests that wait for an answer, by workspace.
    std::map<std::string, std::size_t> m_waiting;
    mutable std::mutex m_pause_mutex;
    // The time until which a workspace is rejected without asking a collector, by workspace. Guarded by
    // m_pause_mutex.
    std::map<std::string, core::instant> m_paused_until;
};

} // namespace quetzalspan::edge
