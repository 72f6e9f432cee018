// Computes shares, latencies, concurrency, cap excess and oscillation from the attempts and outcomes of a
// run.

#include "steering/tests/run_analysis.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace quetzalspan::steering::tests
{

run_figures compute_figures(const run_record& record, region_index region, std::int64_t begin_ms,
                            std::int64_t end_ms)
{
    run_figures result;
    std::vector<double> latencies;
    double count = 0;
    for (const request_outcome& item : record.outcomes) {
        if (item.region != region || item.arrived_us < begin_ms * 1000 || item.arrived_us >= end_ms * 1000) {
            continue;
        }
        ++count;
        if (item.is_rejected) {
            ++result.rejected;
        } else if (item.result != request_result::success) {
            ++result.failed;
        } else {
            latencies.push_back(static_cast<double>(item.answered_us - item.arrived_us) / 1000);
            result.mean_ms += latencies.back();
        }
    }
    std::sort(latencies.begin(), latencies.end());
    if (!latencies.empty()) {
        result.mean_ms /= static_cast<double>(latencies.size());
        result.p99_ms = latencies[latencies.size() * 99 / 100];
    }
    result.rejected /= std::max(1.0, count);
    result.failed /= std::max(1.0, count);
    return result;
}

std::size_t find_max_concurrent(const run_record& record)
{
    // Time, change and endpoint. At the same time, ends sort before begins.
    std::vector<std::tuple<std::int64_t, int, endpoint_index>> changes;
    for (const attempt_record& item : record.attempts) {
        changes.emplace_back(item.begin_us, 1, item.endpoint);
        changes.emplace_back(item.end_us, -1, item.endpoint);
    }
    std::sort(changes.begin(), changes.end());
    std::array<int, fleet_model::endpoint_count> running{};
    int max_running = 0;
    for (const auto& [at, change, endpoint] : changes) {
        running[endpoint] += change;
        max_running = std::max(max_running, running[endpoint]);
    }
    return static_cast<std::size_t>(max_running);
}

double compute_cap_excess(const run_record& record, double requests_per_second, double burst_requests)
{
    struct pair_state {
        double count = 0;
        double lowest = 0;
    };
    // The excess of a window that ends with the current request is the growth of `count - rate x time` since
    // just before the first request of the window, less the burst. It is largest for the window that begins
    // where that value was lowest.
    std::map<std::pair<region_index, region_index>, pair_state> pairs;
    double excess = -burst_requests;
    for (const attempt_record& item : record.attempts) {
        if (item.from == item.to) {
            continue;
        }
        const double time = static_cast<double>(item.begin_us) / 1e6;
        const auto [entry, is_new] = pairs.try_emplace({item.from, item.to});
        pair_state& state = entry->second;
        const double before = state.count - requests_per_second * time;
        state.lowest = is_new ? before : std::min(state.lowest, before);
        ++state.count;
        excess = std::max(excess, state.count - requests_per_second * time - state.lowest - burst_requests);
    }
    return excess;
}

std::size_t count_attempts(const run_record& record, endpoint_index first, endpoint_index last,
                           std::int64_t begin_ms, std::int64_t end_ms)
{
    return static_cast<std::size_t>(
        std::count_if(record.attempts.begin(), record.attempts.end(), [&](const attempt_record& item) {
            return item.endpoint >= first && item.endpoint < last && item.begin_us >= begin_ms * 1000 &&
                   item.begin_us < end_ms * 1000;
        }));
}

double compute_oscillation(const run_record& record, std::int64_t length_ms)
{
    constexpr std::int64_t bin_us = 500'000;
    const std::size_t bins = static_cast<std::size_t>(length_ms * 1000 / bin_us);
    std::vector<std::array<double, fleet_model::endpoints_per_region>> counts(bins);
    double total = 0;
    for (const attempt_record& item : record.attempts) {
        const std::size_t bin = static_cast<std::size_t>(item.begin_us / bin_us);
        if (bin < bins && item.endpoint < fleet_model::endpoints_per_region) {
            ++counts[bin][item.endpoint];
            ++total;
        }
    }
    double change = 0;
    for (std::size_t bin = 1; bin < bins; ++bin) {
        for (std::size_t index = 0; index < fleet_model::endpoints_per_region; ++index) {
            change += std::abs(counts[bin][index] - counts[bin - 1][index]);
        }
    }
    return change / std::max(1.0, total);
}

} // namespace quetzalspan::steering::tests
