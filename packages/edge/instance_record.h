// The record that an instance keeps in the store so that the other instances discover it, and its JSON form.

#pragma once

#include "core/name_table.h"
#include "edge/instance_options.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalspan::edge
{

// Key prefix of instance records in the store. The name of the instance follows.
inline constexpr std::string_view instance_prefix = "quetzalspan/instances/";

enum class instance_phase { serving, leaving };

inline constexpr core::name_table instance_phase_names{std::array<core::named_value<instance_phase>, 2>{{
    {instance_phase::serving, "serving"},
    {instance_phase::leaving, "leaving"},
}}};

struct instance_record {
    std::string instance;
    std::string availability_zone;
    std::string region;
    socket_address caller_address;
    socket_address peer_address;
    instance_phase phase = instance_phase::serving;

    friend bool operator==(const instance_record&, const instance_record&) = default;
};

// Returns the record as compact JSON.
std::string to_text(const instance_record& record);

// Parses a record; the source names the text in errors. Throws core::findings_error if the text is not a
// valid record.
instance_record parse_instance_record(std::string_view text, const std::string& source);

} // namespace quetzalspan::edge
