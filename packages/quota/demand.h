// The demand of instances as they report it to a collector, and the sums that a collector returns.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace quetzalspan::quota
{

// Requests per second by workspace; a workspace that is missing has none.
using demand_rates = std::map<std::string, double, std::less<>>;

struct demand_report {
    // Rises with each report of one start of an instance, and from one start to the next.
    std::uint64_t sequence = 0;
    demand_rates rates;
};

struct demand_sums {
    // The report of the receiver that the sums contain.
    std::uint64_t acknowledged = 0;
    // Instances whose reports the sums contain, the collector and the receiver included.
    std::size_t reporters = 0;
    demand_rates rates;
};

} // namespace quetzalspan::quota
