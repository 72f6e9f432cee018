// The settings of one instance. They are read from its YAML file and from command-line overrides, and do not
// change while the process runs. In files and overrides the name of every duration ends in its unit, _ms.

#pragma once

#include "config/host_port.h"
#include "core/name_table.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzalspan::config
{

// How requests with methods that are not idempotent, such as POST, are handled.
enum class idempotency_policy {
    // A request with an Idempotency-Key runs at most once, since the instance claims the key in the store
    // first. A request without one is forwarded, and not retried once writing it to an upstream has begun.
    claim,
    // Like claim, but a request without an Idempotency-Key is rejected.
    require,
    // The Idempotency-Key is forwarded without a claim, for upstreams that detect duplicates themselves.
    pass,
};

inline constexpr core::name_table idempotency_policy_names{
    std::array<core::named_value<idempotency_policy>, 3>{{
        {idempotency_policy::claim, "claim"},
        {idempotency_policy::require, "require"},
        {idempotency_policy::pass, "pass"},
    }}};

// Defaults apply to settings that neither the file nor an override gives.
struct settings {
    // Identity and listening addresses. The host is a numeric address; with port 0 the system chooses a free
    // port.
    std::string instance;
    std::string availability_zone;
    std::string region;
    std::string host;
    std::uint16_t caller_port = 8080;
    std::uint16_t peer_port = 8081;
    std::uint16_t admin_port = 8082;

    // Addresses of the store, which the platform provides, tried in order.
    std::vector<host_port> store_addresses;
    // Addresses of peers to get the configuration from at start while the store cannot be reached.
    std::vector<host_port> seed_peers;

    // Secret that authenticates messages between instances. Exactly one of the two must be given.
    std::string shared_secret;
    std::string shared_secret_file;

    // Threads that serve requests.
    std::uint32_t threads = 4;

    // Limits on requests and client connections.
    std::uint32_t header_limit_bytes = 16 * 1024;
    std::uint64_t body_limit_bytes = 64 * 1024 * 1024;
    std::uint32_t connection_limit = 10000;
    std::chrono::milliseconds header_timeout{10000};
    std::chrono::milliseconds idle_timeout{60000};
    // Upper bound of a request's deadline.
    std::chrono::milliseconds request_timeout{30000};

    // The next three settings limit authority, that is, how long the instance may rely on its quota shares
    // and on its view of keys after it was last confirmed as a member.

    // How long a confirmation by the store, or a unanimous vouch of the other members, counts as fresh.
    std::chrono::milliseconds authority_lifetime{3000};
    // How long the instance keeps authority after its last confirmation has ceased to be fresh.
    std::chrono::milliseconds isolation_limit{10000};
    // How long after the last confirmation by the store vouches of the other members count.
    std::chrono::milliseconds autonomy_limit{6 * 60 * 60 * 1000};
    std::chrono::milliseconds heartbeat_interval{500};
    // Time until the store lease of the member record expires without renewal.
    std::chrono::milliseconds lease_time{6000};
    // How often the configuration is read from the store in addition to the watch, which can stall without an
    // error.
    std::chrono::milliseconds configuration_poll_interval{1000};

    // How long clients may cache the answer to a lookup.
    std::chrono::milliseconds lookup_ttl{5000};
    // How long a request may wait for rate-limit tokens borrowed from a peer.
    std::chrono::milliseconds borrow_wait{50};

    // Maximum number of retries of one request, and of all retries as a fraction of all requests.
    std::uint32_t retry_limit = 2;
    double retry_budget_fraction = 0.1;

    // debug, info, warn or error.
    std::string log_level = "info";
    // Name of the request header that carries the workspace key.
    std::string key_header = "Quetzal-Key";
    idempotency_policy idempotency = idempotency_policy::claim;
};

} // namespace quetzalspan::config
