// The options of an edge instance: its identity, its listening addresses, and the timeouts and limits that a
// deployment sets.

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
    // The listener for requests of callers.
    socket_address caller_address;
    // The UDP socket for messages between instances.
    socket_address peer_address;
    // The listener that serves metrics in text form; metrics are not served if the port is 0.
    socket_address metrics_address;
    std::uint32_t request_thread_count = 1;
    std::string log_level = "info";

    // Maximum age of the last confirmation of the configuration at which a request with a key is still sent.
    // It is shorter than the time within which a revoked key must stop working; the difference covers the
    // duration of a request and the delay of a watch.
    core::duration max_configuration_age_for_keys = std::chrono::milliseconds(3900);
    // Maximum age of the last confirmation of the configuration at which an unknown route or key is rejected
    // permanently. With an older configuration the caller is told to retry later, since a newer configuration
    // may contain the route or key.
    core::duration max_configuration_age_for_denials = std::chrono::milliseconds(2500);

    // Duration of the lease on the instance's record in the store, and the pause between its renewals.
    core::duration lease_time = std::chrono::milliseconds(4500);
    core::duration lease_renewal_interval = std::chrono::milliseconds(1200);
    // Timeout of one watch call to the store, and the pause after each watch, which lets changes accumulate
    // so that they arrive in one answer. A change is seen within the pause and one round trip. While nothing
    // changes, the confirmation of the configuration is at most two timeouts and one pause old, which is
    // below max_configuration_age_for_denials.
    core::duration store_watch_timeout = std::chrono::milliseconds(650);
    core::duration store_watch_pause = std::chrono::milliseconds(600);
    core::duration store_retry_pause = std::chrono::milliseconds(150);
    // The same two for the relay of a region, which watches the store for the other instances of the region,
    // and the pause between two questions of another instance to the relay. The relay's confirmation is at
    // most 1 s old, so that of the others is below max_configuration_age_for_denials too.
    core::duration relay_watch_timeout = std::chrono::milliseconds(400);
    core::duration relay_watch_pause = std::chrono::milliseconds(200);
    core::duration peer_ask_pause = std::chrono::milliseconds(900);
    // The age of a relay's confirmation at which it is asked again before the end of that pause. If it has
    // lost the store, the question and the instance's own watch that follows still end within the 2 s in
    // which a configuration must be in force.
    core::duration max_confirmation_age = std::chrono::milliseconds(1400);

    // Interval between two demand reports to a collector, and between two messages with sums from it.
    core::duration demand_interval = std::chrono::milliseconds(500);
    // A peer that should send messages to this instance and has sent some before is left out of lookups when
    // nothing was received from it for longer than this.
    core::duration peer_timeout = std::chrono::milliseconds(2500);
    // How long callers may cache the answer to a lookup.
    core::duration lookup_cache_lifetime = std::chrono::seconds(2);

    // Time from the stop signal until the process must have ended.
    core::duration shutdown_timeout = std::chrono::seconds(6);
    // Time from the stop signal until requests are rejected whose deadline is after the end of the shutdown.
    // Before, too few callers have looked up other instances, and most requests end long before their
    // deadline.
    core::duration shutdown_long_request_delay = std::chrono::milliseconds(2900);
    // Time from the stop signal until new requests are rejected. By then callers have looked up other
    // instances.
    core::duration shutdown_reject_delay = std::chrono::milliseconds(3200);
    // Time from the stop signal until the listener closes.
    core::duration shutdown_drain_delay = std::chrono::milliseconds(4900);
    // Time after that until idle connections of callers are closed. What is left of the shutdown timeout then
    // is for requests under way and for ending the process.
    core::duration shutdown_linger = std::chrono::milliseconds(360);

    // Fleet-wide rate limits of workspaces: the window over which requests are counted, and the tolerance
    // above the limit as a fraction of it and as a number of requests.
    core::duration quota_window = std::chrono::seconds(5);
    double quota_tolerated_excess_fraction = 0;
    double quota_tolerated_excess_requests = 0;
    // Budget of retries to a service over the whole fleet: a fraction of its requests plus a number of
    // retries.
    double retry_budget_fraction = 0.1;
    double retry_budget_slack = 10;
    // Limit of requests per second to a cold endpoint, one that started recently: its configured rate times
    // the factor plus the slack, over the whole fleet.
    double cold_rate_factor = 1;
    double cold_rate_slack = 0;
};

} // namespace quetzalspan::edge
