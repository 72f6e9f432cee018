// Converts messages between instances to JSON-RPC notifications, and parses and validates them.

#include "edge/peer_message.h"

#include "codec/json_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace quetzalspan::edge
{

namespace
{

constexpr const char* report_method = "demand";
constexpr const char* sums_method = "demand_sums";
constexpr const char* token_request_method = "token_request";
constexpr const char* endpoint_token_request_method = "endpoint_token_request";
constexpr const char* token_answer_method = "token_answer";
constexpr const char* confirmation_request_method = "confirmation_request";
constexpr const char* confirmation_method = "confirmation";
constexpr const char* endpoint_end_method = "endpoint_end";
constexpr const char* quarantine_method = "quarantine";
constexpr const char* endpoint_loads_method = "endpoint_loads";
// Longer than any sensible wait for a token.
constexpr std::uint64_t max_retry_ms = 60'000;
// Far above the age at which a confirmation is of no use any more.
constexpr std::uint64_t max_confirmation_age_ms = 60'000;

// Far above the duration of any quarantine.
constexpr std::uint64_t max_quarantine_ms = 3'600'000;

// Far above the age at which a load tells nothing any more.
constexpr std::uint64_t max_load_age_ms = 60'000;
// Far above the requests that an endpoint holds and any pace.
constexpr std::uint64_t max_load_number = 1'000'000;

// Rates are encoded as integers in tenths of a request per second.
constexpr double rate_steps_per_rps = 10;
constexpr std::uint64_t max_rate_steps = 1'000'000'000;
// Limits of endpoints can be low, and are encoded as integers in thousandths of a request per second.
constexpr double endpoint_rate_steps_per_rps = 1000;
// Far above the size of any fleet. Bounds the effect of a forged message on the shares of a limit.
constexpr std::uint64_t max_reporters = 100'000;

Json::Value to_json(const quota::demand_rates& rates)
{
    Json::Value value(Json::objectValue);
    for (const auto& [workspace, rate] : rates) {
        value[workspace] = Json::Int64(std::llround(rate * rate_steps_per_rps));
    }
    return value;
}

quota::demand_rates read_rates(codec::json_reader& in, const Json::Value& params)
{
    quota::demand_rates result;
    const Json::Value& rates = in.read_object(params, "rates", "params");
    in.throw_if_errors();
    for (const std::string& workspace : rates.getMemberNames()) {
        const std::uint64_t steps = in.read_unsigned(rates, workspace.c_str(), "rates", max_rate_steps);
        result[workspace] = static_cast<double>(steps) / rate_steps_per_rps;
    }
    return result;
}

std::string to_notification(const char* method, Json::Value params)
{
    Json::Value value;
    value["jsonrpc"] = "2.0";
    value["method"] = method;
    value["params"] = std::move(params);
    return codec::to_compact_text(value);
}

demand_report_message read_report(codec::json_reader& in, const Json::Value& params)
{
    demand_report_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.report.sequence = in.read_unsigned(params, "sequence", "params");
    result.report.rates = read_rates(in, params);
    return result;
}

demand_sums_message read_sums(codec::json_reader& in, const Json::Value& params)
{
    demand_sums_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.sequence = in.read_unsigned(params, "sequence", "params");
    result.sums.acknowledged_sequence = in.read_unsigned(params, "acknowledged", "params");
    result.sums.reporter_count = in.read_unsigned(params, "reporters", "params", max_reporters);
    if (result.sums.reporter_count == 0) {
        in.add_error("params.reporters", "is 0");
    }
    result.sums.rates = read_rates(in, params);
    const Json::Value& silent = in.read_object(params, "silent", "params");
    for (const std::string& name : silent.getMemberNames()) {
        result.silent.insert(name);
    }
    return result;
}

token_request_message read_token_request(codec::json_reader& in, const Json::Value& params)
{
    token_request_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.number = in.read_unsigned(params, "number", "params");
    result.workspace = in.read_string(params, "workspace", "params");
    return result;
}

endpoint_token_request_message read_endpoint_token_request(codec::json_reader& in, const Json::Value& params)
{
    endpoint_token_request_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.number = in.read_unsigned(params, "number", "params");
    result.endpoint = in.read_string(params, "endpoint", "params");
    const std::uint64_t steps = in.read_unsigned(params, "rate", "params", max_rate_steps);
    result.rate = static_cast<double>(steps) / endpoint_rate_steps_per_rps;
    return result;
}

token_answer_message read_token_answer(codec::json_reader& in, const Json::Value& params)
{
    token_answer_message result;
    result.number = in.read_unsigned(params, "number", "params");
    result.is_granted = in.read_bool(params, "granted", "params");
    result.retry_after =
        std::chrono::milliseconds(in.read_unsigned(params, "retry_ms", "params", max_retry_ms));
    return result;
}

confirmation_request_message read_confirmation_request(codec::json_reader& in, const Json::Value& params)
{
    confirmation_request_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.number = in.read_unsigned(params, "number", "params");
    return result;
}

confirmation_message read_confirmation(codec::json_reader& in, const Json::Value& params)
{
    confirmation_message result;
    result.number = in.read_unsigned(params, "number", "params");
    result.epoch = in.read_unsigned(params, "epoch", "params");
    result.revision = in.read_unsigned(params, "revision", "params");
    result.age =
        std::chrono::milliseconds(in.read_unsigned(params, "age_ms", "params", max_confirmation_age_ms));
    return result;
}

// Fingerprints have 64 bits, more than a JSON number keeps.
constexpr int fingerprint_base = 16;

std::string to_hex(dispatch::request_fingerprint value)
{
    std::array<char, 2 * sizeof(value)> digits{};
    const std::to_chars_result end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, fingerprint_base);
    return {digits.data(), end.ptr};
}

dispatch::request_fingerprint read_fingerprint(codec::json_reader& in, const Json::Value& params)
{
    const std::string text = in.read_string(params, "request", "params");
    dispatch::request_fingerprint result = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result, fingerprint_base);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        in.add_error("params.request", "is not a fingerprint");
    }
    return result;
}

