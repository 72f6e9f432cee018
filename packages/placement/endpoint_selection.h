// Selects the endpoint for a request.
//
// An endpoint that has recently handled an object serves it several times faster. Weighted rendezvous hashing
// therefore sends all requests for an object to the same endpoint, from every instance and without messages
// between instances. A request goes to the next endpoint in the object's order only if the preferred one is
// busy, failing, slow or may not receive more requests.

#pragma once

#include "placement/cold_start.h"
#include "placement/endpoint_catalog.h"
#include "placement/expected_time.h"
#include "placement/rate_limit.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::placement
{

struct endpoint_selection_options {
    // An endpoint with this many requests of this instance in flight is passed over for the next one in
    // order: twice the usual number of slots. Below that, queueing at the endpoint costs less than serving
    // the object at an endpoint that has not handled it.
    std::uint32_t spill_threshold = 6;
    // An endpoint with this many requests of this instance in flight receives no more: the usual number of
    // slots and the usual length of the queue.
    std::uint32_t max_outstanding = 12;
    // Load reports are used for this long. An endpoint that answers many requests reports anew long before.
    core::duration load_report_lifetime = std::chrono::milliseconds(250);
    // An endpoint at which more requests wait than this many times its slots is passed over for the next one
    // in order.
    double spill_waiting_per_slot = 0.7;
    // An endpoint at which more requests wait than this many times its slots receives none. A longer queue
    // serves no more requests, only all of them later.
    double max_waiting_per_slot = 1.7;
    // The first endpoints in the order of an object that may serve it in turn while they are busy, not
    // counting those that are failing, slow, cold or waiting. With more, an overload would send each object
    // to all endpoints, none of which would serve it fast any more.
    std::size_t max_busy_choices = 3;
    // The weight of endpoints in this instance's region, relative to endpoints in other regions. A higher
    // weight reduces traffic between regions, but instances of different regions then send the requests for
    // an object to different endpoints, each of which has to handle it for the first time.
    double own_region_weight = 2;
    // An endpoint that has been known for this long without receiving any request is sent one, so that it is
    // used even if no object is assigned to it.
    core::duration first_request_delay = std::chrono::milliseconds(800);
    // Used where the load of endpoints is shared between instances.
    expected_time_options expected_time;
    // The expected time that any other endpoint must save over the first one in the object's order to be
    // chosen instead, in multiples of the usual time to process a request. An endpoint that does not know the
    // object needs several times the work, but soon knows an object that is sent there again and again.
    double relocation_cost = 0.5;
    // The expected time of each endpoint is lengthened by a random part of up to this fraction of it. All
    // instances know the same loads, and would otherwise choose the same endpoint until the next report.
    double jitter = 0.2;
};

struct endpoint_selection_request {
    std::string_view service;
    // Identifies the object of the request; empty if it concerns none.
    std::string_view affinity;
    // Distributes the requests that concern no object.
    std::string_view request_id;
    std::string_view own_region;
    // Returns whether the region may serve the request.
    std::function<bool(const std::string& region)> is_region_allowed;
    // Returns the weight of a region's endpoints; empty if all regions have the same weight.
    std::function<double(const std::string& region)> region_weight;
    // The ids of endpoints that earlier attempts of the request were sent to; may be null.
    const std::vector<std::string>* tried_endpoint_ids = nullptr;
    // Whether the request may run more than once.
    bool is_repeatable = false;
    // Whether endpoints with a rate limit are left out.
    bool skips_rate_limited = false;
    // Whether the endpoint with the lowest expected time is chosen, since their load is known. Otherwise the
    // first one in the object's order that is not busy is. With it, spill_threshold and
    // spill_waiting_per_slot have no effect.
    bool uses_expected_time = false;
    // The endpoints that may serve the object; 0 for the number in the options.
    std::size_t max_choices = 0;
    cold_limit cold;
    // Returns whether an idle connection to the endpoint was opened at the time or before. Empty if there is
    // no idle connection to any endpoint.
    std::function<bool(const endpoint&, core::instant opened_until)> has_idle_connection;
};

enum class endpoint_selection_error {
    // No known endpoint may serve the request.
    no_endpoint,
    // Every endpoint that may serve the request has reached its limit of requests.
    at_capacity,
};

struct endpoint_selection {
    // Null if no endpoint can be used; fault then holds the reason.
    endpoint_pointer target;
    // Valid only if target is null.
    endpoint_selection_error fault = endpoint_selection_error::no_endpoint;
    // If target is null and all endpoints that may serve the request have asked for no request for a while or
    // have reached their rate limits: the time until the first of them may receive one again. Otherwise no
    // value.
    std::optional<core::duration> earliest_wait;
    // Whether the object's order prefers another endpoint that may serve the request.
    bool is_spilled = false;
    // The number of endpoints that may serve the request and were not tried before.
    std::uint32_t candidates = 0;
};

// Selects the endpoint with the lowest penalty and, among equals, the first one in the object's order or,
// with uses_expected_time, the one with the lowest expected time of the first ones. An endpoint that is due
// its first request takes precedence.
endpoint_selection select_endpoint(const endpoint_catalog& catalog, const endpoint_selection_request& request,
                                   const fleet_view& fleet, const endpoint_selection_options& options,
                                   core::instant now);

} // namespace quetzalspan::placement
