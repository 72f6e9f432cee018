// Tests of the fleet-wide limits.

#include "quota/demand_collector.h"
#include "quota/fleet_quota.h"
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

// The users' bounds: a tenth and 20 requests above the limit in any 5 seconds.
quota_options make_options()
{
    quota_options options;
    options.tolerated_share = 0.1;
    options.tolerated_requests = 20;
    return options;
}

double bound(double rate, double burst)
{
    return (rate * 5 + burst) * 1.1 + 20;
}

// Instances that exchange demand in virtual time.
class fleet
{
public:
    explicit fleet(std::size_t size)
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
        quota_options options = make_options();
        options.first_report = static_cast<std::uint64_t>(now.time_since_epoch().count());
        m_quotas[index] = std::make_unique<fleet_quota>(options);
        m_quotas[index]->set_limits({{"hat", m_rate, m_burst}}, now);
        m_quotas[index]->set_fleet_size(m_names.size(), now);
        m_collectors[index] = demand_collector(milliseconds(1500));
        m_reserves[index] = std::make_unique<shared_reserve>(options);
        m_reserves[index]->set_limits({{"hat", m_rate, m_burst}}, now);
        m_reserves[index]->set_fleet_size(m_names.size(), now);
    }

    // The first two instances collect. A cut instance neither sends nor receives.
    void exchange(core::instant now, const std::vector<bool>& cut)
    {
        std::vector<demand_report> reports;
        for (const std::unique_ptr<fleet_quota>& entry : m_quotas) {
            reports.push_back(entry->make_report(now));
        }
        for (std::size_t collector = 0; collector < 2; ++collector) {
            // What the collector knew before this round is what it sends; reports of the round come after.
            send_sums(collector, reports[collector], now, cut);
            for (std::size_t from = 0; from < m_quotas.size(); ++from) {
                if (from != collector && !cut[from] && !cut[collector]) {
                    m_collectors[collector].record(m_names[from], reports[from], now);
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
        for (const std::unique_ptr<shared_reserve>& entry : m_reserves) {
            entry->set_limits({{"hat", rate, burst}}, now);
        }
    }

    // Without an own token, the first collector that can be reached is asked. A lost answer leads to the
    // second one although the first has granted.
    bool admit(std::size_t index, core::instant now, const std::vector<bool>& cut = {},
               bool is_answer_lost = false)
    {
        if (m_quotas[index]->admit("hat", now).is_admitted) {
            return true;
        }
        for (const std::size_t collector : {0U, 1U}) {
            const bool is_reached = collector == index || cut.empty() || (!cut[index] && !cut[collector]);
            if (is_reached) {
                const granter_role role = collector == 0 ? granter_role::first : granter_role::second;
                if (is_answer_lost && collector == 0) {
                    continue;
                }
                return m_reserves[collector]->grant("hat", role, now).is_admitted;
            }
        }
        return false;
    }

private:
    void send_sums(std::size_t collector, const demand_report& own, core::instant now,
                   const std::vector<bool>& cut)
    {
        demand_collector& sums = m_collectors[collector];
        sums.expire(now);
        m_quotas[collector]->record_sums(m_names[collector], sums.sums_for(m_names[collector], own), now);
        for (std::size_t to = 0; to < m_quotas.size(); ++to) {
            const std::vector<std::string> reporters = sums.reporters();
            const bool is_reporter =
                std::find(reporters.begin(), reporters.end(), m_names[to]) != reporters.end();
            if (is_reporter && !cut[to] && !cut[collector]) {
                m_quotas[to]->record_sums(m_names[collector], sums.sums_for(m_names[to], own), now);
            }
        }
    }

    double m_rate = 60;
    double m_burst = 60;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<fleet_quota>> m_quotas;
    std::vector<demand_collector> m_collectors;
    std::vector<std::unique_ptr<shared_reserve>> m_reserves;
};

struct window_sum {
    std::deque<core::instant> admitted;
    std::size_t most = 0;

    void add(core::instant now)
    {
        admitted.push_back(now);
        while (now - admitted.front() > seconds(5)) {
            admitted.pop_front();
        }
        most = std::max(most, admitted.size());
    }
};

} // namespace

TEST_GROUP(quota){};

// Guards against shares that sum to more than the limit, whatever the demands are and whoever is not heard
// of.
TEST(quota, shares_never_sum_to_more_than_the_limit)
{
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        const std::size_t size = 1 + random() % 12;
        const std::size_t unheard = random() % size;
        std::vector<double> demands;
        for (std::size_t index = 0; index < size - unheard; ++index) {
            demands.push_back(static_cast<double>(random() % 100));
        }
        double sum = static_cast<double>(unheard) / static_cast<double>(size);
        for (std::size_t own = 0; own < demands.size(); ++own) {
            const double all = std::accumulate(demands.begin(), demands.end(), 0.0);
            sum += share_of_limit(demands[own], all - demands[own], demands.size(), size, 0.3);
        }
        CHECK(sum <= 1.0 + 1e-9);
        CHECK(sum >= 1.0 - 1e-9);
    }
}

