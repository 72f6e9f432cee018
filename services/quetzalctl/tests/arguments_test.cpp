// Tests of the checks on the flags of the command line.

#include "quetzalctl/arguments.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

ABSL_FLAG(std::vector<std::string>, test_list, {}, "a list flag");
ABSL_FLAG(absl::Duration, test_time, absl::Seconds(1), "a duration");
ABSL_FLAG(bool, test_switch, false, "a switch");

// CppUTest redefines new, so its header comes after those of the libraries and the flag definitions.
#include <CppUTest/TestHarness.h>

using namespace quetzalspan;

TEST_GROUP(arguments){};

// Guards against invalid flags that reach Abseil, which ends the process with its own exit code, and against
// repeated list flags of which only the last one counts.
TEST(arguments, errors_are_found_and_list_flags_are_joined)
{
    struct argument_case {
        std::vector<std::string> command_line;
        const char* error;
        const char* expected;
    };
    const std::vector<argument_case> cases{
        {{"p", "wait", "7"}, "", "p wait 7"},
        {{"p", "--test_list=a,b", "wait", "--test_list", "c"}, "", "p wait --test_list=a,b,c"},
        {{"p", "-test_switch", "wait", "--notest_switch"}, "", "p --test_switch wait --notest_switch"},
        {{"p", "--test_time", "5s"}, "", "p --test_time=5s"},
        {{"p", "--test_time"}, "flag --test_time needs a value", ""},
        {{"p", "--other"}, "unknown flag --other", ""},
        {{"p", "--notest_time"}, "unknown flag --notest_time", ""},
        {{"p", "--notest_switch=true"}, "unknown flag --notest_switch", ""},
    };
    for (const argument_case& entry : cases) {
        const quetzalctl::checked_arguments result =
            quetzalctl::check_arguments(entry.command_line, {"test_list"});
        STRCMP_EQUAL(entry.error, result.error.c_str());
        if (result.error.empty()) {
            STRCMP_EQUAL(entry.expected, absl::StrJoin(result.values, " ").c_str());
        }
    }
    CHECK_TRUE(quetzalctl::check_arguments({"p", "--test_time=x"}, {}).error.starts_with("bad value"));
    CHECK_TRUE(quetzalctl::check_arguments({"p", "--help"}, {}).wants_help);
}
