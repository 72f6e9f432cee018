// Measures how often objects are requested and decides how many endpoints may serve an object.
//
// An object whose requests all go to a few endpoints is served fast there. An object that is requested so
// often that these would be busy with it alone is given as many endpoints as its requests need, and loses
// them again when it is requested less.

#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzalspan::placement
{

struct object_spread_options {
    // The endpoints of an object that is seldom requested. With one, a busy or slow endpoint could not be
    // avoided; with more, endpoints forget objects between their requests.
    std::size_t min_endpoints = 2;
    std::size_t max_endpoints = 32;
    // The fraction of an endpoint's slots that one object may use.
    double max_slot_share = 0.5;
    // The time over which requests are counted.
    core::duration time_constant = std::chrono::seconds(5);
    // The objects that are counted at a time; others that have the same place in the table are not.
    std::size_t table_size = 512;
};

// What the requests for an object cost.
struct object_demand {
    std::uint64_t object_hash = 0;
    // The instances that receive requests for the object about as often as this one, itself included.
    std::uint32_t instances = 1;
    // The average time that endpoints need for a request, in seconds.
    double service_seconds = 0;
    std::uint32_t slots_per_endpoint = 1;
};

// Not thread-safe. Its memory is bounded by the size of the table.
class object_spread
{
public:
    explicit object_spread(object_spread_options options);

    // Counts a request for the object and returns the number of endpoints that may serve it.
    std::size_t record_request(const object_demand& demand, core::instant now);

private:
    struct counter {
        std::uint64_t object_hash = 0;
        // Requests, each weighted by its age.
        double count = 0;
        core::instant updated_at;
    };

    // Counts the request and returns the weighted count of the object; 0 if another object has its place.
    double count_request(std::uint64_t object_hash, core::instant now);

    object_spread_options m_options;
    std::vector<counter> m_counters;
};

} // namespace quetzalspan::placement
