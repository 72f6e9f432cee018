// Defines the demand reports that instances send to a collector, and the sums that the collector returns.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace quetzalspan::quota
{

// Requests per second by workspace. A workspace without an entry has no demand.
using demand_rates = std::map<std::string, double, std::less<>>;

struct demand_report {
    // Increases with each report of an instance, also across its restarts.
    std::uint64_t sequence = 0;
    demand_rates rates;
};

struct demand_sums {
    // The sequence number of the receiver's report that is included in the sums.
    std::uint64_t acknowledged_sequence = 0;
    // The number of instances whose reports are included in the sums. The collector and the receiver count.
    std::size_t reporter_count = 0;
    demand_rates rates;
};

} // namespace quetzalspan::quota
