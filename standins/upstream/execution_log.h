// Counts the requests that the upstream stand-in has executed. Tests read the counts to check that no order
// ran twice, that keys do not reach upstreams, and that limits hold.

#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>

namespace quetzalspan::standins
{

class execution_log
{
public:
    // Counts an execution when it begins. An empty request id or order is left out of the counts by that
    // name.
    void record(const std::string& request_id, const std::string& order);

    // Counts a request that was rejected without being executed.
    void record_shed() { ++m_shed; }
    // Counts a request that ended early because its connection was closed.
    void record_cancelled() { ++m_cancelled; }
    // Notes that a request carried a Quetzal-Key header.
    void record_key_seen() { m_has_seen_key = true; }
    // Keeps the highest number of requests that were running at the same time.
    void record_running(std::uint32_t running) { m_peak_running = std::max(m_peak_running, running); }
    void reset() { *this = execution_log(); }

    // Returns the totals and the largest number of executions of one request and of one order. With details,
    // also the number of executions of each request and of each order.
    Json::Value to_json(bool with_details) const;

private:
    std::uint64_t m_total = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint32_t m_peak_running = 0;
    bool m_has_seen_key = false;
    std::map<std::string, std::uint32_t> m_by_request;
    std::map<std::string, std::uint32_t> m_by_order;
};

} // namespace quetzalspan::standins
