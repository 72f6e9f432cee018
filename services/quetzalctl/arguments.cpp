// Looks up each flag with Abseil's flag reflection, parses its value and joins list flags.

#include "quetzalctl/arguments.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <map>
#include <optional>

namespace quetzalspan::quetzalctl
{

namespace
{

// A flag as given on the command line. Without "=" it has no value; the value may be the next argument.
struct flag_argument {
    std::string name;
    std::optional<std::string> value;
};

flag_argument split_flag(const std::string& argument)
{
    const std::size_t begin = argument.starts_with("--") ? 2 : 1;
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos) {
        return {argument.substr(begin), std::nullopt};
    }
    return {argument.substr(begin, equals - begin), argument.substr(equals + 1)};
}

// Returns the error of the flag, or an empty text if it is valid.
std::string flag_error(const flag_argument& flag)
{
    absl::CommandLineFlag* found = absl::FindCommandLineFlag(flag.name);
    if (found == nullptr && flag.name.starts_with("no")) {
        found = absl::FindCommandLineFlag(flag.name.substr(2));
        if (found != nullptr && found->IsOfType<bool>() && !flag.value) {
            return {};
        }
        found = nullptr;
    }
    if (found == nullptr) {
        return "unknown flag --" + flag.name;
    }
    if (!flag.value) {
        return found->IsOfType<bool>() ? "" : "flag --" + flag.name + " needs a value";
    }
    std::string error;
    if (!found->ParseFrom(*flag.value, &error)) {
        return "bad value of flag --" + flag.name + (error.empty() ? "" : ": " + error);
    }
    return {};
}

bool takes_next_argument(const flag_argument& flag)
{
    const absl::CommandLineFlag* found = absl::FindCommandLineFlag(flag.name);
    return found != nullptr && !flag.value && !found->IsOfType<bool>();
}

} // namespace

checked_arguments check_arguments(const std::vector<std::string>& command_line,
                                  const std::vector<std::string>& list_flags)
{
    checked_arguments result;
    std::map<std::string, std::string> lists;
    for (std::size_t index = 0; index < command_line.size(); ++index) {
        const std::string& argument = command_line[index];
        const bool is_flag = index > 0 && argument.size() > 1 && argument.front() == '-';
        if (!is_flag) {
            result.values.push_back(argument);
            continue;
        }
        if (argument == "--help" || argument == "-h" || argument == "-help") {
            result.wants_help = true;
            continue;
        }
        flag_argument flag = split_flag(argument);
        if (takes_next_argument(flag) && index + 1 < command_line.size()) {
            ++index;
            flag.value = command_line[index];
        }
        const std::string error = flag_error(flag);
        if (!error.empty()) {
            result.error = error;
            return result;
        }
        if (std::find(list_flags.begin(), list_flags.end(), flag.name) != list_flags.end()) {
            std::string& joined = lists[flag.name];
            joined += (joined.empty() ? "" : ",") + flag.value.value_or("");
            continue;
        }
        result.values.push_back("--" + flag.name + (flag.value ? "=" + *flag.value : ""));
    }
    for (const auto& [name, joined] : lists) {
        result.values.push_back("--" + name + "=" + joined);
    }
    return result;
}

} // namespace quetzalspan::quetzalctl
