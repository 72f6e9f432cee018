// Divides the requests of a route between its services by weight.

#pragma once

#include "routing/configuration.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace quetzalspan::routing
{

// A low-discrepancy sequence holds the weights far closer than a random draw: over n requests each service is
// off by about log(n) requests instead of sqrt(n). The position of a route survives new configurations.
// Threads may share a split.
class traffic_split
{
public:
    // The offset lets the sequences of different instances start at different places; between 0 and 1.
    explicit traffic_split(double offset) : m_offset(offset) {}

    traffic_split(const traffic_split&) = delete;
    traffic_split& operator=(const traffic_split&) = delete;

    // Returns the service of the next request of the route.
    const std::string& next(const route& target);

private:
    std::uint64_t advance(const std::string& route_name);

    const double m_offset;
    std::mutex m_guard;
    std::map<std::string, std::uint64_t> m_positions;
};

} // namespace quetzalspan::routing
