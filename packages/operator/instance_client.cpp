// Parses member records and sends HTTP requests to many instances concurrently.

#include "operator/instance_client.h"

#include "core/json_text.h"
#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <json/json.h>

#include <memory>
#include <set>

namespace quetzalspan::admin
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view member_prefix = "members/";
constexpr std::string_view liveness_prefix = "alive/";
constexpr unsigned max_port = 65535;

std::optional<instance_address> find_address(const std::string& record)
{
    const Json::Value root = core::parse_json_object(record).value_or(Json::Value());
    if (!root["id"].isString() || !root["host"].isString() || !root["admin_port"].isUInt()) {
        return std::nullopt;
    }
    const unsigned port = root["admin_port"].asUInt();
    if (port == 0 || port > max_port || !config::is_numeric_address(root["host"].asString())) {
        return std::nullopt;
    }
    return instance_address{
        root["id"].asString(), {root["host"].asString(), static_cast<std::uint16_t>(port)}, false};
}

asio::awaitable<void> query(http::client& client, const std::string& target, core::duration timeout,
                            instance_reply& reply)
{
    try {
        http::request message;
        message.target = target;
        const http::response response = co_await client.send(message, timeout);
        if (response.status == 200) {
            reply.body = response.body;
        } else {
            reply.error = "status " + std::to_string(response.status);
        }
    } catch (const std::exception& error) {
        reply.error = error.what();
    }
}

} // namespace

std::vector<instance_address> find_instances(store_connection& store, core::findings& found)
{
    std::set<std::string> alive;
    for (const stored_entry& entry : store.list(std::string(liveness_prefix))) {
        alive.insert(entry.key.substr(liveness_prefix.size()));
    }
    std::vector<instance_address> instances;
    for (const stored_entry& entry : store.list(std::string(member_prefix))) {
        std::optional<instance_address> address = find_address(entry.value);
        if (!address) {
            found.add_warning({entry.key, 0, 0}, "the member record lacks id, host or admin_port");
            continue;
        }
        address->is_live = alive.contains(address->name);
        instances.push_back(std::move(*address));
    }
    return instances;
}

std::vector<instance_reply> query_instances(const std::vector<instance_address>& instances,
                                            const std::string& target, core::duration timeout)
{
    asio::io_context context;
    std::vector<std::unique_ptr<http::client>> clients;
    std::vector<instance_reply> replies(instances.size());
    for (std::size_t index = 0; index < instances.size(); ++index) {
        replies[index].address = instances[index];
        clients.push_back(std::make_unique<http::client>(context.get_executor(), instances[index].admin.host,
                                                         instances[index].admin.port));
        asio::co_spawn(context, query(*clients.back(), target, timeout, replies[index]), asio::detached);
    }
    context.run();
    return replies;
}

} // namespace quetzalspan::admin
