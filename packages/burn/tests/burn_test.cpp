// Tests of burn rates, sliding windows, latency quantiles and burn reports, in virtual time.

#include "burn/burn_monitor.h"
#include "core/findings.h"

#include <json/json.h>

#include <random>
#include <sstream>
#include <thread>
#include <vector>

// CppUTest redefines new, so its header comes after those of the libraries.
#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using burn::request_result;

namespace
{

const core::instant origin{std::chrono::hours(100)};
const burn::service_objective objective{0.99, std::chrono::milliseconds(100)};

void record_many(burn::burn_series& series, int count, request_result result, int milliseconds = 10)
{
    for (int index = 0; index < count; ++index) {
        series.record(result, std::chrono::milliseconds(milliseconds));
    }
}

} // namespace

TEST_GROUP(burn){};

// Guards against a burn rate that leaves out a kind of bad request.
TEST(burn, rate_counts_every_kind_of_bad_request)
{
    burn::burn_monitor monitor;
    const std::shared_ptr<burn::burn_series> series = monitor.series("forge", "desk", objective);
    record_many(*series, 94, request_result::succeeded, 100);
    record_many(*series, 1, request_result::succeeded, 101);
    record_many(*series, 2, request_result::failed);
    record_many(*series, 3, request_result::rejected_wrongfully);
    monitor.collect(origin);
    const burn::burn_report report = monitor.report(origin);
    LONGS_EQUAL(94, report.rows[0].short_counts.good);
    LONGS_EQUAL(1, report.rows[0].short_counts.slow);
    // 6 of 100 are bad and the target allows 1 of 100.
    DOUBLES_EQUAL(6.0, report.rows[0].short_burn_rate(), 1e-9);
    DOUBLES_EQUAL(0.0, burn::burn_rate({}, 0.99), 0);
}

// Guards against requests that stay in a window for too long, and against the end of the short window
// removing them from the long one.
TEST(burn, requests_leave_each_window_after_its_length)
{
    burn::burn_monitor monitor;
    const std::shared_ptr<burn::burn_series> series = monitor.series("forge", "desk", objective);
    record_many(*series, 10, request_result::failed);
    monitor.collect(origin);
    const std::vector<std::pair<std::chrono::seconds, std::pair<int, int>>> expected{
        {std::chrono::seconds(299), {10, 10}}, {std::chrono::seconds(315), {0, 10}},
        {std::chrono::seconds(3599), {0, 10}}, {std::chrono::seconds(3615), {0, 0}},
        {std::chrono::seconds(90000), {0, 0}},
    };
    for (const auto& [age, counts] : expected) {
        LONGS_EQUAL(counts.first, series->counts(origin + age, burn::short_window).failed);
        LONGS_EQUAL(counts.second, series->counts(origin + age, burn::long_window).failed);
    }
    monitor.collect(origin + std::chrono::seconds(90000));
    LONGS_EQUAL(0, series->counts(origin + std::chrono::seconds(90000), burn::long_window).total());
}

// Guards against a ring of buckets that sums differently from a plain list of the same events, as after gaps
// between events of any length.
TEST(burn, windows_match_a_plain_list)
{
    std::mt19937 random(20270301);
    for (int trial = 0; trial < 50; ++trial) {
        burn::window_counts windows;
        std::vector<std::pair<std::int64_t, std::uint64_t>> events;
        core::instant now = origin;
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::seconds(random() % 400);
            const std::uint64_t amount = random() % 5;
            windows.add(now, {amount, 0, 0, 0});
            const std::int64_t bucket = now.time_since_epoch() / std::chrono::seconds(15);
            events.emplace_back(bucket, amount);
            std::uint64_t expected = 0;
            for (const auto& [number, count] : events) {
                expected += number >= bucket - 240 ? count : 0;
            }
            LONGS_EQUAL(expected, windows.sum(now, burn::long_window).good);
        }
    }
}

