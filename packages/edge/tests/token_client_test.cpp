// Tests of token requests to collectors that grant, reject or do not answer.

#include "edge/token_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;

TEST_GROUP(token_client)
{
    boost::asio::io_context context;
    // The names of the collectors that were sent a request, in order.
    std::vector<std::string> asked;
    std::vector<std::optional<instance_record>> granters;
    // The answers of collectors, by collector name; a collector without an entry does not answer.
    std::map<std::string, token_answer_message> answers;
    bool is_own_granted = false;
    token_client client{context.get_executor(), "own", make_hooks()};

    token_client::hooks make_hooks()
    {
        token_client::hooks hooks;
        hooks.granters = [this](const std::string&) { return granters; };
        hooks.send = [this](const instance_record& target, const std::string& text) {
            asked.push_back(target.instance);
            const std::map<std::string, token_answer_message>::const_iterator answer =
                answers.find(target.instance);
            if (answer != answers.end()) {
                token_answer_message sent = answer->second;
                sent.number = read_number(parse_peer_message(text, "test"));
                boost::asio::post(context, [this, sent] { client.handle_answer(sent); });
            }
            return true;
        };
        hooks.grant = [this](const std::string&) {
            quota::quota_decision decision;
            decision.is_admitted = is_own_granted;
            return decision;
        };
        hooks.endpoint_granter = [this](const std::string&) { return endpoint_granter; };
        hooks.grant_endpoint_token = [](const std::string&, double) { return milliseconds(30); };
        return hooks;
    }

    designated_instance endpoint_granter;

    static std::uint64_t read_number(const peer_message& message)
    {
        const token_request_message* request = std::get_if<token_request_message>(&message);
        return request != nullptr ? request->number
                                  : std::get<endpoint_token_request_message>(message).number;
    }

    std::optional<core::duration> ask_endpoint_token()
    {
        std::future<std::optional<core::duration>> result =
            boost::asio::co_spawn(context, client.request_endpoint_token("i-1", 6), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }

    static instance_record collector(const std::string& name)
    {
        instance_record result;
        result.instance = name;
        return result;
    }

    quota::quota_decision ask()
    {
        std::future<quota::quota_decision> result =
            boost::asio::co_spawn(context, client.request_token("mill"), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }
};

// Guards against rejecting a workspace for as long as a failed collector is listed.
TEST(token_client, the_next_collector_is_asked_after_a_timeout)
{
    granters = {collector("a"), collector("b")};
    answers["b"] = {0, true, milliseconds(0)};
    CHECK_TRUE(ask().is_admitted);
    CHECK(asked == (std::vector<std::string>{"a", "b"}));
}

// Guards against asking a second collector for what the first one rejected, and against asking again at once.
TEST(token_client, a_rejection_is_not_retried_at_another_collector_and_is_cached)
{
    granters = {collector("a"), collector("b")};
    answers["a"] = {0, false, std::chrono::seconds(30)};
    const quota::quota_decision rejected = ask();
    CHECK_FALSE(rejected.is_admitted);
    CHECK(rejected.retry_after == std::chrono::seconds(30));
    CHECK_FALSE(ask().is_admitted);
    CHECK(asked == (std::vector<std::string>{"a"}));
}

// Guards against a collector that sends token requests to itself.
TEST(token_client, the_reserve_of_this_instance_is_used_without_a_message)
{
    granters = {std::nullopt, collector("b")};
    is_own_granted = true;
    CHECK_TRUE(ask().is_admitted);
    CHECK_TRUE(asked.empty());
}

// Guards against using an answer that arrives after the timeout of its request.
TEST(token_client, a_late_answer_is_dropped)
{
    granters = {collector("a")};
    CHECK_FALSE(ask().is_admitted);
    client.handle_answer({0, true, milliseconds(0)});
    CHECK_FALSE(ask().is_admitted);
}

// Guards against an overload that the questions themselves keep up: each request of a workspace far above its
// limit asked collectors that were too busy to answer, and waited for both timeouts.
TEST(token_client, collectors_that_do_not_answer_are_asked_again_only_after_a_pause)
{
    granters = {collector("a"), collector("b")};
    CHECK_FALSE(ask().is_admitted);
    CHECK_EQUAL(2U, asked.size());
    const quota::quota_decision rejected = ask();
    CHECK_FALSE(rejected.is_admitted);
    CHECK(rejected.retry_after > milliseconds(100));
    CHECK_EQUAL(2U, asked.size());
    CHECK_TRUE(client.find_pause("mill", std::chrono::steady_clock::now()).has_value());
    CHECK_FALSE(client.find_pause("other", std::chrono::steady_clock::now()).has_value());
}

// Guards against any number of requests of one workspace that wait for answers at the same time.
TEST(token_client, requests_beyond_the_number_that_may_wait_are_rejected_at_once)
{
    granters = {collector("a")};
    std::vector<std::future<quota::quota_decision>> results;
    for (int index = 0; index < 200; ++index) {
        results.push_back(
            boost::asio::co_spawn(context, client.request_token("mill"), boost::asio::use_future));
    }
    context.run();
    for (std::future<quota::quota_decision>& result : results) {
        CHECK_FALSE(result.get().is_admitted);
    }
    CHECK_EQUAL(32U, asked.size());
}

// Guards against a request that takes a missing answer for a token, and against each request waiting for a
// granter that has ended.
TEST(token_client, the_token_of_an_endpoint_comes_from_its_granter)
{
    CHECK_FALSE(ask_endpoint_token().has_value());
    endpoint_granter = {true, std::nullopt};
    CHECK(ask_endpoint_token() == milliseconds(30));
    CHECK_TRUE(asked.empty());
    endpoint_granter = {false, collector("a")};
    answers["a"] = {0, true, milliseconds(0)};
    CHECK(ask_endpoint_token() == milliseconds(0));
    answers["a"] = {0, false, milliseconds(90)};
    CHECK(ask_endpoint_token() == milliseconds(90));
    answers.clear();
    CHECK_FALSE(ask_endpoint_token().has_value());
    CHECK_EQUAL(3U, asked.size());
    CHECK_FALSE(ask_endpoint_token().has_value());
    CHECK_EQUAL(3U, asked.size());
}
