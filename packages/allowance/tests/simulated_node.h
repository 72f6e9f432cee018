// One instance of the simulated fleet, the settings of a run, and its request counts.

#pragma once

#include "allowance/share_manager.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzalspan::allowance::testing
{

struct fleet_settings {
    std::uint64_t seed = 1;
    std::size_t instances = 7;
    // Probabilities that a message is lost or delivered twice.
    double message_loss = 0;
    double message_duplicates = 0;
    // Maximum additional delay of a message, in seconds. Different delays reorder messages.
    double message_jitter = 0.001;
    // Probability that a response of the store is lost although the operation takes effect.
    double lost_store_responses = 0;
    // Maximum difference between the clock rates of two instances, as a fraction.
    double clock_error = 0;
    share_manager_settings manager;
};

// Requests of one limit. Admitted requests that first waited for a token are counted as admitted_after_wait
// too.
struct arrival_counts {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t admitted_after_wait = 0;
};

struct simulated_node {
    std::size_t index = 0;
    std::string instance;
    std::uint64_t incarnation = 0;
    membership::member record;
    std::uint64_t record_revision = 0;
    // Rate of the clock of this instance relative to virtual time.
    double clock_rate = 1;
    bool is_running = false;
    bool is_paused = false;
    bool is_leaving = false;
    std::unique_ptr<share_manager> manager;
    // Work that is run when the pause ends.
    std::vector<std::function<void()>> deferred_work;
    // Why this instance dropped its shares, one entry for each time.
    std::vector<drop_reason> drops;
    core::instant next_renewal;
    core::instant next_keepalive;
    core::instant next_heartbeat;
};

} // namespace quetzalspan::allowance::testing
