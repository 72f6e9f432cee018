// Chooses the endpoint of a request.
//
// Work on an object is several times faster at an endpoint that has handled the object lately, so weighted
// rendezvous hashing sends all requests for an object to the same endpoint, from every instance and without
// messages. A request leaves that endpoint for the next one in its order only if the first is full, failing,
// slow or may not receive more.

#pragma once

#include "placement/cold_start.h"
#include "placement/endpoint_catalog.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::placement
{

struct choice_options {
    // Own requests under way at an endpoint from which the next one in order is taken: twice its usual slots.
    // Waiting there costs less than work on an object that another endpoint does not know.
    std::uint32_t spill_limit = 6;
    // Own requests under way at an endpoint beyond which it gets no more: its usual slots and queue.
    std::uint32_t outstanding_limit = 12;
    // Weight of the endpoints of the own region relative to those of other regions. A higher one saves bytes
    // between regions and splits the objects over more endpoints that do not know them.
    double own_region_weight = 2;
    // An endpoint that is known this long and has received nothing gets one request, so that it takes part.
    core::duration first_request_delay = std::chrono::milliseconds(800);
};

struct choice_request {
    std::string_view service;
    // Names the object; empty if the request concerns none.
    std::string_view affinity;
    // Spreads requests that concern no object.
    std::string_view request_id;
    std::string_view own_region;
    // Whether the region may serve the request.
    std::function<bool(const std::string& region)> is_region_allowed;
    // Weight of a region's endpoints; empty if all weigh the same.
    std::function<double(const std::string& region)> region_weight;
    // Endpoints tried before.
    const std::vector<std::string>* tried = nullptr;
    bool is_repeatable = false;
    cold_limit cold;
};

enum class choice_fault {
    // No endpoint is known that may serve the request.
    no_endpoint,
    // Every endpoint is full or may not receive more now.
    all_busy,
};

struct choice {
    // Null if there is a fault.
    endpoint_pointer target;
    choice_fault fault = choice_fault::no_endpoint;
    // Whether another endpoint is the first choice of the object.
    bool is_spilled = false;
    // Endpoints that may serve the request.
    std::uint32_t candidates = 0;
};

choice choose_endpoint(const endpoint_catalog& catalog, const choice_request& request,
                       const fleet_position& fleet, const choice_options& options, core::instant now);

} // namespace quetzalspan::placement
