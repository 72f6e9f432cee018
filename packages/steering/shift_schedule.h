// Planned shifts: the schedule by which a growing or shrinking fraction of a service's requests is moved from
// one region to others.

#pragma once

#include "config/model.h"
#include "core/time.h"
#include "steering/snapshot_indexes.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace quetzalspan::steering
{

// One planned shift: between `begin` and `end`, the fraction of requests that move to the region changes
// linearly from `begin_fraction` to `end_fraction`.
struct scheduled_shift {
    region_index to_region = 0;
    // From 0 to 1.
    double begin_fraction = 0;
    double end_fraction = 0;
    core::wall_time begin;
    core::wall_time end;
};

// The planned shifts of one service out of one region. The decision for a request depends only on the
// configuration, the time and the request's identifier, so that every instance makes the same one.
//
// For each target region the shift that began last is in force, and its end fraction stays in force after its
// end. No request is moved before the first shift begins.
class shift_schedule
{
public:
    shift_schedule() = default;
    explicit shift_schedule(std::vector<scheduled_shift> shifts);

    bool is_empty() const { return m_shifts.empty(); }

    // Returns the fraction of requests, from 0 to 1, that move to the region at this time.
    double fraction(region_index to_region, core::wall_time now) const;

    // Returns the region that a request moves to, or nothing if it is not moved. `request_hash` is the result
    // of hash_to_unit_interval() for the request. With a single target region, a request that is moved stays
    // moved while the fraction grows.
    std::optional<region_index> find_target_region(double request_hash, core::wall_time now) const;

private:
    // Sorted by target region, then by begin time.
    std::vector<scheduled_shift> m_shifts;
};

// Returns the hash of a request identifier, scaled to a number of at least 0 and below 1. The result is the
// same on all instances. Decisions that use different salts are independent of each other.
double hash_to_unit_interval(std::string_view request_id, std::uint64_t salt);

} // namespace quetzalspan::steering
