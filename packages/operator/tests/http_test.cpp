// Tests of the admin interface, and of the commands against HTTP servers on the loopback interface.

#include "http/server.h"
#include "operator/admin_handler.h"
#include "operator/fleet_commands.h"
#include "operator/store_connection.h"
#include "operator/tests/sample.h"
#include "operator/write_commands.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <mutex>
#include <thread>

// CppUTest redefines new, so its header comes after those of the libraries.
#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using admin::exit_code;
namespace asio = boost::asio;

namespace
{

http::response json_response(unsigned status, const Json::Value& value)
{
    http::response response;
    response.status = status;
    response.body = Json::writeString(Json::StreamWriterBuilder(), value);
    return response;
}

// The HTTP interface of the store on a map, with the faults that the test sets.
class fake_http_store
{
public:
    // Number of the next writes that take effect and respond with status 503.
    int lost_responses = 0;
    // Number of the next calls that take no effect and respond with status 429.
    int refused_calls = 0;

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_entries[key] = {value, ++m_revision};
    }

    http::response respond(const http::request& message)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (refused_calls > 0) {
            --refused_calls;
            return json_response(429, Json::Value(Json::objectValue));
        }
        const http::target target = http::target::create(message.target);
        if (target.path() == "/v1/kv") {
            return list(target.find_parameter("prefix").value_or(""));
        }
        const std::string key = target.path().substr(std::string("/v1/kv/").size());
        return message.method == "PUT" ? write(key, message.body) : read(key);
    }

private:
    struct entry {
        std::string value;
        std::uint64_t revision = 0;
    };

    Json::Value to_json(const std::string& key, const entry& item) const
    {
        Json::Value value;
        value["key"] = key;
        value["value"] = item.value;
        value["revision"] = Json::UInt64(item.revision);
        return value;
    }

    http::response list(const std::string& prefix) const
    {
        Json::Value body;
        body["entries"] = Json::Value(Json::arrayValue);
        for (const auto& [key, item] : m_entries) {
            if (key.starts_with(prefix)) {
                body["entries"].append(to_json(key, item));
            }
        }
        return json_response(200, body);
    }

    http::response read(const std::string& key) const
    {
        Json::Value body;
        const auto found = m_entries.find(key);
        body["entry"] = found == m_entries.end() ? Json::Value() : to_json(key, found->second);
        return json_response(found == m_entries.end() ? 404 : 200, body);
    }

    http::response write(const std::string& key, const std::string& text)
    {
        Json::Value request;
        std::istringstream(text) >> request;
        const std::uint64_t present = m_entries.contains(key) ? m_entries[key].revision : 0;
        if (request["expected_revision"].asUInt64() != present) {
            return json_response(409, Json::Value(Json::objectValue));
        }
        m_entries[key] = {request["value"].asString(), ++m_revision};
        if (lost_responses > 0) {
            --lost_responses;
            return json_response(503, Json::Value(Json::objectValue));
        }
        return json_response(200, Json::Value(Json::objectValue));
    }

    std::mutex m_mutex;
    std::map<std::string, entry> m_entries;
    std::uint64_t m_revision = 0;
};

admin::admin_hooks instance_hooks(std::uint64_t revision)
{
    admin::admin_hooks hooks;
    hooks.status = [revision] {
        admin::instance_status status;
        status.member = "a.1";
        status.revision = revision;
        status.details["uptime"] = "3 s";
        return status;
    };
    hooks.metrics = [] { return std::string("quetzalspan_up 1\n"); };
    hooks.burn = [] { return burn::burn_report(); };
    hooks.is_ready = [] { return false; };
    hooks.is_live = [] { return true; };
    return hooks;
}

} // namespace

TEST_GROUP(operator_http)
{
    asio::io_context context;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work;
    std::vector<std::shared_ptr<http::server>> servers;
    std::thread runner;

    void setup() override
    {
        work.emplace(context.get_executor());
        runner = std::thread([this] { context.run(); });
    }

    void teardown() override
    {
        for (const std::shared_ptr<http::server>& server : servers) {
            server->stop();
        }
        work.reset();
        context.stop();
        runner.join();
        servers.clear();
    }

    std::uint16_t serve(http::request_handler handler)
    {
        servers.push_back(
            http::server::create(context.get_executor(), "127.0.0.1", 0, {}, std::move(handler)));
        servers.back()->start();
        return servers.back()->port();
    }
};