// Guards against a workspace above its limit while it sends many times its rate, demand wanders between
// instances, messages are lost, instances restart one by one and all together, and one is cut off.
TEST(quota, no_window_exceeds_the_bound_under_failures)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937 random(seed);
        fleet instances(7);
        window_sum sum;
        std::vector<bool> cut(7, false);
        for (int step = 0; step < 60 * 100; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                cut.assign(7, false);
                cut[random() % 7] = random() % 3 == 0;
                instances.exchange(now, cut);
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
            // 300 requests a second against a rate of 60, most at two instances that change.
            for (int request = 0; request < 3; ++request) {
                const std::size_t favourite = static_cast<std::size_t>(step / 700) % 7;
                const std::size_t target = random() % 3 == 0 ? random() % 7 : favourite;
                if (instances.admit(target, now, cut)) {
                    sum.add(now);
                }
            }
        }
        CHECK(static_cast<double>(sum.most) <= bound(60, 60));
    }
}

// Guards against two collectors that both grant the whole reserve because answers of the first are lost or
// late.
TEST(quota, no_window_exceeds_the_bound_while_answers_are_lost)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937 random(seed);
        fleet instances(7);
        window_sum sum;
        const std::vector<bool> connected(7, false);
        for (int step = 0; step < 30 * 100; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                instances.exchange(now, connected);
            }
            if (step % 20 == 0) {
                instances.rebalance(now);
            }
            const bool is_lossy = step > 1000;
            // 400 requests a second against a rate of 60; half of the instances do not hear the first
            // collector.
            for (int request = 0; request < 4; ++request) {
                const std::size_t target = random() % 7;
                if (instances.admit(target, now, connected, is_lossy && target % 2 == 0)) {
                    sum.add(now);
                }
            }
        }
        CHECK(static_cast<double>(sum.most) <= bound(60, 60));
    }
}

// Guards against a limit that is lowered far below the demand and not enforced within one window.
TEST(quota, a_lowered_limit_binds_after_one_window)
{
    fleet instances(7);
    window_sum sum;
    const std::vector<bool> connected(7, false);
    for (int step = 0; step < 3000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        if (step % 50 == 0) {
            instances.exchange(now, connected);
            instances.rebalance(now);
        }
        if (step == 1000) {
            instances.set_limit(5, 5, now);
        }
        const bool is_admitted = instances.admit(static_cast<std::size_t>(step) % 7, now);
        if (is_admitted && step >= 1000) {
            sum.add(now);
        }
    }
    CHECK(static_cast<double>(sum.most) <= bound(5, 5));
}

