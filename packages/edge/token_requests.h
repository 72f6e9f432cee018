// Asks collectors for tokens of the reserve of limits, for requests whose workspace has none left here.

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

// Runs on the executor given, which must be one thread or a strand.
class token_client
{
public:
    struct hooks {
        // The collectors that may grant the reserve of the workspace, in the order in which they are asked;
        // without a record if it is this instance.
        std::function<std::vector<std::optional<instance_record>>(const std::string& workspace)> granters;
        // Sends a message; returns whether it was sent.
        std::function<bool(const instance_record& target, const std::string& text)> send;
        // Takes a token of the own reserve.
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

    // Asks one collector after the other until one answers. Waits a limited time for each.
    boost::asio::awaitable<quota::quota_decision> request_token(std::string workspace);

    // Takes over the answer to a request. One that comes too late is dropped.
    void handle(const token_answer_message& answer);

private:
    struct pending_request {
        boost::asio::steady_timer limit;
        std::optional<token_answer_message> answer;
    };

    boost::asio::awaitable<std::optional<token_answer_message>>
    ask_collector(const instance_record& collector, const std::string& workspace);

    boost::asio::any_io_executor m_executor;
    std::string m_own_instance;
    hooks m_hooks;
    std::uint64_t m_next_number = 0;
    // By number.
    std::map<std::uint64_t, std::shared_ptr<pending_request>> m_pending;
    // By workspace, until when a collector has nothing to grant.
    std::map<std::string, core::instant> m_exhausted_until;
};

} // namespace quetzalspan::edge
