// Tests of share, the token accounting of one limit, and of share_table, which applies limit definitions to
// shares.

#include "allowance/scaling.h"
#include "allowance/share_table.h"

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::allowance;

namespace
{

core::instant time_at_ms(std::int64_t milliseconds)
{
    return core::instant(std::chrono::milliseconds(milliseconds));
}

limit_set make_limit_set(std::uint64_t revision, limit_kind kind, std::int64_t rate, std::int64_t burst)
{
    return {revision, {{"limit", kind, rate * micro_per_token, burst * micro_per_token, ""}}};
}

int take_all_tokens(share& source)
{
    int taken = 0;
    while (source.try_acquire(micro_per_token)) {
        ++taken;
    }
    return taken;
}

const share_table::change_callback ignore_limit_change = [](const std::string&, const amount*,
                                                            const amount*) {};

} // namespace

TEST_GROUP(share)
{
    share rate_share{limit_kind::rate};
    share permit_share{limit_kind::permits};
};

// Guards against a full bucket that is emptied just before an accrual and again just after it, so that a
// window shorter than the tick admits more than the burst.
TEST(share, a_short_window_across_an_accrual_admits_at_most_the_burst)
{
    rate_share.credit({100 * micro_per_token, 10 * micro_per_token, 10 * micro_per_token}, time_at_ms(0));
    rate_share.accrue(time_at_ms(1000));
    int taken = take_all_tokens(rate_share);
    rate_share.accrue(time_at_ms(1050));
    taken += take_all_tokens(rate_share);
    LONGS_EQUAL(10, taken);
    rate_share.accrue(time_at_ms(1060));
    LONGS_EQUAL(1, take_all_tokens(rate_share));
}

// Guards against accrual that discards fractions of a micro-token, so that the rate is not reached.
TEST(share, accrual_keeps_fractions)
{
    rate_share.credit({micro_per_token / 3, micro_per_token, 0}, time_at_ms(0));
    for (int step = 1; step <= 2999; ++step) {
        rate_share.accrue(time_at_ms(step));
    }
    CHECK_TRUE(rate_share.tokens_micro() >= 999'665 && rate_share.tokens_micro() <= 999'666);
}

// Guards against a transfer after which the tokens on either side exceed the burst there.
TEST(share, tokens_fit_the_burst_on_both_sides_of_a_transfer)
{
    rate_share.credit({10 * micro_per_token, 10 * micro_per_token, 8 * micro_per_token}, time_at_ms(0));
    const amount taken =
        rate_share.debit({5 * micro_per_token, 9 * micro_per_token, 3 * micro_per_token}, time_at_ms(0));
    LONGS_EQUAL(3 * micro_per_token, taken.tokens_micro);
    LONGS_EQUAL(5 * micro_per_token, taken.burst_micro);
    LONGS_EQUAL(5 * micro_per_token, rate_share.burst_micro());
    LONGS_EQUAL(5 * micro_per_token, rate_share.tokens_micro());
    const amount clamped_amount =
        rate_share.debit({99 * micro_per_token, micro_per_token, 99 * micro_per_token}, time_at_ms(0));
    LONGS_EQUAL(micro_per_token, clamped_amount.tokens_micro);
    LONGS_EQUAL(5 * micro_per_token, clamped_amount.rate_micro);
}

// Guards against a rate whose tokens can be put back: into a bucket that has filled meanwhile, they would let
// a later burst exceed the limit.
TEST(share, put_back_has_no_effect_on_a_rate)
{
    rate_share.credit({0, micro_per_token, micro_per_token}, time_at_ms(0));
    CHECK_TRUE(rate_share.try_acquire(micro_per_token));
    rate_share.release(micro_per_token);
    CHECK_FALSE(rate_share.try_acquire(micro_per_token));
}

// Guards against transfers of permits that are in use, and against permits that become free on their return
// although the limit was lowered below the number in use.
TEST(share, only_free_permits_move_and_a_lowered_limit_waits_for_those_in_use)
{
    permit_share.credit({0, 3 * micro_per_token, 0}, time_at_ms(0));
    CHECK_TRUE(permit_share.try_acquire(micro_per_token));
    CHECK_TRUE(permit_share.try_acquire(micro_per_token));
    LONGS_EQUAL(micro_per_token,
                permit_share.debit({0, 3 * micro_per_token, 3 * micro_per_token}, time_at_ms(0)).burst_micro);
    permit_share.rescale({0, 2 * micro_per_token, 0}, {0, micro_per_token, 0}, time_at_ms(0));
    permit_share.release(micro_per_token);
    CHECK_FALSE(permit_share.try_acquire(micro_per_token));
    permit_share.release(micro_per_token);
    LONGS_EQUAL(1, take_all_tokens(permit_share));
}

