// Parses control messages of the upstream stand-in and counts the requests that a fault applies to.

#include "standins/upstream/standin_control.h"

#include <stdexcept>

namespace quetzalspan::standins
{

namespace
{

[[noreturn]] void reject(const std::string& name)
{
    throw std::invalid_argument("control member \"" + name + "\" is unknown or has a wrong value");
}

core::duration to_duration(const std::string& name, const Json::Value& value)
{
    if (!value.isNumeric() || value.asDouble() < 0) {
        reject(name);
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(value.asDouble()));
}

bool to_bool(const std::string& name, const Json::Value& value)
{
    if (!value.isBool()) {
        reject(name);
    }
    return value.asBool();
}

double to_double(const std::string& name, const Json::Value& value)
{
    if (!value.isNumeric()) {
        reject(name);
    }
    return value.asDouble();
}

fault to_fault(const std::string& name, const Json::Value& value)
{
    const std::optional<fault> found =
        value.isString() ? fault_names.find_value(value.asString()) : std::nullopt;
    if (!found) {
        reject(name);
    }
    return *found;
}

void merge_member(standin_control& control, const std::string& name, const Json::Value& value)
{
    if (name == "fault") {
        control.active_fault = to_fault(name, value);
    } else if (name == "fault_count") {
        const std::uint64_t count = static_cast<std::uint64_t>(to_double(name, value));
        control.fault_count = count == 0 ? std::nullopt : std::optional<std::uint64_t>(count);
    } else if (name == "delay_ms") {
        control.delay = to_duration(name, value);
    } else if (name == "service_ms") {
        control.service_time = to_duration(name, value);
    } else if (name == "service_sigma") {
        control.service_sigma = to_double(name, value);
    } else if (name == "draining") {
        control.is_draining = to_bool(name, value);
    } else if (name == "health") {
        control.reported_health = value.isNull() ? std::nullopt : std::optional<bool>(to_bool(name, value));
    } else if (name == "load") {
        control.reported_load = value.isNull() ? std::nullopt : std::optional<double>(to_double(name, value));
    } else if (name == "report_lag_ms") {
        control.report_lag = to_duration(name, value);
    } else if (name == "freeze_ms") {
        control.freeze_time = to_duration(name, value);
    } else if (name == "refuse_ms") {
        control.refuse_time = to_duration(name, value);
    } else {
        reject(name);
    }
}

} // namespace

void standin_control::merge(const Json::Value& changes)
{
    if (!changes.isObject()) {
        throw std::invalid_argument("the control message is no JSON object");
    }
    standin_control next = *this;
    for (const std::string& name : changes.getMemberNames()) {
        merge_member(next, name, changes[name]);
    }
    *this = next;
}

fault standin_control::take_fault()
{
    if (!fault_count) {
        return active_fault;
    }
    if (*fault_count == 0) {
        return fault::none;
    }
    --*fault_count;
    return active_fault;
}

} // namespace quetzalspan::standins
