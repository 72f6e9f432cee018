// The configuration that operators write: the registry (regions, availability zones, services, endpoints,
// workspaces, keys, sites, client blocks) and the rules (routes, caps, planned shifts, drains, objectives).

#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalspan::config
{

struct availability_zone {
    std::string name;
    std::string region;
};

// A server process of a service. The identifier is unique among the endpoints of its service.
struct endpoint {
    std::string id;
    std::string availability_zone;
    std::string host;
    std::uint16_t port = 0;
    // Maximum number of requests that the endpoint processes concurrently.
    std::uint32_t slots = 3;
    // Maximum number of connections that the endpoint accepts.
    std::uint32_t connections = 330;
    // A draining endpoint receives no new requests.
    bool is_draining = false;
};

struct service {
    std::string name;
    std::vector<endpoint> endpoints;
};

// A customer of the system. The rate and the burst limit the requests at all instances together.
struct workspace {
    std::string name;
    double rate_per_second = 0;
    std::uint32_t burst = 0;
    // Weight in the fair queue.
    std::uint32_t weight = 1;
};

// A key of a workspace. Only its SHA-256 digest is stored, in lower-case hexadecimal digits.
struct key_entry {
    std::string digest;
    std::string workspace;
    bool is_revoked = false;
};

// Assigns client addresses with an address prefix, such as "10.1.0.0/16", to a site.
struct client_block {
    std::string prefix;
    std::string site;
};

// A client location, with the regions that serve it in order of preference.
struct site {
    std::string name;
    std::vector<std::string> regions;
};

// Requests whose path begins with the prefix go to the service. A public route needs no key.
struct route {
    std::string path_prefix;
    std::string service;
    bool is_public = false;
};

// Limits the requests that may be moved from one region to another.
struct shift_cap {
    std::string from_region;
    std::string to_region;
    double rate_per_second = 0;
    std::uint32_t burst = 0;
};

// Limits the bytes that forwarded requests may send over the link from one region to another.
struct link_cap {
    std::string from_region;
    std::string to_region;
    double bytes_per_second = 0;
    std::uint64_t burst_bytes = 0;
};

// Moves a fraction of a service's requests from one region to another. Between begin and end the fraction
// changes linearly from begin_fraction to end_fraction, where it stays.
struct planned_shift {
    std::string service;
    std::string from_region;
    std::string to_region;
    double begin_fraction = 0;
    double end_fraction = 0;
    core::wall_time begin;
    core::wall_time end;
};

// The service-level objective of a service.
struct objective {
    std::string service;
    // Fraction of requests that must be good, such as 0.999.
    double target = 0.999;
    // A request that takes longer is not good.
    std::uint32_t latency_milliseconds = 1000;
};

struct registry {
    std::vector<std::string> regions;
    std::vector<availability_zone> availability_zones;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    std::vector<key_entry> keys;
    std::vector<site> sites;
    std::vector<client_block> client_blocks;
};

struct rules {
    std::vector<route> routes;
    std::vector<shift_cap> shift_caps;
    std::vector<link_cap> link_caps;
    std::vector<planned_shift> planned_shifts;
    // Regions that receive no new requests.
    std::vector<std::string> drained_regions;
    std::vector<objective> objectives;
};

// Identifies an earlier write of the configuration.
struct past_write {
    std::uint64_t revision = 0;
    std::string author;
    std::string nonce;
};

// One version of the configuration. It may only be replaced by one with a higher revision.
struct configuration {
    std::uint64_t revision = 0;
    // Who wrote it. Shown to a writer whose concurrent write was rejected.
    std::string author;
    // Unique for each write, so that a writer whose response was lost can recognize its own write.
    std::string nonce;
    // The preceding writes, newest first. A writer whose response was lost can find its write here, and so
    // knows that the write took effect, even if another has replaced it since.
    std::vector<past_write> history;
    registry inventory;
    rules policy;
};

} // namespace quetzalspan::config