// Guards against lost updates between request threads, which would create or destroy permits.
TEST(share, concurrent_takers_never_exceed_the_permits)
{
    permit_share.credit({0, 3 * micro_per_token, 0}, time_at_ms(0));
    std::atomic<int> in_use{0};
    std::atomic<int> max_in_use{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int round = 0; round < 20000; ++round) {
                if (permit_share.try_acquire(micro_per_token)) {
                    const int current_in_use = ++in_use;
                    int max_seen = max_in_use.load();
                    while (current_in_use > max_seen &&
                           !max_in_use.compare_exchange_weak(max_seen, current_in_use)) {
                    }
                    --in_use;
                    permit_share.release(micro_per_token);
                }
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK_TRUE(max_in_use.load() <= 3);
    LONGS_EQUAL(3 * micro_per_token, permit_share.tokens_micro());
}

TEST_GROUP(share_table)
{
    share_table table;
};

// Guards against a share that is not scaled with its limit, and against tokens above a lowered burst.
TEST(share_table, shares_scale_with_the_limit_and_round_down)
{
    table.apply(make_limit_set(1, limit_kind::rate, 70, 35), time_at_ms(0), ignore_limit_change);
    share& limit_share = *table.find("limit")->value;
    limit_share.credit({10 * micro_per_token, 5 * micro_per_token, 5 * micro_per_token}, time_at_ms(0));
    table.apply(make_limit_set(2, limit_kind::rate, 30, 14), time_at_ms(0), ignore_limit_change);
    LONGS_EQUAL(10 * micro_per_token * 3 / 7, limit_share.rate_micro());
    LONGS_EQUAL(2 * micro_per_token, limit_share.burst_micro());
    LONGS_EQUAL(2 * micro_per_token, limit_share.tokens_micro());
    CHECK_FALSE(table.apply(make_limit_set(2, limit_kind::rate, 70, 35), time_at_ms(0), ignore_limit_change));
}

// Guards against a removed limit whose share still admits requests through a reference taken before, and
// against a limit that is added again with a share that is not empty.
TEST(share_table, a_removed_limit_admits_nothing_and_returns_empty)
{
    table.apply(make_limit_set(1, limit_kind::rate, 70, 35), time_at_ms(0), ignore_limit_change);
    const std::shared_ptr<share> old = table.find("limit")->value;
    old->credit({micro_per_token, micro_per_token, micro_per_token}, time_at_ms(0));
    table.apply({2, {}}, time_at_ms(0), ignore_limit_change);
    old->accrue(time_at_ms(5000));
    CHECK_FALSE(old->try_acquire(micro_per_token));
    table.apply(make_limit_set(3, limit_kind::rate, 70, 35), time_at_ms(0), ignore_limit_change);
    CHECK_TRUE(table.find("limit")->value->holding() == amount{});
}

// Guards against a slot that is used twice because its limit was removed and added again during a request.
TEST(share_table, permits_in_use_count_when_their_limit_returns)
{
    table.apply(make_limit_set(1, limit_kind::permits, 0, 3), time_at_ms(0), ignore_limit_change);
    const std::shared_ptr<share> limit_share = table.find("limit")->value;
    limit_share->credit({0, 2 * micro_per_token, 0}, time_at_ms(0));
    CHECK_TRUE(limit_share->try_acquire(micro_per_token));
    table.apply({2, {}}, time_at_ms(0), ignore_limit_change);
    CHECK_FALSE(limit_share->try_acquire(micro_per_token));
    table.apply(make_limit_set(3, limit_kind::permits, 0, 3), time_at_ms(0), ignore_limit_change);
    LONGS_EQUAL(micro_per_token, table.find("limit")->value->burst_micro());
    CHECK_FALSE(table.find("limit")->value->try_acquire(micro_per_token));
    limit_share->release(micro_per_token);
    CHECK_TRUE(table.find("limit")->value->try_acquire(micro_per_token));
}
