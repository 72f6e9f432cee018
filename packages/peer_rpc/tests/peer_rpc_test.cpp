// Tests the client and the server of the messages between instances against each other, and each of them
// against invalid or unauthenticated messages.

#include "http/server.h"
#include "message_examples.h"
#include "peer_rpc/message_codec.h"
#include "peer_rpc/peer_directory.h"
#include "peer_rpc/peer_server.h"
#include "peer_rpc/response_decoder.h"
#include "peer_rpc/rpc/call_encoder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace peer_rpc;
namespace asio = boost::asio;

TEST_GROUP(peer_rpc)
{
    const std::string secret = "a secret of sufficient length";
    const std::string nonce = "0123456789abcdef";
    core::wall_time now{std::chrono::milliseconds(1'000'000'000)};
    asio::io_context context;
    std::shared_ptr<message_authenticator> receiver = std::make_shared<message_authenticator>(secret);
    std::shared_ptr<message_authenticator> sender = std::make_shared<message_authenticator>(secret);
    std::atomic<int> hook_calls{0};
    allowance::grant_acknowledgement acknowledged;
    std::shared_ptr<peer_server> server = peer_server::create("b.2", receiver, make_hooks());
    std::shared_ptr<http::server> listener = http::server::create(
        context.get_executor(), "127.0.0.1", 0, peer_server::http_server_options(), server->make_handler());
    std::unique_ptr<peer_client> client = make_client("b.2", sender, listener->port());

    void setup() override
    {
        listener->start();
    }
    void teardown() override
    {
        listener->stop();
    }

    peer_server_hooks make_hooks()
    {
        peer_server_hooks hooks;
        hooks.now = [this] { return now; };
        hooks.heartbeat = [this](const heartbeat& message) {
            ++hook_calls;
            if (message.round == 99) {
                throw std::runtime_error("the hook fails");
            }
            return heartbeat_reply{example_heartbeat("b.2"), message.sender.id == "a.1"};
        };
        hooks.get_configuration = [this](const configuration_request& message) {
            ++hook_calls;
            return configuration_reply{message.known_revision + 1, "{\"error\":\"\xc3\xa4\"}"};
        };
        hooks.request_share = [this](const allowance::share_request& message) {
            ++hook_calls;
            return allowance::share_grant{message.id, allowance::grant_status::granted, 2, 5, message.wanted};
        };
        hooks.acknowledge_grant = [this](const allowance::grant_acknowledgement& message) {
            ++hook_calls;
            acknowledged = message;
        };
        hooks.hand_over = [this](const std::string&, const allowance::share_offer&) {
            ++hook_calls;
            return true;
        };
        return hooks;
    }

    std::unique_ptr<peer_client> make_client(const std::string& peer,
                                             const std::shared_ptr<message_authenticator>& authenticator,
                                             std::uint16_t port, const std::string& own_id = "a.1")
    {
        peer_client_options options;
        options.own_id = own_id;
        options.now = [this] { return now; };
        // Long enough that calls do not time out on a busy machine.
        options.timeout = std::chrono::seconds(20);
        return std::make_unique<peer_client>(context.get_executor(), peer_address{peer, "127.0.0.1", port},
                                             authenticator, options);
    }

    template <typename Result>
    Result run(asio::awaitable<Result> work)
    {
        std::future<Result> result = asio::co_spawn(context, std::move(work), asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        return result.get();
    }

    // Sends a heartbeat and returns the kind of the rpc_error, or an empty value if the call succeeded.
    std::optional<rpc_failure> heartbeat_failure(peer_client & caller, const heartbeat& message)
    {
        try {
            run(caller.send_heartbeat(message));
        } catch (const rpc_error& error) {
            return error.kind();
        }
        return std::nullopt;
    }

    // Returns the server's response to an authentic request with this body.
    http::response handle(const std::string& body)
    {
        http::request request;
        request.method = "POST";
        request.target = "/rpc";
        request.body = body;
        const std::string fresh_nonce = nonce + std::to_string(server->statistics().messages);
        request.headers.push_back(
            {"Quetzal-Authentication", sender->sign_request(now, fresh_nonce, "a.1", "b.2", body)});
        return server->handle(request);
    }

    // Returns the text of a successful response to a heartbeat, from the member that the argument describes.
    static std::string heartbeat_response(const heartbeat& described)
    {
        Json::Value reply;
        reply["jsonrpc"] = "2.0";
        reply["id"] = 1;
        reply["result"] = to_json(heartbeat_reply{described, true});
        return reply.toStyledString();
    }

    // Starts an HTTP server that answers every request with the given function.
    std::shared_ptr<http::server> start_fake_peer(std::function<http::response(const http::request&)> respond)
    {
        std::shared_ptr<http::server> peer =
            http::server::create(context.get_executor(), "127.0.0.1", 0, {},
                                 [respond](http::request request) -> asio::awaitable<http::response> {
                                     co_return respond(request);
                                 });
        peer->start();
        return peer;
    }
};

// Guards against a method that the client or the server does not connect to its message or its hook.
TEST(peer_rpc, every_method_returns_its_reply)
{
    const heartbeat_reply heartbeat_result = run(client->send_heartbeat(example_heartbeat("a.1", 8)));
    CHECK_TRUE(heartbeat_result.is_vouching);
    STRCMP_EQUAL("b.2", heartbeat_result.receiver.sender.id.c_str());
    const configuration_reply configuration = run(client->get_configuration({4}));
    UNSIGNED_LONGS_EQUAL(5, configuration.revision);
    STRCMP_EQUAL("{\"error\":\"\xc3\xa4\"}", configuration.document.c_str());
    const allowance::share_grant grant = run(client->request_share(example_share_request("a.1")));
    UNSIGNED_LONGS_EQUAL(2, grant.granted.size());
    run(client->acknowledge_grant({{"a.1", 7}, true}));
    CHECK_TRUE(acknowledged.is_applied && acknowledged.id.sequence == 7);
    CHECK_TRUE(run(client->hand_over(example_offer("a.1"))).is_applied);
    LONGS_EQUAL(5, hook_calls.load());
    UNSIGNED_LONGS_EQUAL(5, server->statistics().messages);
    UNSIGNED_LONGS_EQUAL(0, server->statistics().failed + server->statistics().rejected);
}

// Guards against passing a hook a message that was sent without the secret, names another sender than the
// authenticated one, or is addressed to another member. The server must still accept valid messages
// afterwards.
TEST(peer_rpc, untrusted_messages_do_not_reach_the_hooks)
{
    const std::shared_ptr<message_authenticator> other =
        std::make_shared<message_authenticator>("another secret of that length");
    const struct {
        const char* name;
        std::unique_ptr<peer_client> caller;
        rpc_failure expected;
    } cases[] = {
        {"wrong secret", make_client("b.2", other, listener->port()), rpc_failure::rejected},
        {"former incarnation", make_client("b.1", sender, listener->port()), rpc_failure::rejected},
        {"other sender", make_client("b.2", sender, listener->port(), "c.3"), rpc_failure::remote_error},
        {"receiver not known", make_client("*", sender, listener->port()), rpc_failure::remote_error},
    };
    for (const auto& item : cases) {
        CHECK_TEXT(heartbeat_failure(*item.caller, example_heartbeat("a.1")) == item.expected, item.name);
    }
    LONGS_EQUAL(0, hook_calls.load());
    UNSIGNED_LONGS_EQUAL(2, server->statistics().rejected);
    UNSIGNED_LONGS_EQUAL(2, server->statistics().failed);
    UNSIGNED_LONGS_EQUAL(5, run(cases[3].caller->get_configuration({4})).revision);
    CHECK_FALSE(heartbeat_failure(*client, example_heartbeat("a.1")).has_value());
    now += std::chrono::hours(1);
    CHECK_FALSE(heartbeat_failure(*client, example_heartbeat("a.1")).has_value());
    server->set_member_id("b.3");
    CHECK_TRUE(heartbeat_failure(*client, example_heartbeat("a.1")) == rpc_failure::rejected);
}

// Guards against executing a captured request a second time.
TEST(peer_rpc, a_replayed_request_is_rejected)
{
    http::request request;
    request.method = "POST";
    request.target = "/rpc";
    request.body = encode_call("request_share", to_json(example_share_request("a.1")));
    request.headers.push_back(
        {"quetzal-authentication", sender->sign_request(now, nonce, "a.1", "b.2", request.body)});
    LONGS_EQUAL(200, server->handle(request).status);
    LONGS_EQUAL(401, server->handle(request).status);
    LONGS_EQUAL(1, hook_calls.load());
}

// Guards against malformed input that terminates the server, reaches a hook or gets no error response.
TEST(peer_rpc, malformed_requests_get_an_error_response)
{
    Json::Value newer = to_json(example_heartbeat("a.1"));
    newer["version"] = 2;
    const std::string call = encode_call("heartbeat", to_json(example_heartbeat("a.1")));
    std::string notification = call;
    notification.replace(notification.find("\"id\":1"), 6, "\"xx\":1");
    const std::string cases[] = {
        "",
        "x",
        "{",
        "{}",
        "null",
        "[]",
        "[" + call + "," + call + "]",
        std::string(100'000, '['),
        "{\"a\":" + std::string(100'000, '['),
        std::string("{\"\0\":1}", 7),
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"heartbeat\"}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"heartbeat\",\"params\":5}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"heartbeat\",\"params\":[1,2]}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"no_such_method\",\"params\":{}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":7,\"params\":{}}",
        "{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"heartbeat\",\"params\":{}}",
        notification,
        encode_call("heartbeat", newer),
    };
    std::uint64_t expected = 0;
    for (const std::string& body : cases) {
        const http::response response = handle(body);
        LONGS_EQUAL(200, response.status);
        STRCMP_CONTAINS("\"error\"", response.body.c_str());
        CHECK_THROWS(rpc_error, decode_response(response.body));
        UNSIGNED_LONGS_EQUAL(++expected, server->statistics().failed);
    }
    LONGS_EQUAL(0, hook_calls.load());
    heartbeat failing = example_heartbeat("a.1");
    failing.round = 99;
    CHECK_TRUE(heartbeat_failure(*client, failing) == rpc_failure::remote_error);
    CHECK_FALSE(heartbeat_failure(*client, example_heartbeat("a.1")).has_value());
}

// Guards against request bodies of unlimited size, and against accepting other paths and HTTP methods.
TEST(peer_rpc, oversized_and_misdirected_requests_are_rejected)
{
    http::client http_client(context.get_executor(), "127.0.0.1", listener->port());
    http::request request;
    request.method = "POST";
    request.target = "/rpc";
    request.body = std::string(peer_server::http_server_options().body_limit_bytes + 1, 'x');
    LONGS_EQUAL(413, run(http_client.send(request, std::chrono::seconds(20))).status);
    UNSIGNED_LONGS_EQUAL(1, listener->rejected_message_count());
    request.body = "{}";
    LONGS_EQUAL(401, run(http_client.send(request, std::chrono::seconds(20))).status);
    request.method = "GET";
    LONGS_EQUAL(405, run(http_client.send(request, std::chrono::seconds(20))).status);
    request.target = "/";
    LONGS_EQUAL(404, run(http_client.send(request, std::chrono::seconds(20))).status);
    UNSIGNED_LONGS_EQUAL(3, server->statistics().rejected);
}

// Guards against accepting a reply that is forged, belongs to another request or describes another member,
// and against a malformed reply that terminates the client.
TEST(peer_rpc, unauthenticated_and_invalid_replies_are_rejected)
{
    const auto nonce_in = [](const http::request& request) {
        const std::string header = *http::find_header(request.headers, authentication_header);
        const std::size_t begin = header.find(' ', 2) + 1;
        return header.substr(begin, header.find(' ', begin) - begin);
    };
    const std::string valid_reply = heartbeat_response(example_heartbeat("b.2"));
    const struct {
        const char* name;
        std::string body;
        bool is_for_this_request;
        std::string from;
        rpc_failure expected;
    } cases[] = {
        {"of another request", valid_reply, false, "b.2", rpc_failure::unauthenticated_reply},
        {"of another member", valid_reply, true, "c.3", rpc_failure::unauthenticated_reply},
        {"describing another member", heartbeat_response(example_heartbeat("c.3")), true, "b.2",
         rpc_failure::invalid_reply},
        {"no JSON", "{", true, "b.2", rpc_failure::invalid_reply},
        {"too deep", std::string(100'000, '['), true, "b.2", rpc_failure::invalid_reply},
        {"no result", "{\"jsonrpc\":\"2.0\",\"id\":1}", true, "b.2", rpc_failure::invalid_reply},
        {"wrong result", "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":5}", true, "b.2",
         rpc_failure::invalid_reply},
        {"error of wrong type", "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":5}", true, "b.2",
         rpc_failure::invalid_reply},
        {"error members of wrong type",
         "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":\"x\",\"message\":5}}", true, "b.2",
         rpc_failure::invalid_reply},
        {"error", "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":-32001,\"message\":\"m\"}}", true, "b.2",
         rpc_failure::remote_error},
    };
    for (const auto& item : cases) {
        const std::shared_ptr<http::server> peer = start_fake_peer([&](const http::request& request) {
            http::response response;
            response.body = item.body;
            const std::string bound = item.is_for_this_request ? nonce_in(request) : nonce;
            response.headers.push_back(
                {"Quetzal-Authentication", receiver->sign_reply(bound, item.from, item.body)});
            return response;
        });
        const std::unique_ptr<peer_client> caller = make_client("b.2", sender, peer->port());
        CHECK_TEXT(heartbeat_failure(*caller, example_heartbeat("a.1")) == item.expected, item.name);
        peer->stop();
    }
    const std::shared_ptr<http::server> unsigned_peer = start_fake_peer([&](const http::request&) {
        http::response response;
        response.body = valid_reply;
        return response;
    });
    const std::unique_ptr<peer_client> caller = make_client("b.2", sender, unsigned_peer->port());
    CHECK_TRUE(heartbeat_failure(*caller, example_heartbeat("a.1")) == rpc_failure::unauthenticated_reply);
}

// Guards against applying the grant of one transfer to another.
TEST(peer_rpc, a_grant_of_another_transfer_is_rejected)
{
    peer_server_hooks hooks = make_hooks();
    hooks.request_share = [](const allowance::share_request& message) {
        return allowance::share_grant{
            {message.id.requester, message.id.sequence + 1}, allowance::grant_status::granted, 2, 5, {}};
    };
    const std::shared_ptr<peer_server> mismatching_server = peer_server::create("d.4", receiver, hooks);
    const std::shared_ptr<http::server> peer =
        http::server::create(context.get_executor(), "127.0.0.1", 0, {}, mismatching_server->make_handler());
    peer->start();
    const std::unique_ptr<peer_client> caller = make_client("d.4", sender, peer->port());
    CHECK_THROWS(rpc_error, run(caller->request_share(example_share_request("a.1"))));
}

// Guards against reporting a peer whose process is gone, so that its address refuses connections, like a peer
// that accepts the connection but does not answer.
TEST(peer_rpc, a_refused_connection_is_distinguished_from_a_closed_one)
{
    const std::shared_ptr<http::server> closing_peer = start_fake_peer([](const http::request&) {
        http::response response;
        response.close_without_response = true;
        return response;
    });
    std::uint16_t free_port = 0;
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        free_port = acceptor.local_endpoint().port();
    }
    const struct {
        std::uint16_t port;
        http::transport_failure expected;
    } cases[] = {{closing_peer->port(), http::transport_failure::interrupted},
                 {free_port, http::transport_failure::refused}};
    for (const auto& item : cases) {
        const std::unique_ptr<peer_client> caller = make_client("b.2", sender, item.port);
        try {
            run(caller->send_heartbeat(example_heartbeat("a.1")));
            FAIL("the call must fail");
        } catch (const http::transport_error& error) {
            CHECK_TRUE(error.kind() == item.expected);
        }
    }
}

// Guards against data races, and against replies that reach the wrong call, when several threads share a
// client and a server.
TEST(peer_rpc, concurrent_calls_get_their_own_replies)
{
    constexpr std::uint64_t calls = 200;
    std::vector<std::future<configuration_reply>> replies;
    for (std::uint64_t index = 0; index < calls; ++index) {
        replies.push_back(asio::co_spawn(context, client->get_configuration({index}), asio::use_future));
    }
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([this] { context.run(); });
    }
    for (std::uint64_t index = 0; index < calls; ++index) {
        UNSIGNED_LONGS_EQUAL(index + 1, replies[index].get().revision);
    }
    context.stop();
    for (std::thread& thread : threads) {
        thread.join();
    }
    UNSIGNED_LONGS_EQUAL(calls, server->statistics().messages);
}

// Guards against keeping clients of members that are gone, and against replacing the client of an unchanged
// member whenever the membership changes.
TEST(peer_rpc, the_directory_keeps_the_clients_of_unchanged_members)
{
    peer_client_options options;
    options.own_id = "a.1";
    peer_directory directory(context.get_executor(), sender, options);
    const auto member = [](const std::string& id, const std::string& host = "127.0.0.1") {
        membership::member value = example_heartbeat(id).sender;
        value.host = host;
        return value;
    };
    directory.update({member("a.1"), member("b.2"), member("c.3"), member("d.4", "no address")});
    UNSIGNED_LONGS_EQUAL(2, directory.clients().size());
    const std::shared_ptr<peer_client> unchanged_client = directory.find("b.2");
    directory.update({member("b.2"), member("e.5")});
    CHECK_TRUE(unchanged_client == directory.find("b.2"));
    CHECK_TRUE(directory.find("c.3") == nullptr);
    CHECK_TRUE(directory.find("e.5") != nullptr);
    directory.update({member("b.2", "127.0.0.2")});
    CHECK_TRUE(unchanged_client != directory.find("b.2"));
    directory.set_own_id("a.2");
    CHECK_TRUE(directory.clients().empty());
}
