// Assertions that stay enabled in release builds.

#pragma once

#include <boost/assert/source_location.hpp>

namespace quetzalspan::core
{

// Writes the message to standard error and aborts the process if the condition is false. It is for broken
// invariants of this program only; invalid input is reported by findings or exceptions.
void check(bool condition, const char* message, boost::source_location location = BOOST_CURRENT_LOCATION);

// Writes the message to standard error and aborts the process. For branches that are never taken unless an
// invariant is broken.
[[noreturn]] void unreachable(const char* message, boost::source_location location = BOOST_CURRENT_LOCATION);

} // namespace quetzalspan::core
