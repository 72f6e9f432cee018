// Asks collectors for rate-limit tokens from the shared reserve of a workspace, for requests that find none
// left in the share of this instance.

#pragma once

#include "edge/instance_record.h"
#include "edge/peer_message.h"
#include "quota/fleet_quota.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

// Runs on the given executor, which must be single-threaded or a strand.
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

    token_client(boost::asio::any_io_executor executor, std::string own_instance, hooks callbacks)
        : m_executor(std::move(executor)),
          m_own_instance(std::move(own_instance)),
          m_hooks(std::move(callbacks))
    {
    }

    token_client(const token_client&) = delete;
    token_client& operator=(const token_client&) = delete;

    // Asks the collectors one after the other until one answers, with a timeout for each. The result is a
    // rejection if none answers. After a rejection the workspace is rejected without asking until the
    // retry-after time has passed.
    boost::asio::awaitable<quota::quota_decision> request_token(std::string workspace);

    // Handles the answer to a request. An answer that arrives after the timeout of its request is dropped.
    void handle_answer(const token_answer_message& answer);

private:
    struct pending_request {
        boost::asio::steady_timer timer;
        std::optional<token_answer_message> answer;
    };

    boost::asio::awaitable<std::optional<token_answer_message>>
    ask_collector(const instance_record& collector, const std::string& workspace);

    boost::asio::any_io_executor m_executor;
    std::string m_own_instance;
    hooks m_hooks;
    std::uint64_t m_next_number = 0;
    // Requests that wait for an answer, by number.
    std::map<std::uint64_t, std::shared_ptr<pending_request>> m_pending;
    // The time until which a workspace is rejected without asking a collector, by workspace.
    std::map<std::string, core::instant> m_exhausted_until;
};

} // namespace quetzalspan::edge
