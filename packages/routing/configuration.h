// Defines the configuration of request handling: routes, services, workspaces and limits. It does not depend
// on the format in which a deployment stores it.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::routing
{

// One of the services between which the requests of a route are split.
struct weighted_service {
    std::string service;
    // The weight relative to the other services of the route; above 0.
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // The prefix of the paths that belong to the route. It begins and ends with a slash.
    std::string prefix;
    // Whether a request may run more than once.
    bool is_repeatable = false;
    // Never empty.
    std::vector<weighted_service> services;
    // The maximum time that a caller waits for the final response; zero means no limit.
    core::duration time_limit{0};
    // The target latency of the service level objective; zero means none.
    core::duration latency_objective{0};
    // Lower values are more urgent; 0 is the most urgent.
    std::uint32_t priority = 0;
    // The maximum number of endpoints that one request may be sent to; at least 1.
    std::uint32_t attempt_limit = 1;
    // Whether requests are accepted without an API key.
    bool is_public = false;
    // Whether an endpoint that has recently handled an object serves it faster, so that requests for the
    // object should go to the same endpoint.
    bool has_affinity = false;
    // The regions that may serve the requests; empty means all.
    std::vector<std::string> home_regions;
};

struct service {
    std::string name;
    // How long an endpoint stays cold after it starts. Meanwhile it receives requests at a limited rate.
    core::duration cold_duration{0};
    // Requests per second that a cold endpoint tolerates from all instances together; 0 means no limit.
    double cold_rate = 0;
    // The maximum number of connections that an endpoint accepts from all instances together; 0 if unknown.
    std::uint32_t connection_limit = 0;
};

struct workspace {
    std::string name;
    // The SHA-256 digests of the workspace's API keys in hexadecimal digits.
    std::vector<std::string> key_digests;
    // Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    // Requests per second over all instances; 0 means no limit.
    double rate = 0;
    // Requests that all instances together may admit at once above the rate.
    double burst = 0;
    // The regions that may serve the workspace; empty means all.
    std::vector<std::string> home_regions;
};

struct configuration {
    // Increases with each change. A configuration never replaces one with a higher version.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
};

} // namespace quetzalspan::routing
