// What operators configure for requests: routes, services, workspaces and limits, independent of the format
// in which a deployment writes it.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::routing
{

// One of the services that share a route.
struct weighted_service {
    std::string service;
    // Share of the requests relative to the other services of the route; above 0.
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // Whether a request may run more than once.
    bool is_repeatable = false;
    // Never empty.
    std::vector<weighted_service> services;
    // The longest time that a caller waits for the final response; zero for no limit.
    core::duration time_limit{0};
    // The latency objective; zero for none.
    core::duration latency_objective{0};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // The most endpoints that may receive one request; at least 1.
    std::uint32_t attempt_limit = 1;
    // Whether requests need no key.
    bool is_public = false;
    // Whether an endpoint that has handled an object serves it faster.
    bool has_affinity = false;
    // The regions that may serve the requests; empty for all.
    std::vector<std::string> home_regions;
};

struct service {
    std::string name;
    // How long an endpoint stays cold after its start.
    core::duration cold_time{0};
    // Requests per second that a cold endpoint tolerates; 0 for no limit.
    double cold_rate = 0;
    // Connections that an endpoint accepts from all instances together; 0 if unknown.
    std::uint32_t connection_limit = 0;
};

struct workspace {
    std::string name;
    // SHA-256 of the keys in hexadecimal digits.
    std::vector<std::string> key_digests;
    // Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    // Requests per second over all instances; 0 for no limit.
    double rate = 0;
    double burst = 0;
    // The regions that may serve the workspace; empty for all.
    std::vector<std::string> home_regions;
};

struct configuration {
    // Versions rise; a lower one never replaces a higher one.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
};

} // namespace quetzalspan::routing
