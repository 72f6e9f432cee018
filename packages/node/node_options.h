// The settings of the control loop.

#pragma once

#include "allowance/share_manager.h"
#include "core/time.h"
#include "membership/member.h"

#include <chrono>
#include <string>

namespace quetzalspan::node
{

struct node_options {
    // Template of the member record. Each time that the instance joins, it gets a new member id.
    membership::member self;
    membership::authority_settings authority;
    core::duration heartbeat_interval = std::chrono::milliseconds(500);
    // Time until the store lease of the member record expires without renewal.
    core::duration lease_time = std::chrono::seconds(6);
    // How often the configuration is read from the store in addition to the watch.
    core::duration configuration_poll_interval = std::chrono::seconds(1);
    // How long a request may wait for tokens borrowed from peers. Tokens that are requested urgently for it
    // are kept by this instance for the same time.
    core::duration max_borrow_wait = std::chrono::milliseconds(50);
    // How long callers may use the answer to a lookup. A planned stop keeps its listener open for at least
    // this time after it was taken out of lookups.
    core::duration lookup_ttl = std::chrono::seconds(5);
};

} // namespace quetzalspan::node
