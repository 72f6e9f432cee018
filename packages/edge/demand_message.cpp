// Implements the message between instances.

#include "edge/demand_message.h"

#include "codec/json_reader.h"

#include <cmath>

namespace quetzalspan::edge
{

namespace
{

// Demand travels in tenths of a request per second, as whole numbers.
constexpr double steps_per_request = 10;
constexpr std::uint64_t most_steps = 1'000'000'000;

} // namespace

std::string to_text(const demand_message& message)
{
    Json::Value rates(Json::objectValue);
    for (const auto& [workspace, rate] : message.rates) {
        rates[workspace] = Json::Int64(std::llround(rate * steps_per_request));
    }
    Json::Value value;
    value["jsonrpc"] = "2.0";
    value["method"] = "demand";
    value["params"]["instance"] = message.instance;
    value["params"]["sequence"] = Json::UInt64(message.sequence);
    value["params"]["rates"] = rates;
    return codec::to_compact_text(value);
}

demand_message parse_demand_message(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value value = in.parse_object(text);
    if (in.text(value, "method", "message") != "demand") {
        in.add_fault("message.method", "is unknown");
    }
    const Json::Value& params = in.object(value, "params", "message");
    demand_message result;
    result.instance = in.text(params, "instance", "params");
    result.sequence = in.count(params, "sequence", "params");
    const Json::Value& rates = in.object(params, "rates", "params");
    in.finish();
    for (const std::string& workspace : rates.getMemberNames()) {
        const std::uint64_t steps = in.count(rates, workspace.c_str(), "rates", most_steps);
        result.rates[workspace] = static_cast<double>(steps) / steps_per_request;
    }
    in.finish();
    return result;
}

} // namespace quetzalspan::edge