// Guards against changes to the admin interface that break monitoring or quetzalctl.
TEST(operator_http, admin_paths_respond)
{
    struct path_case {
        const char* method;
        const char* target;
        unsigned status;
        const char* part;
    };
    const std::vector<path_case> cases{
        {"GET", "/metrics", 200, "quetzalspan_up 1"},
        {"GET", "/ready", 503, "not ready"},
        {"GET", "/live", 200, "live"},
        {"GET", "/status", 200, "\"revision\":7"},
        {"GET", "/burn", 200, "\"rows\":[]"},
        {"GET", "/burn?format=text", 200, "workspace"},
        {"GET", "/other", 404, "/metrics"},
        {"POST", "/status", 405, "only GET"},
    };
    for (const path_case& entry : cases) {
        http::request message;
        message.method = entry.method;
        message.target = entry.target;
        const http::response response = admin::respond(instance_hooks(7), message);
        LONGS_EQUAL(entry.status, response.status);
        CHECK_TRUE_TEXT(response.body.find(entry.part) != std::string::npos, response.body.c_str());
    }
}

// Guards against a message that nothing was written although the store has responded with a status that it
// does not use, and may have executed the write.
TEST(operator_http, a_write_with_an_unexpected_status_is_unknown)
{
    std::atomic<unsigned> status{0};
    const std::uint16_t port = serve([&status](const http::request&) -> asio::awaitable<http::response> {
        co_return json_response(status, Json::Value(Json::objectValue));
    });
    admin::store_connection connection({{"127.0.0.1", port}}, std::chrono::seconds(30));
    for (const unsigned unexpected : {201U, 302U, 500U}) {
        status = unexpected;
        CHECK_TRUE(admin::write_outcome::unknown == connection.write("config/current", "{}", 1));
    }
    status = 403;
    CHECK_THROWS(admin::store_error, connection.write("config/current", "{}", 1));
}

// Guards against commands that work with fake hooks and fail over HTTP: instances are found through the
// store, an apply loses its response, a write conflicts, and wait times out or succeeds.
TEST(operator_http, commands_work_over_http)
{
    fake_http_store store;
    const std::uint16_t store_port =
        serve([&store](http::request message) -> asio::awaitable<http::response> {
            co_return store.respond(message);
        });
    const std::uint16_t admin_port = serve(admin::make_admin_handler(instance_hooks(7)));
    Json::Value record;
    record["id"] = "a.1";
    record["host"] = "127.0.0.1";
    record["admin_port"] = admin_port;
    store.put("members/a.1", Json::writeString(Json::StreamWriterBuilder(), record));
    store.put("members/broken", "{}");
    store.put("alive/a.1", "");

    // The first address refuses connections, like a replica of the store that is down.
    const std::uint16_t closed_port = 1;
    admin::store_connection connection({{"127.0.0.1", closed_port}, {"127.0.0.1", store_port}},
                                       std::chrono::seconds(30));
    admin::fake_environment fake;
    admin::command_environment environment = fake.hooks();
    environment.store = connection.make_configuration_store();
    environment.find_instances = [&](core::findings& found) {
        return admin::find_instances(connection, found);
    };
    environment.query_instances = [](const std::vector<admin::instance_address>& instances,
                                     const std::string& target) {
        return admin::query_instances(instances, target, std::chrono::seconds(30));
    };

    store.lost_responses = 1;
    const admin::command_result applied = admin::run_apply(environment, "registry.yaml", "rules.yaml", {});
    CHECK_TRUE_TEXT(exit_code::success == applied.code, applied.diagnostics.c_str());
    // The instance has revision 7 in force, so the first revision written is 8.
    LONGS_EQUAL(8, applied.value["revision"].asInt());
    const admin::command_result status = admin::run_status(environment);
    STRCMP_EQUAL("a.1", status.value["instances"][0]["member"].asCString());
    CHECK_TRUE(status.diagnostics.find("members/broken: warning") != std::string::npos);
    CHECK_TRUE(exit_code::timeout == admin::run_wait(environment, 8, std::chrono::seconds(1)).code);
    CHECK_TRUE(exit_code::success == admin::run_wait(environment, 7, std::chrono::seconds(1)).code);
    CHECK_TRUE(admin::write_outcome::conflict == connection.write("config/current", "{}", 1));
    store.refused_calls = 1;
    CHECK_THROWS(admin::store_error, connection.read("config/current"));
    store.refused_calls = 1;
    CHECK_THROWS(admin::store_error, connection.write("config/current", "{}", 1));
}
