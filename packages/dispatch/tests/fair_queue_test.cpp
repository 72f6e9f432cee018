// Tests of the fair queue with simulated time: weights, costs, length limits, deadlines and returned entries.

#include "dispatch/fair_queue.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using dispatch::failure;
using dispatch::fair_queue;

namespace
{

core::instant at(int milliseconds)
{
    return core::instant(std::chrono::milliseconds(milliseconds));
}

} // namespace

TEST_GROUP(fair_queue)
{
    dispatch::fair_queue_options options;

    std::optional<failure> push(fair_queue & queue, const char* workspace, std::uint64_t id,
                                int deadline = 1000, std::uint64_t cost = 1)
    {
        return queue.push(workspace, {id, cost, at(deadline)}, at(0), core::duration(0));
    }
};

// Guards against a workspace that gets more service than its weight allows by sending more requests.
TEST(fair_queue, service_is_proportional_to_weight)
{
    fair_queue queue(options);
    queue.set_weight("large", 3);
    for (std::uint64_t id = 0; id < 100; ++id) {
        push(queue, "noisy", id);
        push(queue, "large", 1000 + id);
    }
    push(queue, "small", 2000);
    std::uint64_t large = 0;
    std::uint64_t position_of_small = 0;
    for (std::uint64_t turn = 1; turn <= 81; ++turn) {
        const std::uint64_t id = *queue.pop(at(1));
        large += id >= 1000 && id < 2000 ? 1 : 0;
        position_of_small = id == 2000 ? turn : position_of_small;
    }
    LONGS_EQUAL(60, large);
    LONGS_EQUAL(5, position_of_small);
}

// Guards against entries of high cost that get more than the fair share of their workspace, or are never
// served.
TEST(fair_queue, costs_are_charged_to_the_deficit)
{
    fair_queue queue(options);
    for (std::uint64_t id = 0; id < 10; ++id) {
        push(queue, "costly", id, 1000, 4);
        push(queue, "cheap", 100 + id);
    }
    // An entry of cost 4 needs the work of four turns of weight 1. Its workspace came first, so only three
    // cheap entries are served before its first entry.
    for (const std::uint64_t expected : {3U, 4U}) {
        std::uint64_t cheap = 0;
        while (*queue.pop(at(1)) >= 100) {
            ++cheap;
        }
        LONGS_EQUAL(expected, cheap);
    }
}

// Guards against unbounded memory use, and against one workspace that fills the whole queue.
TEST(fair_queue, lengths_are_bounded)
{
    options.max_entries_per_workspace = 2;
    options.max_entries = 3;
    fair_queue queue(options);
    CHECK_FALSE(push(queue, "a", 1).has_value());
    CHECK_FALSE(push(queue, "a", 2).has_value());
    CHECK(push(queue, "a", 3) == failure::queue_full);
    CHECK_FALSE(push(queue, "b", 4).has_value());
    CHECK(push(queue, "c", 5) == failure::queue_full);
    CHECK(queue.cancel(1));
    CHECK_FALSE(queue.cancel(1));
    CHECK_FALSE(push(queue, "c", 5).has_value());
}

// Guards against a request that is queued although it cannot be served by its deadline, and against one that
// is dispatched after its deadline.
TEST(fair_queue, expired_entries_are_not_dispatched)
{
    fair_queue queue(options);
    CHECK(push(queue, "a", 1, 0) == failure::deadline_unreachable);
    CHECK(queue.push("a", {2, 1, at(50)}, at(0), std::chrono::milliseconds(51)) ==
          failure::deadline_unreachable);
    push(queue, "a", 3, 10);
    push(queue, "a", 4, 20);
    push(queue, "b", 5, 10);
    CHECK(queue.next_deadline() == at(10));
    CHECK(queue.pop(at(10)) == 4U);
    const std::vector<fair_queue::identifier> expired = queue.take_expired(at(10));
    LONGS_EQUAL(2, expired.size());
    CHECK(queue.is_empty());
    CHECK_FALSE(queue.pop(at(10)).has_value());
}

// Guards against a request that loses its position, or a workspace that loses its turn, because no endpoint
// was free when the request was selected.
TEST(fair_queue, entry_put_back_is_served_next_and_not_charged)
{
    fair_queue queue(options);
    push(queue, "first", 1);
    push(queue, "first", 2);
    push(queue, "second", 3);
    for (int attempt = 0; attempt < 5; ++attempt) {
        const std::uint64_t id = *queue.pop(at(1));
        LONGS_EQUAL(1, id);
        queue.put_back("first", {id, 1, at(1000)});
    }
    LONGS_EQUAL(1, *queue.pop(at(1)));
    LONGS_EQUAL(3, *queue.pop(at(1)));
    LONGS_EQUAL(2, *queue.pop(at(1)));
    CHECK_FALSE(queue.pop(at(1)).has_value());
}
