// Checks the command line before Abseil parses it. On an error Abseil would end the process with an exit code
// of its own.

#pragma once

#include <string>
#include <vector>

namespace quetzalspan::quetzalctl
{

struct checked_arguments {
    // The arguments with the values of repeated list flags joined into one flag.
    std::vector<std::string> values;
    // Empty if the flags are valid.
    std::string error;
    // Whether a help flag was given.
    bool wants_help = false;
};

// Checks all flags against those that the program defines, up to the first error. The list flags may be given
// several times; their values are joined by commas.
checked_arguments check_arguments(const std::vector<std::string>& command_line,
                                  const std::vector<std::string>& list_flags);

} // namespace quetzalspan::quetzalctl
