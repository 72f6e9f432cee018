// Splits the requests of a route between its services by weight.

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

// Selects services by a low-discrepancy sequence, which follows the weights far more closely than random
// selection: after n requests, the count of each service deviates by about log(n) requests instead of
// sqrt(n). The position of a route in its sequence is kept when the configuration changes. Thread-safe.
class traffic_split
{
public:
    // The offset, between 0 and 1, lets the sequences of different instances start at different points.
    explicit traffic_split(double offset) : m_offset(offset) {}

    traffic_split(const traffic_split&) = delete;
    traffic_split& operator=(const traffic_split&) = delete;

    // Returns the service for the next request of the route. Advances the sequence if the route has several
    // services. The result refers to an element of the route. Ends the process if the route has no services.
    const std::string& next_service(const route& target);

private:
    // Returns the current position of the route and increments it.
    std::uint64_t advance_position(const std::string& route_name);

    const double m_offset;
    std::mutex m_mutex;
    // The positions in the sequences, keyed by the name of the route. Guarded by m_mutex.
    std::map<std::string, std::uint64_t> m_positions;
};

} // namespace quetzalspan::routing
