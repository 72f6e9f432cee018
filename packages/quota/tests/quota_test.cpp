// Tests of fleet-wide rate limits: shares, demand reports, granted tokens and the token bucket.

#include "quota/demand_collector.h"
#include "quota/fleet_quota.h"
#include "quota/retry_after.h"
#include "quota/shared_reserve.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

using namespace quetzalspan;
using namespace quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));

// The bound that users require: at most 10 % plus 20 requests above the limit in any window of 5 s.
quota_options make_quota_options()
{
    quota_options options;
    options.tolerated_excess_fraction = 0.1;
    options.tolerated_excess_requests = 20;
    return options;
}

// Returns the most requests that this bound permits in a window.
double max_admitted_in_window(double rate, double burst)
{
    return (rate * 5 + burst) * 1.1 + 20;
}

// Simulates instances that exchange demand reports in virtual time.
class simulated_fleet
{
public:
    explicit simulated_fleet(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_names.push_back("i" + std::to_string(index));
            m_quotas.push_back(nullptr);
            m_reserves.push_back(nullptr);
            m_collectors.emplace_back(milliseconds(1500));
        }
        for (std::size_t index = 0; index < size; ++index) {
            restart(index, start);
        }
    }

    void restart(std::size_t index, core::instant now)
    {
        quota_options options = make_quota_options();
        options.first_report_sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
        m_quotas[index] = std::make_unique<fleet_quota>(options);
        m_quotas[index]->set_limits({{"hat", m_rate, m_burst}}, now);
        m_quotas[index]->set_fleet_size(m_names.size(), now);
        m_collectors[index] = demand_collector(milliseconds(1500));
        m_reserves[index] = std::make_unique<grantable_reserve>(options);
        m_reserves[index]->set_limits({{"hat", m_rate, m_burst}}, now);
        m_reserves[index]->set_fleet_size(m_names.size(), now);
        set_granters(m_primary, m_secondary, now);
    }

    // Tells every instance which ones grant tokens.
    void set_granters(std::size_t primary, std::size_t secondary, core::instant now)
    {
        m_primary = primary;
        m_secondary = secondary;
        for (std::size_t index = 0; index < m_reserves.size(); ++index) {
            if (m_reserves[index] != nullptr) {
                m_reserves[index]->set_role("hat", role_of(index), now);
            }
        }
    }

    // Takes a token from the reserve of the instance, in the role that it has.
    bool grant(std::size_t index, core::instant now)
    {
        return m_reserves[index]->grant("hat", now).is_admitted;
    }

    // Makes the instance the primary granter in its own view alone.
    void take_over(std::size_t index, core::instant now)
    {
        m_reserves[index]->set_role("hat", granter_role::primary, now);
    }

    // Sends one round of reports and sums. The first two instances are collectors. A disconnected instance
    // neither sends nor receives.
    void exchange(core::instant now, const std::vector<bool>& disconnected)
    {
        std::vector<demand_report> reports;
        for (const std::unique_ptr<fleet_quota>& entry : m_quotas) {
            reports.push_back(entry->make_report(now));
        }
        for (std::size_t collector = 0; collector < 2; ++collector) {
            // The sums are sent before the reports of this round arrive, so they include those of earlier
            // rounds only.
            send_sums(collector, reports[collector], now, disconnected);
            for (std::size_t sender = 0; sender < m_quotas.size(); ++sender) {
                if (sender != collector && !disconnected[sender] && !disconnected[collector]) {
                    m_collectors[collector].record(m_names[sender], reports[sender], now);
                }
            }
        }
    }

    void rebalance(core::instant now)
    {
        for (const std::unique_ptr<fleet_quota>& entry : m_quotas) {
            entry->rebalance(now);
        }
    }

    void set_limit(double rate, double burst, core::instant now)
    {
        m_rate = rate;
        m_burst = burst;
        for (const std::unique_ptr<fleet_quota>& entry : m_quotas) {
            entry->set_limits({{"hat", rate, burst}}, now);
        }
        for (const std::unique_ptr<grantable_reserve>& entry : m_reserves) {
            entry->set_limits({{"hat", rate, burst}}, now);
        }
    }

    // Takes a token from the instance's own bucket or else asks the first collector that can be reached. If
    // the answer of the first collector is lost, the second one is asked.
    bool admit(std::size_t index, core::instant now, const std::vector<bool>& disconnected = {},
               bool is_answer_lost = false)
    {
        if (m_quotas[index]->admit("hat", now).is_admitted) {
            return true;
        }
        for (const std::size_t collector : {0U, 1U}) {
            const bool is_reachable = collector == index || disconnected.empty() ||
                                      (!disconnected[index] && !disconnected[collector]);
            if (is_reachable) {
                if (is_answer_lost && collector == 0) {
                    continue;
                }
                return grant(collector, now);
            }
        }
        return false;
    }