endpoint_end_message read_endpoint_end(codec::json_reader& in, const Json::Value& params)
{
    endpoint_end_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.request = read_fingerprint(in, params);
    result.endpoint = in.read_string(params, "endpoint", "params");
    return result;
}

quarantine_message read_quarantine(codec::json_reader& in, const Json::Value& params)
{
    quarantine_message result;
    result.instance = in.read_string(params, "instance", "params");
    result.notice.request = read_fingerprint(in, params);
    result.notice.remaining =
        std::chrono::milliseconds(in.read_unsigned(params, "remaining_ms", "params", max_quarantine_ms));
    result.notice.since_first_end =
        std::chrono::milliseconds(in.read_unsigned(params, "first_end_ms", "params", max_quarantine_ms));
    return result;
}

// A load is the array of running, waiting, slots, pace in percent (0 if there is none) and age in
// milliseconds.
constexpr std::size_t load_number_count = 5;

Json::Value to_json(const shared_load& load)
{
    // Rounded up, since a report that seems younger than it is would replace newer ones.
    const std::int64_t age_ms = std::clamp<std::int64_t>(core::to_milliseconds(load.age) + 1, 0,
                                                         static_cast<std::int64_t>(max_load_age_ms));
    const auto limit = [](std::uint64_t number) { return Json::UInt64(std::min(number, max_load_number)); };
    Json::Value value(Json::arrayValue);
    value.append(limit(load.report.running));
    value.append(limit(load.report.waiting));
    value.append(limit(load.report.slots));
    value.append(limit(load.report.pace_percent.value_or(0)));
    value.append(Json::Int64(age_ms));
    return value;
}

shared_load read_load(codec::json_reader& in, const Json::Value& loads, const std::string& endpoint)
{
    std::array<std::uint64_t, load_number_count> numbers{};
    std::size_t count = 0;
    in.for_each_item(loads, endpoint.c_str(), "loads", load_number_count,
                     [&](const Json::Value& item, const std::string& path) {
                         if (!item.isUInt64() || item.asUInt64() > max_load_number) {
                             in.add_error(path, "is not a number of the permitted range");
                         } else {
                             numbers[count] = item.asUInt64();
                         }
                         ++count;
                     });
    if (count != load_number_count || numbers[2] == 0 || numbers[4] > max_load_age_ms) {
        in.add_error("loads." + endpoint, "is not a load");
    }
    shared_load result;
    result.report.running = static_cast<std::uint32_t>(numbers[0]);
    result.report.waiting = static_cast<std::uint32_t>(numbers[1]);
    result.report.slots = static_cast<std::uint32_t>(numbers[2]);
    if (numbers[3] > 0) {
        result.report.pace_percent = static_cast<std::uint32_t>(numbers[3]);
    }
    result.age = std::chrono::milliseconds(numbers[4]);
    return result;
}

endpoint_loads_message read_endpoint_loads(codec::json_reader& in, const Json::Value& params)
{
    endpoint_loads_message result;
    result.instance = in.read_string(params, "instance", "params");
    const std::optional<load_scope> scope =
        load_scope_names.find_value(in.read_string(params, "scope", "params"));
    if (!scope) {
        in.add_error("params.scope", "is unknown");
    }
    result.scope = scope.value_or(load_scope::instance);
    const Json::Value& loads = in.read_object(params, "loads", "params");
    in.throw_if_errors();
    if (loads.size() > max_shared_loads) {
        in.add_error("params.loads", "has too many entries");
        return result;
    }
    for (const std::string& endpoint : loads.getMemberNames()) {
        result.loads[endpoint] = read_load(in, loads, endpoint);
    }
    return result;
}

} // namespace

