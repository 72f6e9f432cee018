// Counts executions and writes the counts as the JSON object of /standin/executions.

#include "standins/upstream/execution_log.h"

#include <algorithm>

namespace quetzalspan::standins
{

namespace
{

Json::UInt largest_count(const std::map<std::string, std::uint32_t>& counts)
{
    std::uint32_t largest = 0;
    for (const std::pair<const std::string, std::uint32_t>& entry : counts) {
        largest = std::max(largest, entry.second);
    }
    return largest;
}

Json::Value counts_to_json(const std::map<std::string, std::uint32_t>& counts)
{
    Json::Value result(Json::objectValue);
    for (const std::pair<const std::string, std::uint32_t>& entry : counts) {
        result[entry.first] = entry.second;
    }
    return result;
}

} // namespace

void execution_log::record(const std::string& request_id, const std::string& order)
{
    ++m_total;
    if (!request_id.empty()) {
        ++m_by_request[request_id];
    }
    if (!order.empty()) {
        ++m_by_order[order];
    }
}

Json::Value execution_log::to_json(bool with_details) const
{
    Json::Value result(Json::objectValue);
    result["executions"] = Json::UInt64(m_total);
    result["requests"] = Json::UInt64(m_by_request.size());
    result["orders"] = Json::UInt64(m_by_order.size());
    result["most_per_request"] = largest_count(m_by_request);
    result["most_per_order"] = largest_count(m_by_order);
    result["shed"] = Json::UInt64(m_shed);
    result["cancelled"] = Json::UInt64(m_cancelled);
    result["peak_running"] = m_peak_running;
    result["key_seen"] = m_has_seen_key;
    if (with_details) {
        result["by_request"] = counts_to_json(m_by_request);
        result["by_order"] = counts_to_json(m_by_order);
    }
    return result;
}

} // namespace quetzalspan::standins
