// Asks other instances for rate-limit tokens: from the shared reserve of a workspace, for requests that find
// none left in the share of this instance, and of the rate limits that endpoints name.

#pragma once

#include "core/log_throttle.h"
#include "edge/fleet_membership.h"
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
        // Returns the instance that grants the tokens of the endpoint's rate limit.
        std::function<designated_instance(const std::string& endpoint)> endpoint_granter;
        // Takes a token of the endpoint's rate limit from this instance, which is the granter. Returns zero
        // if there is one, otherwise the time until the next one.
        std::function<core::duration(const std::string& endpoint, double rate)> grant_endpoint_token;
    };

    token_client(const boost::asio::any_io_executor& executor, std::string own_instance, hooks callbacks);

    token_client(const token_client&) = delete;
    token_client& operator=(const token_client&) = delete;

    // Asks the collectors one after the other until one answers, with a timeout for each. The result is a
    // rejection if none answers, or if too many requests of the workspace already wait for an answer. After a
    // rejection the workspace is rejected without asking until the retry-after time has passed, and for a
    // longer pause if no collector has answered.
    boost::asio::awaitable<quota::quota_decision> request_token(std::string workspace);

    // Asks the granter of an endpoint for a token of the rate, in requests per second, that the endpoint has
    // named. Returns zero if it grants one, otherwise the time until the next one; no value if it does not
    // answer. A granter that has not answered is not asked for a while.
    boost::asio::awaitable<std::optional<core::duration>> request_endpoint_token(std::string endpoint,
                                                                                 double rate);

    // Returns the time for which requests of the workspace are rejected without asking, or no value if a
    // collector would be asked. Can be called from any thread.
    std::optional<core::duration> find_pause(const std::string& workspace, core::instant now) const;

    // Handles the answer to a request. An answer that arrives after the timeout of its request is dropped.
    void handle_answer(const token_answer_message& answer) { m_pending.handle(answer); }

private:
    // Sends the request with the number to a collector and waits for the answer. The subject is what a token
    // is requested for.
    boost::asio::awaitable<std::optional<token_answer_message>>
    ask_collector(const instance_record& collector, std::uint64_t number, const std::string& request,
                  const std::string& subject);
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
    // The time until which a granter of endpoints' tokens that has not answered is not asked, by instance.
    std::map<std::string, core::instant> m_granter_paused_until;
};

} // namespace quetzalspan::edge
