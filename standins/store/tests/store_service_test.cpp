// Tests of the HTTP interface of the store stand-in and of the control of its faults.

#include "standins/store/store_server.h"

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace standin_store;
namespace asio = boost::asio;

TEST_GROUP(store_service)
{
    core::instant now{std::chrono::seconds(100)};
    asio::io_context context;
    std::shared_ptr<store_service> service =
        std::make_shared<store_service>(service_options(), [this] { return now; });
    std::shared_ptr<store_server> server =
        store_server::create(context.get_executor(), "127.0.0.1", 0, 0, service);
    http::client store{context.get_executor(), "127.0.0.1", server->port()};
    http::client control{context.get_executor(), "127.0.0.1", server->control_port()};

    void setup() override
    {
        server->start();
    }
    void teardown() override
    {
        server->stop();
    }

    http::response send(http::client & client, const std::string& method, const std::string& target,
                        const std::string& body = "")
    {
        std::future<http::response> result = asio::co_spawn(
            context, client.send({method, target, {}, body}, std::chrono::seconds(20)), asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        return result.get();
    }
};

// Guards against malformed requests that are executed or that end the stand-in.
TEST(store_service, malformed_requests_are_refused)
{
    const struct {
        const char* method;
        const char* target;
        const char* body;
        unsigned status;
    } cases[] = {
        {"PUT", "/v1/kv/k", "", 400},
        {"PUT", "/v1/kv/k", "[]", 400},
        {"PUT", "/v1/kv/k", "{\"value\":\"x\"}", 400},
        {"PUT", "/v1/kv/k", "{\"value\":1,\"expected_revision\":0}", 400},
        {"PUT", "/v1/kv/k", "{\"value\":\"x\",\"expected_revision\":-1}", 400},
        {"PUT", "/v1/kv/k", "{\"value\":\"x\",\"expected_revision\":0,\"lease\":\"1\"}", 400},
        {"PUT", "/v1/kv/k", "{\"value\":\"x\",\"expected_revision\":0,\"lease\":9}", 412},
        {"PUT", "/v1/kv/k", "{\"value\":\"x\",\"expected_revision\":4}", 409},
        {"DELETE", "/v1/kv/k", "", 400},
        {"DELETE", "/v1/kv/k?expected_revision=x", "", 400},
        {"DELETE", "/v1/kv/k?expected_revision=0", "", 409},
        {"POST", "/v1/kv/k", "", 405},
        {"GET", "/v1/kv", "", 400},
        {"GET", "/v1/kv/k", "", 404},
        {"GET", "/v1/watch?prefix=k&after=0", "", 400},
        {"POST", "/v1/leases", "{}", 400},
        {"POST", "/v1/leases/7/keepalive", "", 404},
        {"POST", "/v1/leases/x/keepalive", "", 400},
        {"DELETE", "/v1/leases/7", "", 404},
        {"GET", "/v1/other", "", 404},
        {"POST", "/standin/down?mode=partly", "", 400},
        {"POST", "/standin/no-such-fault", "", 404},
        {"POST", "/standin/restore?name=none", "", 404},
        {"GET", "/standin/down?mode=refuse", "", 405},
    };
    for (const auto& item : cases) {
        LONGS_EQUAL_TEXT(item.status, send(store, item.method, item.target, item.body).status, item.target);
    }
    STRCMP_CONTAINS("\"revision\":0", send(store, "GET", "/v1/kv?prefix=").body.c_str());
}

// Guards against a simulated outage that cannot be ended because the control port is closed as well.
TEST(store_service, faults_are_set_on_the_control_port)
{
    LONGS_EQUAL(200, send(store, "GET", "/v1/kv?prefix=").status);
    LONGS_EQUAL(200, send(control, "POST", "/standin/down?mode=refuse").status);
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK_THROWS(http::transport_error, send(store, "GET", "/v1/kv?prefix="));
    }
    LONGS_EQUAL(200, send(control, "POST", "/standin/down?mode=off").status);
    LONGS_EQUAL(200, send(store, "GET", "/v1/kv?prefix=").status);
    STRCMP_EQUAL("{\"list\":2}", send(control, "GET", "/standin/counters").body.c_str());
}
