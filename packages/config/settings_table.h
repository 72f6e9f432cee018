// The table of all settings: the name of each, its member, its bounds and what it means. Reading, overriding,
// checking and printing all run over it.

#pragma once

#include "config/settings.h"

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalspan::config
{

using setting_member =
    std::variant<std::string settings::*, std::uint16_t settings::*, std::uint32_t settings::*,
                 std::uint64_t settings::*, double settings::*, std::chrono::milliseconds settings::*,
                 std::vector<host_port> settings::*, idempotency_policy settings::*>;

struct setting_entry {
    std::string_view name;
    setting_member member;
    std::string_view description;
    // Bounds of numbers, both allowed. Durations are in milliseconds.
    double minimum = 0;
    double maximum = 0;
    bool is_required = false;
    bool is_secret = false;
};

std::span<const setting_entry> setting_entries();

// Returns nothing if no setting has this name.
const setting_entry* find_setting(std::string_view name);

// Whether the setting takes a list.
bool is_list(const setting_entry& entry);

// Sets the member from texts: one for scalars, any number for lists. Returns the reason if a text is
// refused, with the settings unchanged, or an empty string. The reason never contains the text.
std::string assign(settings& target, const setting_entry& entry, const std::vector<std::string>& texts);

// Returns the value as it would be written in an override.
std::string value_text(const settings& source, const setting_entry& entry);

} // namespace quetzalspan::config