private:
    void send_sums(std::size_t collector, const demand_report& own, core::instant now,
                   const std::vector<bool>& disconnected)
    {
        demand_collector& collected = m_collectors[collector];
        collected.expire(now);
        m_quotas[collector]->record_sums(m_names[collector], collected.sums_for(m_names[collector], own),
                                         now);
        for (std::size_t receiver = 0; receiver < m_quotas.size(); ++receiver) {
            const std::vector<std::string> reporters = collected.reporters();
            const bool is_reporter =
                std::find(reporters.begin(), reporters.end(), m_names[receiver]) != reporters.end();
            if (is_reporter && !disconnected[receiver] && !disconnected[collector]) {
                m_quotas[receiver]->record_sums(m_names[collector],
                                                collected.sums_for(m_names[receiver], own), now);
            }
        }
    }

    granter_role role_of(std::size_t index) const
    {
        if (index == m_primary) {
            return granter_role::primary;
        }
        return index == m_secondary ? granter_role::secondary : granter_role::none;
    }

    double m_rate = 60;
    double m_burst = 60;
    std::size_t m_primary = 0;
    std::size_t m_secondary = 1;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<fleet_quota>> m_quotas;
    std::vector<demand_collector> m_collectors;
    std::vector<std::unique_ptr<grantable_reserve>> m_reserves;
};

struct sliding_window_counter {
    std::deque<core::instant> admission_times;
    std::size_t max_admitted = 0;

    void add(core::instant now)
    {
        admission_times.push_back(now);
        while (now - admission_times.front() > seconds(5)) {
            admission_times.pop_front();
        }
        max_admitted = std::max(max_admitted, admission_times.size());
    }
};

} // namespace

TEST_GROUP(quota){};

// Guards against shares that sum to more than the limit, for any demands and any number of instances that do
// not report.
TEST(quota, shares_never_sum_to_more_than_the_limit)
{
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        const std::size_t size = 1 + random() % 12;
        const std::size_t silent_count = random() % size;
        std::vector<double> demands;
        for (std::size_t index = 0; index < size - silent_count; ++index) {
            demands.push_back(static_cast<double>(random() % 100));
        }
        double sum = static_cast<double>(silent_count) / static_cast<double>(size);
        for (std::size_t own = 0; own < demands.size(); ++own) {
            const double all = std::accumulate(demands.begin(), demands.end(), 0.0);
            sum += compute_instance_share(demands[own], all - demands[own], demands.size(), size, 0.3);
        }
        CHECK(sum <= 1.0 + 1e-9);
        CHECK(sum >= 1.0 - 1e-9);
    }
}

// Guards against a workspace that exceeds its limit when it sends many times its rate while demand moves
// between instances, messages are lost, instances restart one by one and all at once, and one instance is
// disconnected.
TEST(quota, no_window_exceeds_the_bound_during_failures)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937 random(seed);
        simulated_fleet instances(7);
        sliding_window_counter window;
        std::vector<bool> disconnected(7, false);
        for (int step = 0; step < 60 * 100; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                disconnected.assign(7, false);
                disconnected[random() % 7] = random() % 3 == 0;
                instances.exchange(now, disconnected);
            }
            if (step % 20 == 0) {
                instances.rebalance(now);
            }
            if (step % 500 == 499) {
                instances.restart(random() % 7, now);
            }
            if (step == 3000) {
                for (std::size_t index = 0; index < 7; ++index) {
                    instances.restart(index, now);
                }
            }
            // 300 requests per second against a rate of 60, most of them at one instance, which changes
            // every 7 s.
            for (int request = 0; request < 3; ++request) {
                const std::size_t hot_instance = static_cast<std::size_t>(step / 700) % 7;
                const std::size_t target = random() % 3 == 0 ? random() % 7 : hot_instance;
                if (instances.admit(target, now, disconnected)) {
                    window.add(now);
                }
            }
        }
        CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(60, 60));
    }
}

