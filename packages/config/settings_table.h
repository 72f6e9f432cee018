// The table of all settings, with the name, member, bounds and meaning of each. Settings are read,
// overridden, checked and printed by iterating over it.

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

// Pointer to the member of settings that holds the value, with its type.
using setting_member =
    std::variant<std::string settings::*, std::uint16_t settings::*, std::uint32_t settings::*,
                 std::uint64_t settings::*, double settings::*, std::chrono::milliseconds settings::*,
                 std::vector<host_port> settings::*, idempotency_policy settings::*>;

struct setting_entry {
    std::string_view name;
    setting_member member;
    std::string_view description;
    // Inclusive bounds of numbers; those of durations in milliseconds. Not used for other types.
    double minimum = 0;
    double maximum = 0;
    bool is_required = false;
    bool is_secret = false;
};

// Returns all settings in the order in which they are printed.
std::span<const setting_entry> setting_entries();

// Returns nullptr if no setting has this name.
const setting_entry* find_setting(std::string_view name);

// Returns whether the setting holds a list.
bool is_list(const setting_entry& entry);

// Parses the texts, one for a scalar and any number for a list, and sets the member. Returns an empty string,
// or the reason why a text is invalid; the settings are then unchanged. The reason does not contain the text,
// which may be a secret.
std::string assign(settings& target, const setting_entry& entry, const std::vector<std::string>& texts);

// Returns the value in the form that an override has; empty if it is not set.
std::string value_text(const settings& source, const setting_entry& entry);

} // namespace quetzalspan::config
