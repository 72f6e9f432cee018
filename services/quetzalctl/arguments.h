// Checks the command line before Abseil parses it, which would end the process with its own exit code.

#pragma once

#include <string>
#include <vector>

namespace quetzalspan::quetzalctl
{

struct checked_arguments {
    // The arguments with repeated list flags joined into one.
    std::vector<std::string> values;
    // What is wrong, or empty.
    std::string error;
    bool wants_help = false;
};

// The list flags may be given several times; their values are joined by commas.
checked_arguments check_arguments(const std::vector<std::string>& command_line,
                                  const std::vector<std::string>& list_flags);

} // namespace quetzalspan::quetzalctl