std::string to_text(const endpoint_loads_message& message)
{
    Json::Value loads(Json::objectValue);
    for (const auto& [endpoint, load] : message.loads) {
        loads[endpoint] = to_json(load);
    }
    Json::Value params;
    params["instance"] = message.instance;
    params["scope"] = std::string(load_scope_names.name(message.scope));
    params["loads"] = std::move(loads);
    return to_notification(endpoint_loads_method, std::move(params));
}

std::string to_text(const endpoint_end_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["request"] = to_hex(message.request);
    params["endpoint"] = message.endpoint;
    return to_notification(endpoint_end_method, std::move(params));
}

std::string to_text(const quarantine_message& message)
{
    const std::int64_t limit = static_cast<std::int64_t>(max_quarantine_ms);
    Json::Value params;
    params["instance"] = message.instance;
    params["request"] = to_hex(message.notice.request);
    params["remaining_ms"] = Json::Int64(std::min(core::to_milliseconds(message.notice.remaining), limit));
    params["first_end_ms"] =
        Json::Int64(std::min(core::to_milliseconds(message.notice.since_first_end), limit));
    return to_notification(quarantine_method, std::move(params));
}

std::string to_text(const confirmation_request_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["number"] = Json::UInt64(message.number);
    return to_notification(confirmation_request_method, std::move(params));
}

std::string to_text(const confirmation_message& message)
{
    Json::Value params;
    params["number"] = Json::UInt64(message.number);
    params["epoch"] = Json::UInt64(message.epoch);
    params["revision"] = Json::UInt64(message.revision);
    // Rounded up, since an age that is too low would make keys count as confirmed for too long.
    const std::int64_t age_ms = core::to_milliseconds(message.age) + 1;
    params["age_ms"] = Json::Int64(std::min(age_ms, static_cast<std::int64_t>(max_confirmation_age_ms)));
    return to_notification(confirmation_method, std::move(params));
}

std::string to_text(const token_request_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["number"] = Json::UInt64(message.number);
    params["workspace"] = message.workspace;
    return to_notification(token_request_method, std::move(params));
}

std::string to_text(const endpoint_token_request_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["number"] = Json::UInt64(message.number);
    params["endpoint"] = message.endpoint;
    const double steps =
        std::min(message.rate * endpoint_rate_steps_per_rps, static_cast<double>(max_rate_steps));
    params["rate"] = Json::Int64(std::llround(steps));
    return to_notification(endpoint_token_request_method, std::move(params));
}

std::string to_text(const token_answer_message& message)
{
    Json::Value params;
    params["number"] = Json::UInt64(message.number);
    params["granted"] = message.is_granted;
    params["retry_ms"] = Json::Int64(core::to_milliseconds(message.retry_after));
    return to_notification(token_answer_method, std::move(params));
}

std::string to_text(const demand_report_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["sequence"] = Json::UInt64(message.report.sequence);
    params["rates"] = to_json(message.report.rates);
    return to_notification(report_method, std::move(params));
}

std::string to_text(const demand_sums_message& message)
{
    Json::Value params;
    params["instance"] = message.instance;
    params["sequence"] = Json::UInt64(message.sequence);
    params["acknowledged"] = Json::UInt64(message.sums.acknowledged_sequence);
    params["reporters"] = Json::UInt64(message.sums.reporter_count);
    params["rates"] = to_json(message.sums.rates);
    Json::Value silent(Json::objectValue);
    for (const std::string& name : message.silent) {
        silent[name] = true;
    }
    params["silent"] = silent;
    return to_notification(sums_method, std::move(params));
}

peer_message parse_peer_message(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value value = in.parse_object(text);
    const std::string method = in.read_string(value, "method", "message");
    const Json::Value& params = in.read_object(value, "params", "message");
    peer_message result;
    if (method == report_method) {
        result = read_report(in, params);
    } else if (method == sums_method) {
        result = read_sums(in, params);
    } else if (method == token_request_method) {
        result = read_token_request(in, params);
    } else if (method == endpoint_token_request_method) {
        result = read_endpoint_token_request(in, params);
    } else if (method == token_answer_method) {
        result = read_token_answer(in, params);
    } else if (method == confirmation_request_method) {
        result = read_confirmation_request(in, params);
    } else if (method == confirmation_method) {
        result = read_confirmation(in, params);
    } else if (method == endpoint_end_method) {
        result = read_endpoint_end(in, params);
    } else if (method == quarantine_method) {
        result = read_quarantine(in, params);
    } else if (method == endpoint_loads_method) {
        result = read_endpoint_loads(in, params);
    } else {
        in.add_error("message.method", "is unknown");
    }
    in.throw_if_errors();
    return result;
}

} // namespace quetzalspan::edge