// Guards against two collectors that both grant the whole reserve because answers of the first one are lost
// or late.
TEST(quota, no_window_exceeds_the_bound_while_grant_answers_are_lost)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937 random(seed);
        simulated_fleet instances(7);
        sliding_window_counter window;
        const std::vector<bool> none_disconnected(7, false);
        for (int step = 0; step < 30 * 100; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                instances.exchange(now, none_disconnected);
            }
            if (step % 20 == 0) {
                instances.rebalance(now);
            }
            const bool is_losing_answers = step > 1000;
            // 400 requests per second against a rate of 60. Four of the seven instances receive no answers
            // from the first collector.
            for (int request = 0; request < 4; ++request) {
                const std::size_t target = random() % 7;
                if (instances.admit(target, now, none_disconnected, is_losing_answers && target % 2 == 0)) {
                    window.add(now);
                }
            }
        }
        CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(60, 60));
    }
}

// Guards against a limit that is not enforced within one window after it was lowered far below the demand.
TEST(quota, a_lowered_limit_is_enforced_within_one_window)
{
    simulated_fleet instances(7);
    sliding_window_counter window;
    const std::vector<bool> none_disconnected(7, false);
    for (int step = 0; step < 3000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        if (step % 50 == 0) {
            instances.exchange(now, none_disconnected);
            instances.rebalance(now);
        }
        if (step == 1000) {
            instances.set_limit(5, 5, now);
        }
        const bool is_admitted = instances.admit(static_cast<std::size_t>(step) % 7, now);
        if (is_admitted && step >= 1000) {
            window.add(now);
        }
    }
    CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(5, 5));
}

// Guards against rejections of a workspace that stays within its rate while its requests move between
// instances.
TEST(quota, shares_follow_the_demand)
{
    simulated_fleet instances(7);
    const std::vector<bool> none_disconnected(7, false);
    int offered = 0;
    int rejected = 0;
    for (int step = 0; step < 6000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        if (step % 50 == 0) {
            instances.exchange(now, none_disconnected);
        }
        if (step % 20 == 0) {
            instances.rebalance(now);
        }
        // 37.5 requests per second against a rate of 60, four fifths of them at two of the seven instances.
        if (step % 8 < 3 && step > 500) {
            ++offered;
            const std::size_t target =
                step % 5 == 0 ? static_cast<std::size_t>(step) % 7 : static_cast<std::size_t>(step) % 2;
            rejected += instances.admit(target, now) ? 0 : 1;
        }
    }
    CHECK(offered > 1500);
    CHECK(rejected * 100 <= offered);
}

// Guards against sums that omit an instance, count one twice, or include one whose report has expired.
TEST(quota, a_collector_sums_the_unexpired_reports)
{
    demand_collector collector(seconds(1));
    CHECK_TRUE(collector.record("a", {5, {{"hat", 2.0}}}, start));
    CHECK_TRUE(collector.record("b", {9, {{"hat", 3.0}, {"cap", 1.0}}}, start));
    CHECK_FALSE(collector.record("b", {9, {{"hat", 30.0}}}, start));
    CHECK_FALSE(collector.record("b", {8, {{"hat", 30.0}}}, start));
    const demand_report own{4, {{"cap", 0.5}}};
    const demand_sums sums = collector.sums_for("b", own);
    UNSIGNED_LONGS_EQUAL(3, sums.reporter_count);
    UNSIGNED_LONGS_EQUAL(9, sums.acknowledged_sequence);
    DOUBLES_EQUAL(5.0, sums.rates.at("hat"), 1e-9);
    DOUBLES_EQUAL(1.5, sums.rates.at("cap"), 1e-9);
    UNSIGNED_LONGS_EQUAL(4, collector.sums_for("collector", own).acknowledged_sequence);

    CHECK_TRUE(collector.record("a", {6, {}}, start + milliseconds(900)));
    collector.expire(start + milliseconds(1100));
    UNSIGNED_LONGS_EQUAL(2, collector.sums_for("a", own).reporter_count);
}

