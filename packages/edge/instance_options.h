// Who an edge instance is, where it listens, and the times and limits that a deployment sets.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace quetzalspan::edge
{

struct socket_address {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const socket_address&, const socket_address&) = default;
};

struct instance_options {
    std::string instance;
    std::string availability_zone;
    std::string region;
    socket_address callers;
    // Datagrams between instances.
    socket_address peers;
    // Metrics in text form; none if the port is 0.
    socket_address metrics;
    std::uint32_t request_thread_count = 1;
    std::string log_level = "info";

    // A keyed request runs only while the newest confirmed configuration is at most this old. Below the time
    // in which a revoked key must stop working, by what a request and a lagging watch may take.
    core::duration key_lifetime = std::chrono::milliseconds(3900);
    // An unknown route or key is only denied for good while the configuration is at most this old; before
    // that the caller is told to come back.
    core::duration max_configuration_age_for_denials = std::chrono::milliseconds(2500);

    // The lease of the instance's record, and the pause between renewals.
    core::duration lease_time = std::chrono::milliseconds(4500);
    core::duration lease_renewal_interval = std::chrono::milliseconds(1200);
    // The watch of the store: its longest wait, and the pause after it, which collects changes that come
    // together. A change is seen within the pause and a round trip. In calm times the confirmed configuration
    // is at most two waits and a pause old, which keeps below max_configuration_age_for_denials.
    core::duration store_watch_timeout = std::chrono::milliseconds(650);
    core::duration store_watch_pause = std::chrono::milliseconds(600);
    core::duration store_retry_pause = std::chrono::milliseconds(150);

    // Time between two reports of demand, and between two sums.
    core::duration demand_interval = std::chrono::milliseconds(500);
    // A peer that should send, was heard before and is silent for this long is left out of lookups.
    core::duration peer_timeout = std::chrono::milliseconds(2500);
    // How long callers may use the answer to a lookup.
    core::duration lookup_lifetime = std::chrono::seconds(2);

    // From the signal to stop until the process must have ended.
    core::duration stop_limit = std::chrono::seconds(6);
    // From the signal until new requests are rejected: by then callers have looked up other instances.
    core::duration stop_refusal = std::chrono::milliseconds(3200);
    // From the signal until the listener closes.
    core::duration stop_drain = std::chrono::milliseconds(4900);

    // Fleet-wide limits: the window over which a workspace's requests are summed, and what is tolerated above
    // the limit.
    core::duration quota_window = std::chrono::seconds(5);
    double quota_tolerated_share = 0;
    double quota_tolerated_requests = 0;
    // Second sends to a service: a share of its requests and a number for the whole fleet.
    double retry_share = 0.1;
    double retry_slack = 10;
    // What a cold endpoint tolerates above its rate: a factor and a number for the whole fleet.
    double cold_factor = 1;
    double cold_slack = 0;
};

} // namespace quetzalspan::edge