// Guards against rejections of a workspace that keeps to its rate while its requests move between instances.
TEST(quota, shares_follow_the_demand)
{
    fleet instances(7);
    const std::vector<bool> connected(7, false);
    int offered = 0;
    int rejected = 0;
    for (int step = 0; step < 6000; ++step) {
        const core::instant now = start + milliseconds(10 * step);
        if (step % 50 == 0) {
            instances.exchange(now, connected);
        }
        if (step % 20 == 0) {
            instances.rebalance(now);
        }
        // 37 a second against a rate of 60, four fifths of them at two of seven instances.
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

// Guards against sums that miss an instance, count one twice, or keep one that is gone.
TEST(quota, a_collector_sums_the_reports_of_living_instances)
{
    demand_collector collector(seconds(1));
    CHECK_TRUE(collector.record("a", {5, {{"hat", 2.0}}}, start));
    CHECK_TRUE(collector.record("b", {9, {{"hat", 3.0}, {"cap", 1.0}}}, start));
    CHECK_FALSE(collector.record("b", {9, {{"hat", 30.0}}}, start));
    CHECK_FALSE(collector.record("b", {8, {{"hat", 30.0}}}, start));
    const demand_report own{4, {{"cap", 0.5}}};
    const demand_sums sums = collector.sums_for("b", own);
    UNSIGNED_LONGS_EQUAL(3, sums.reporters);
    UNSIGNED_LONGS_EQUAL(9, sums.acknowledged);
    DOUBLES_EQUAL(5.0, sums.rates.at("hat"), 1e-9);
    DOUBLES_EQUAL(1.5, sums.rates.at("cap"), 1e-9);
    UNSIGNED_LONGS_EQUAL(4, collector.sums_for("collector", own).acknowledged);

    CHECK_TRUE(collector.record("a", {6, {}}, start + milliseconds(900)));
    collector.expire(start + milliseconds(1100));
    UNSIGNED_LONGS_EQUAL(2, collector.sums_for("a", own).reporters);
}

// Guards against sums whose own part is unknown, such as those that answer an earlier start, and against sums
// of the collector that fewer instances reach.
TEST(quota, only_sums_that_contain_an_own_report_count)
{
    fleet_quota limits(make_options());
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

// Guards against rejections of a small workspace whose requests are spread so thinly over many instances that
// they keep to no share.
TEST(quota, a_small_workspace_on_many_instances_is_served)
{
    for (const std::size_t size : {36U, 300U}) {
        fleet instances(size);
        instances.set_limit(20, 20, start);
        const std::vector<bool> connected(size, false);
        std::mt19937 random(3);
        int offered = 0;
        int rejected = 0;
        window_sum sum;
        for (int step = 0; step < 4000; ++step) {
            const core::instant now = start + milliseconds(10 * step);
            if (step % 50 == 0) {
                instances.exchange(now, connected);
            }
            if (step % 20 == 0) {
                instances.rebalance(now);
            }
            // Five eighths of the rate, at random times.
            if (step > 500 && random() % 1000 < 125) {
                ++offered;
                const bool is_admitted = instances.admit(random() % size, now);
                rejected += is_admitted ? 0 : 1;
                if (is_admitted) {
                    sum.add(now);
                }
            }
        }
        CHECK(offered > 350);
        CHECK(rejected * 100 <= offered);
        CHECK(static_cast<double>(sum.most) <= bound(20, 20));
    }
}

// Guards against an instance that grants again after a restart what its predecessor granted.
TEST(quota, a_bucket_starts_empty)
{
    token_bucket bucket(start);
    bucket.set(10, 100, start);
    CHECK_FALSE(bucket.try_take(start));
    CHECK(bucket.time_to_token(start) == milliseconds(100));
    CHECK_TRUE(bucket.try_take(start + milliseconds(101)));
    bucket.set(0, 0, start + seconds(2));
    CHECK(bucket.time_to_token(start + seconds(2)) == core::duration::max());
}

// Guards against a workspace without a limit that is rejected.
TEST(quota, a_workspace_without_a_limit_is_always_admitted)
{
    fleet_quota limits(make_options());
    limits.set_limits({{"open", 0, 0}}, start);
    CHECK_TRUE(limits.admit("open", start).is_admitted);
    CHECK_TRUE(limits.admit("unknown", start).is_admitted);
}