// Guards against counts that are lost or doubled when threads record while the control thread collects.
TEST(burn, concurrent_records_are_all_counted)
{
    constexpr int threads = 4;
    constexpr int records = 20000;
    burn::burn_monitor monitor;
    const std::shared_ptr<burn::burn_series> series = monitor.series("forge", "desk", objective);
    std::vector<std::thread> recorders;
    for (int index = 0; index < threads; ++index) {
        recorders.emplace_back([&] { record_many(*series, records, request_result::succeeded); });
    }
    for (int round = 0; round < 50; ++round) {
        monitor.collect(origin);
    }
    for (std::thread& recorder : recorders) {
        recorder.join();
    }
    monitor.collect(origin);
    LONGS_EQUAL(threads * records, monitor.report(origin).rows[0].long_counts.good);
}

// Guards against quantiles that are far from the exact ones or include failed requests.
TEST(burn, quantiles_are_close_to_the_exact_ones)
{
    burn::burn_series series("forge", "desk", objective);
    core::instant now = origin;
    for (int round = 0; round < 200; ++round) {
        for (int index = 0; index < 50; ++index) {
            // 37 and 10000 have no common factor, so each value from 1 to 10000 occurs once, in mixed order.
            const int value = 1 + ((round * 50 + index) * 37) % 10000;
            series.record(request_result::succeeded, std::chrono::microseconds(value * 10));
            series.record(request_result::failed, std::chrono::seconds(5));
        }
        now += std::chrono::seconds(1);
        series.collect(now);
    }
    const burn::latency_summary latency = series.latency();
    LONGS_EQUAL(10000, latency.samples);
    DOUBLES_EQUAL(50, latency.p50_milliseconds, 1);
    DOUBLES_EQUAL(99, latency.p99_milliseconds, 1);
    DOUBLES_EQUAL(100, latency.max_milliseconds, 1e-9);
    // A new period without samples returns the statistics of the previous one.
    series.collect(now + std::chrono::minutes(6));
    LONGS_EQUAL(10000, series.latency().samples);
}

// Guards against reports that change in their JSON form, in which quetzalctl reads them, and against wrong
// sums and burn rates of merged reports.
TEST(burn, reports_survive_a_json_round_trip_and_merge)
{
    burn::burn_monitor monitor;
    record_many(*monitor.series("mill", "desk", objective), 5, request_result::succeeded);
    const std::shared_ptr<burn::burn_series> worst = monitor.series("forge", "desk", objective);
    record_many(*worst, 9, request_result::succeeded);
    record_many(*worst, 1, request_result::failed);
    monitor.collect(origin);
    const burn::burn_report report = monitor.report(origin);
    STRCMP_EQUAL("forge", report.rows[0].workspace.c_str());
    const burn::burn_report copy = burn::burn_report_from_json(burn::to_json_value(report), "instance");
    const burn::burn_report sum = burn::merge({report, copy});
    LONGS_EQUAL(2, sum.rows.size());
    LONGS_EQUAL(18, sum.rows[0].short_counts.good);
    LONGS_EQUAL(2, sum.rows[0].long_counts.failed);
    DOUBLES_EQUAL(10, sum.rows[0].short_burn_rate(), 1e-9);
    CHECK_TRUE(burn::to_text(sum).find("forge") != std::string::npos);

    for (const char* text : {"null", "[]", "{}", "{\"rows\": [3]}", "{\"rows\": [{\"workspace\": 1}]}"}) {
        Json::Value value;
        std::istringstream(text) >> value;
        CHECK_THROWS(core::findings_error, burn::burn_report_from_json(value, "instance"));
    }
}

// Guards against record() using the old latency after an objective has changed, and against series that stay
// after their workspace was removed.
TEST(burn, objective_changes_apply_and_unused_series_are_removed)
{
    burn::burn_monitor monitor;
    std::shared_ptr<burn::burn_series> series = monitor.series("forge", "desk", objective);
    monitor.set_objectives([](const std::string&) {
        return burn::service_objective{0.9, std::chrono::milliseconds(5)};
    });
    record_many(*series, 1, request_result::succeeded, 10);
    monitor.collect(origin);
    LONGS_EQUAL(1, series->counts(origin, burn::short_window).slow);
    DOUBLES_EQUAL(10, monitor.report(origin).rows[0].short_burn_rate(), 1e-9);
    series.reset();
    monitor.remove_unused(origin);
    LONGS_EQUAL(1, monitor.report(origin).rows.size());
    monitor.remove_unused(origin + std::chrono::hours(2));
    LONGS_EQUAL(0, monitor.report(origin).rows.size());
}
