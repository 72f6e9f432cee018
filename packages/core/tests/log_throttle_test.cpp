// Tests the bound on log lines of one kind.

#include "core/log_throttle.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using std::chrono::milliseconds;

TEST_GROUP(log_throttle){};

// Guards against logs that take the processor time of requests: under overload, each of thousands of rejected
// requests a second wrote a line.
TEST(log_throttle, an_overload_writes_the_stated_number_of_lines_and_counts_the_rest)
{
    core::log_throttle throttle(50);
    std::uint64_t written = 0;
    std::uint64_t skipped = 0;
    // 2,000 lines a second for three seconds.
    for (int step = 0; step < 6000; ++step) {
        const core::instant now = core::instant() + step * std::chrono::microseconds(500);
        const std::optional<std::uint64_t> result = throttle.try_take(now);
        written += result ? 1U : 0U;
        skipped += result.value_or(0);
    }
    // The burst, and three seconds at the rate.
    CHECK(written >= 195 && written <= 200);
    // Every skipped line is reported by the next line that is written.
    const std::optional<std::uint64_t> last = throttle.try_take(core::instant() + std::chrono::seconds(10));
    CHECK(last.has_value());
    CHECK_EQUAL(6000U, written + skipped + *last);
}

// Guards against lines that are lost while there is no overload.
TEST(log_throttle, calm_lines_are_all_written)
{
    core::log_throttle throttle(50);
    for (int step = 0; step < 500; ++step) {
        const std::optional<std::uint64_t> result =
            throttle.try_take(core::instant() + step * milliseconds(25));
        CHECK(result.has_value());
        CHECK_EQUAL(0U, *result);
    }
}