// Guards against the use of sums whose own rates are unknown, such as those that acknowledge a report from
// before a restart, and of sums from the collector that fewer instances report to.
TEST(quota, sums_without_an_own_report_are_ignored)
{
    fleet_quota limits(make_quota_options());
    limits.set_limits({{"hat", 100, 100}}, start);
    limits.set_fleet_size(4, start);
    const demand_report report = limits.make_report(start);
    limits.record_sums("c1", {report.sequence + 7, 4, {{"hat", 90.0}}}, start);
    limits.rebalance(start);
    DOUBLES_EQUAL(0.25, limits.admit("hat", start).share, 1e-9);
    limits.record_sums("c1", {report.sequence, 4, {{"hat", 90.0}}}, start);
    limits.record_sums("c2", {report.sequence, 2, {{"hat", 0.0}}}, start);
    limits.rebalance(start);
    CHECK(limits.admit("hat", start).share < 0.1);
    limits.rebalance(start + seconds(3));
    DOUBLES_EQUAL(0.25, limits.admit("hat", start + seconds(3)).share, 1e-9);
}

// Guards against rejections of a workspace with a low rate whose requests are spread over so many instances
// that they do not match the shares.
TEST(quota, a_small_workspace_on_many_instances_is_served)
{
    for (const std::size_t size : {36U, 300U}) {
        simulated_fleet instances(size);
        instances.set_limit(20, 20, start);
        const std::vector<bool> none_disconnected(size, false);
        std::mt19937 random(3);
        int offered = 0;
        int rejected = 0;
        sliding_window_counter window;
        for (int step = 0; step < 4000; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                instances.exchange(now, none_disconnected);
            }
            if (step % 20 == 0) {
                instances.rebalance(now);
            }
            // 12.5 requests per second against a rate of 20, at random times.
            if (step > 500 && random() % 1000 < 125) {
                ++offered;
                const bool is_admitted = instances.admit(random() % size, now);
                rejected += is_admitted ? 0 : 1;
                if (is_admitted) {
                    window.add(now);
                }
            }
        }
        CHECK(offered > 350);
        CHECK(rejected * 100 <= offered);
        CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(20, 20));
    }
}

// Guards against a workspace that is granted its limit twice while its granter changes: instances learn of
// the change at different times, so for up to a second some ask the previous granter and some the new one.
// The workspace asks for five times its rate, and every instance in turn becomes the granter, as in a rolling
// restart.
TEST(quota, no_window_exceeds_the_bound_while_granters_change)
{
    constexpr std::size_t size = 119;
    constexpr int steps_between_changes = 300;
    constexpr int steps_until_all_know = 100;
    simulated_fleet instances(size);
    instances.set_limit(40, 40, start);
    sliding_window_counter window;
    std::size_t granter = 0;
    for (int step = 0; step < 6000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        const int since_change = step % steps_between_changes;
        const bool is_changing = step >= steps_between_changes && since_change < steps_until_all_know;
        if (is_changing && since_change == 0) {
            instances.take_over(granter + 1, now);
        }
        if (step >= steps_between_changes && since_change == steps_until_all_know) {
            ++granter;
            instances.set_granters(granter, granter + 1, now);
        }
        // Two requests in each step: while the views differ, one asks the previous and one the new granter.
        for (const std::size_t asked : {granter, is_changing ? granter + 1 : granter}) {
            if (instances.grant(asked, now)) {
                window.add(now);
            }
        }
    }
    CHECK(window.max_admitted > 100);
    CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(40, 40));
}

// Guards against demand reports that grow with the number of workspaces: reports and sums of 190 workspaces
// filled the links of 119 instances, and the lost messages made instances look silent.
TEST(quota, only_limits_that_are_partitioned_are_reported)
{
    fleet_quota limits(make_quota_options());
    std::vector<workspace_limit> all;
    for (int index = 0; index < 190; ++index) {
        const double rate = index < 5 ? 200 : 20;
        all.push_back({"w" + std::to_string(index), rate, rate});
    }
    limits.set_limits(all, start);
    limits.set_fleet_size(119, start);
    for (const workspace_limit& entry : all) {
        limits.admit(entry.workspace, start + seconds(1));
    }
    CHECK_EQUAL(5U, limits.make_report(start + seconds(1)).rates.size());
}

// Guards against rejected callers that come back at once or all at the same time, while the workspace asks
// for many times its limit.
TEST(quota, the_wait_after_a_rejection_grows_with_the_rejections_and_is_spread)
{
    const core::duration calm = compute_retry_after(milliseconds(50), 1.0, 0);
    const core::duration busy = compute_retry_after(milliseconds(50), 0.5, 0);
    const core::duration overloaded = compute_retry_after(milliseconds(50), 0.1, 0);
    CHECK(calm >= milliseconds(50) && calm <= milliseconds(100));
    CHECK(busy > calm);
    CHECK(overloaded >= milliseconds(900) && overloaded <= seconds(1));
    CHECK(compute_retry_after(milliseconds(50), 0.1, 1) * 2 == overloaded);
    CHECK(compute_retry_after(milliseconds(0), 1.0, 1) >= milliseconds(40));
    CHECK(compute_retry_after(milliseconds(0), 0.0, 0) <= seconds(1));
}

