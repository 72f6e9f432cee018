// Compares deficit round robin with first come, first served in virtual time. Two large and six small
// workspaces send requests, either at their rates or with one small workspace sending ten times its rate.
// Prints one line for each case. Exits with 1 if deficit round robin does not protect the workspaces that
// keep to their rates, or protects them no better than first come, first served.

#include "dispatch/fair_queue.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

using quetzalspan::core::duration;
using quetzalspan::core::instant;
using quetzalspan::dispatch::fair_queue;
using quetzalspan::dispatch::fair_queue_options;
using quetzalspan::dispatch::queue_discipline;

constexpr std::size_t workspace_count = 8;
constexpr std::size_t noisy_workspace = 7;
constexpr unsigned slot_count = 12;
// 12 slots with a mean service time of 20 ms process 600 requests/s; the rates of the workspaces sum to
// 480/s.
constexpr double mean_service_seconds = 0.020;
constexpr double large_requests_per_second = 150;
constexpr double small_requests_per_second = 30;
constexpr double noisy_rate_factor = 10;
constexpr double arrival_seconds = 300;
constexpr std::chrono::milliseconds request_timeout(500);

// One request, identified in the queue by its index in the list of arrivals.
struct request {
    std::size_t workspace = 0;
    instant arrival;
};

struct workspace_result {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::vector<double> wait_seconds;
};

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double requests_per_second(std::size_t workspace, bool has_noisy_workspace)
{
    const double rate = workspace < 2 ? large_requests_per_second : small_requests_per_second;
    return has_noisy_workspace && workspace == noisy_workspace ? rate * noisy_rate_factor : rate;
}

// Returns Poisson arrivals of all workspaces in the order of time.
std::vector<request> make_arrivals(bool has_noisy_workspace)
{
    std::vector<request> arrivals;
    for (std::size_t workspace = 0; workspace < workspace_count; ++workspace) {
        // Each workspace has its own seed, so that the arrivals of the others are the same with and without a
        // noisy workspace.
        std::mt19937_64 random(100 + workspace);
        std::exponential_distribution<double> interarrival_seconds(
            requests_per_second(workspace, has_noisy_workspace));
        for (double time = interarrival_seconds(random); time < arrival_seconds;
             time += interarrival_seconds(random)) {
            arrivals.push_back({workspace, instant(to_duration(time))});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const request& left, const request& right) { return left.arrival < right.arrival; });
    return arrivals;
}

// Simulates until all requests are served or have expired in the queue.
std::array<workspace_result, workspace_count> simulate(queue_discipline discipline, bool has_noisy_workspace)
{
    fair_queue_options options;
    options.discipline = discipline;
    fair_queue queue(options);
    for (std::size_t workspace = 0; workspace < workspace_count; ++workspace) {
        // The weights are in proportion to the agreed rates, 150/s and 30/s.
        queue.set_weight(std::to_string(workspace), workspace < 2 ? 5 : 1);
    }
    const std::vector<request> arrivals = make_arrivals(has_noisy_workspace);
    std::array<workspace_result, workspace_count> results;
    std::priority_queue<instant, std::vector<instant>, std::greater<>> completions;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> service_seconds(1 / mean_service_seconds);
    std::size_t next_arrival = 0;
    const auto fill_slots = [&](instant now) {
        while (completions.size() < slot_count) {
            const std::optional<fair_queue::identifier> id = queue.pop(now);
            if (!id) {
                break;
            }
            const request& dispatched = arrivals[*id];
            ++results[dispatched.workspace].served;
            results[dispatched.workspace].wait_seconds.push_back(
                quetzalspan::core::to_seconds(now - dispatched.arrival));
            completions.push(now + to_duration(service_seconds(random)));
        }
        queue.take_expired(now);
    };
    while (next_arrival < arrivals.size() || !completions.empty()) {
        const bool is_arrival = completions.empty() || (next_arrival < arrivals.size() &&
                                                        arrivals[next_arrival].arrival <= completions.top());
        if (is_arrival) {
            const request& arriving = arrivals[next_arrival];
            ++results[arriving.workspace].offered;
            queue.push(std::to_string(arriving.workspace),
                       {next_arrival, 1, arriving.arrival + request_timeout}, arriving.arrival, duration(0));
            ++next_arrival;
            fill_slots(arriving.arrival);
        } else {
            const instant now = completions.top();
            completions.pop();
            fill_slots(now);
        }
    }
    return results;
}

// The worst figures among the workspaces that keep to their rates; a noisy workspace is left out.
struct conforming_summary {
    double min_served_fraction = 1;
    double max_p99_wait_milliseconds = 0;
};

conforming_summary summarize_conforming(std::array<workspace_result, workspace_count>& results,
                                        bool has_noisy_workspace)
{
    conforming_summary result;
    for (std::size_t workspace = 0; workspace < workspace_count; ++workspace) {
        if (has_noisy_workspace && workspace == noisy_workspace) {
            continue;
        }
        workspace_result& current = results[workspace];
        std::sort(current.wait_seconds.begin(), current.wait_seconds.end());
        const double p99_wait_milliseconds =
            current.wait_seconds[current.wait_seconds.size() * 99 / 100] * 1000;
        const double served_fraction =
            static_cast<double>(current.served) / static_cast<double>(current.offered);
        result.min_served_fraction = std::min(result.min_served_fraction, served_fraction);
        result.max_p99_wait_milliseconds = std::max(result.max_p99_wait_milliseconds, p99_wait_milliseconds);
    }
    return result;
}

conforming_summary measure(const char* name, queue_discipline discipline, bool has_noisy_workspace)
{
    std::array<workspace_result, workspace_count> results = simulate(discipline, has_noisy_workspace);
    const conforming_summary result = summarize_conforming(results, has_noisy_workspace);
    const workspace_result& noisy_result = results[noisy_workspace];
    std::printf("order=%s noisy=%s worst_share=%.4f worst_p99_wait_ms=%.1f last_workspace_share=%.4f\n", name,
                has_noisy_workspace ? "yes" : "no", result.min_served_fraction,
                result.max_p99_wait_milliseconds,
                static_cast<double>(noisy_result.served) / static_cast<double>(noisy_result.offered));
    return result;
}

} // namespace

int main()
{
    const conforming_summary round_robin =
        measure("deficit_round_robin", queue_discipline::deficit_round_robin, false);
    const conforming_summary round_robin_noisy =
        measure("deficit_round_robin", queue_discipline::deficit_round_robin, true);
    measure("first_come_first_served", queue_discipline::first_come_first_served, false);
    const conforming_summary first_come_noisy =
        measure("first_come_first_served", queue_discipline::first_come_first_served, true);
    const bool is_isolated =
        round_robin.min_served_fraction >= 0.999 && round_robin_noisy.min_served_fraction >= 0.99;
    const bool is_better_than_first_come =
        round_robin_noisy.min_served_fraction > first_come_noisy.min_served_fraction &&
        round_robin_noisy.max_p99_wait_milliseconds < first_come_noisy.max_p99_wait_milliseconds;
    std::printf("result=%s\n", is_isolated && is_better_than_first_come ? "pass" : "fail");
    return is_isolated && is_better_than_first_come ? 0 : 1;
}
