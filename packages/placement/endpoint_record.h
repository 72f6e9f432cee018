// Defines the record in which an endpoint describes itself, as the deployment's service discovery delivers
// it.

#pragma once

#include "core/name_table.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace quetzalspan::placement
{

enum class endpoint_phase { serving, draining };

inline constexpr core::name_table endpoint_phase_names{std::array<core::named_value<endpoint_phase>, 2>{{
    {endpoint_phase::serving, "serving"},
    {endpoint_phase::draining, "draining"},
}}};

struct endpoint_record {
    std::string id;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    std::string availability_zone;
    std::string region;
    // The number of requests that the endpoint processes concurrently; at least 1.
    std::uint32_t slots = 1;
    endpoint_phase phase = endpoint_phase::serving;
    // The time for which the endpoint stays cold after the record is written.
    core::duration remaining_cold_time{0};
    // Orders the starts of an endpoint that keeps its id: its start time in milliseconds since the Unix
    // epoch.
    std::uint64_t incarnation = 0;
    // Orders the records of one incarnation: a newer record has a higher sequence.
    std::uint64_t sequence = 0;
};

} // namespace quetzalspan::placement
