// The cases of the third review that are scripts, and what they share.

#pragma once

#include "fleet.h"

namespace lab
{

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// Waits until the record's time is reached.
void sleep_until(const record& log, std::int64_t milliseconds);
std::int64_t environment_number(const char* name, std::int64_t fallback);

// Runs the case and returns its exit code.
int silent_channels(record& log, const std::string& folder, bool has_trouble);

} // namespace lab