// Guards against the burst of instances that come back: while 42 of 119 instances were cut off and their
// leases had lapsed, the others divided the whole limit and chose another granter. On their return the former
// granter and the others still held the tokens of their former shares, and a workspace that sent eight times
// its rate exceeded its limit.
TEST(quota, no_window_exceeds_the_bound_when_instances_that_were_cut_off_return)
{
    constexpr std::size_t size = 119;
    constexpr std::size_t cut = 42;
    constexpr double rate = 700;
    constexpr int cut_step = 100;
    constexpr int lapse_step = 500;
    constexpr int hot_step = 950;
    constexpr int return_step = 1300;
    // By then all know that the instances are back.
    constexpr int settled_step = 1400;
    const quota_options options = make_quota_options();
    std::vector<std::unique_ptr<fleet_quota>> instances;
    std::vector<std::unique_ptr<grantable_reserve>> granters;
    for (std::size_t index = 0; index < size; ++index) {
        instances.push_back(std::make_unique<fleet_quota>(options));
        instances.back()->set_limits({{"hat", rate, rate}}, start);
        instances.back()->set_fleet_size(size, start);
    }
    for (const granter_role role : {granter_role::primary, granter_role::none, granter_role::secondary}) {
        granters.push_back(std::make_unique<grantable_reserve>(options));
        granters.back()->set_limits({{"hat", rate, rate}}, start);
        granters.back()->set_fleet_size(size, start);
        granters.back()->set_role("hat", role, start);
    }
    sliding_window_counter window;
    for (int step = 0; step < 2000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        if (step == lapse_step || step == settled_step) {
            for (std::size_t index = cut; index < size; ++index) {
                instances[index]->set_fleet_size(step == lapse_step ? size - cut : size, now);
            }
            granters[1]->set_role("hat", step == lapse_step ? granter_role::primary : granter_role::none,
                                  now);
        }
        if (step == return_step) {
            for (std::size_t index = 0; index < cut; ++index) {
                instances[index]->discard_tokens(now);
            }
            granters[0]->discard_tokens(now);
        }
        // Eight times the rate. Instances that are cut off admit nothing; while the views differ, half of the
        // instances ask each granter. An eighth of the answers is lost, and the second granter asked.
        const bool is_cut = step >= cut_step && step < return_step;
        for (int request = 0; step >= hot_step && request < 56; ++request) {
            const std::size_t target = static_cast<std::size_t>(step * 56 + request) % size;
            if (is_cut && target < cut) {
                continue;
            }
            const std::size_t first = is_cut ? 1 : step >= settled_step ? 0 : target % 2;
            const std::size_t asked = request % 8 == 0 ? 2 : first;
            const bool is_granted = instances[target]->admit("hat", now).is_admitted ||
                                    granters[asked]->grant("hat", now).is_admitted;
            if (is_granted) {
                window.add(now);
            }
        }
    }
    CHECK(window.max_admitted > 3500);
    CHECK(static_cast<double>(window.max_admitted) <= max_admitted_in_window(rate, rate));
}

// Guards against an instance that admits its burst a second time after a restart.
TEST(quota, a_bucket_starts_empty)
{
    token_bucket bucket(start);
    bucket.set_rate_and_burst(10, 100, start);
    CHECK_FALSE(bucket.try_take(start));
    CHECK(bucket.time_until_next_token(start) == milliseconds(100));
    CHECK_TRUE(bucket.try_take(start + milliseconds(101)));
    bucket.set_rate_and_burst(0, 0, start + seconds(2));
    CHECK(bucket.time_until_next_token(start + seconds(2)) == core::duration::max());
}

// Guards against rejections of a workspace that has no limit.
TEST(quota, a_workspace_without_a_limit_is_always_admitted)
{
    fleet_quota limits(make_quota_options());
    limits.set_limits({{"open", 0, 0}}, start);
    CHECK_TRUE(limits.admit("open", start).is_admitted);
    CHECK_TRUE(limits.admit("unknown", start).is_admitted);
}
