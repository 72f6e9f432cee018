// Compares deficit round robin with first come, first served in virtual time: two large workspaces, six small
// ones, and one of the small ones sending ten times its rate. Prints one line for each case and fails if the
// order loses its purpose.

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

constexpr std::size_t workspaces = 8;
constexpr std::size_t noisy_workspace = 7;
constexpr unsigned slots = 12;
// 12 slots of 20 ms run 600 requests/s; the workspaces' rates add up to 480/s.
constexpr double service_seconds = 0.020;
constexpr double large_rate = 150;
constexpr double small_rate = 30;
constexpr double noise_factor = 10;
constexpr double run_seconds = 300;
constexpr std::chrono::milliseconds deadline(500);

struct request {
    std::size_t workspace = 0;
    instant arrival;
};

struct workspace_result {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::vector<double> waits;
};

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double rate_of(std::size_t workspace, bool is_noisy)
{
    const double rate = workspace < 2 ? large_rate : small_rate;
    return is_noisy && workspace == noisy_workspace ? rate * noise_factor : rate;
}

std::vector<request> make_arrivals(bool is_noisy)
{
    std::vector<request> arrivals;
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        // One seed for each workspace, so that the others send the same with and without the noise.
        std::mt19937_64 random(100 + workspace);
        std::exponential_distribution<double> gap(rate_of(workspace, is_noisy));
        for (double time = gap(random); time < run_seconds; time += gap(random)) {
            arrivals.push_back({workspace, instant(to_duration(time))});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const request& left, const request& right) { return left.arrival < right.arrival; });
    return arrivals;
}

std::array<workspace_result, workspaces> simulate(queue_discipline order, bool is_noisy)
{
    fair_queue_options options;
    options.discipline = order;
    fair_queue queue(options);
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        // Weights follow the rates that the workspaces are entitled to.
        queue.set_weight(std::to_string(workspace), workspace < 2 ? 5 : 1);
    }
    const std::vector<request> arrivals = make_arrivals(is_noisy);
    std::array<workspace_result, workspaces> results;
    std::priority_queue<instant, std::vector<instant>, std::greater<>> completions;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> service(1 / service_seconds);
    std::size_t next = 0;
    const auto dispatch = [&](instant now) {
        while (completions.size() < slots) {
            const std::optional<fair_queue::identifier> id = queue.pop(now);
            if (!id) {
                break;
            }
            const request& taken = arrivals[*id];
            ++results[taken.workspace].served;
            results[taken.workspace].waits.push_back(quetzalspan::core::to_seconds(now - taken.arrival));
            completions.push(now + to_duration(service(random)));
        }
        queue.take_expired(now);
    };
    while (next < arrivals.size() || !completions.empty()) {
        const bool is_arrival =
            completions.empty() || (next < arrivals.size() && arrivals[next].arrival <= completions.top());
        if (is_arrival) {
            const request& arrived = arrivals[next];
            ++results[arrived.workspace].offered;
            queue.push(std::to_string(arrived.workspace), {next, 1, arrived.arrival + deadline},
                       arrived.arrival, duration(0));
            ++next;
            dispatch(arrived.arrival);
        } else {
            const instant now = completions.top();
            completions.pop();
            dispatch(now);
        }
    }
    return results;
}

struct summary {
    // Over the workspaces that keep to their rate.
    double worst_share = 1;
    double worst_p99_milliseconds = 0;
};

summary summarize(std::array<workspace_result, workspaces>& results, bool is_noisy)
{
    summary result;
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        if (is_noisy && workspace == noisy_workspace) {
            continue;
        }
        workspace_result& one = results[workspace];
        std::sort(one.waits.begin(), one.waits.end());
        const double p99 = one.waits[one.waits.size() * 99 / 100] * 1000;
        const double share = static_cast<double>(one.served) / static_cast<double>(one.offered);
        result.worst_share = std::min(result.worst_share, share);
        result.worst_p99_milliseconds = std::max(result.worst_p99_milliseconds, p99);
    }
    return result;
}

summary measure(const char* name, queue_discipline order, bool is_noisy)
{
    std::array<workspace_result, workspaces> results = simulate(order, is_noisy);
    const summary result = summarize(results, is_noisy);
    const workspace_result& noisy = results[noisy_workspace];
    std::printf("order=%s noisy=%s worst_share=%.4f worst_p99_wait_ms=%.1f last_workspace_share=%.4f\n", name,
                is_noisy ? "yes" : "no", result.worst_share, result.worst_p99_milliseconds,
                static_cast<double>(noisy.served) / static_cast<double>(noisy.offered));
    return result;
}

} // namespace

int main()
{
    const summary fair = measure("deficit_round_robin", queue_discipline::deficit_round_robin, false);
    const summary fair_noisy = measure("deficit_round_robin", queue_discipline::deficit_round_robin, true);
    measure("first_come_first_served", queue_discipline::first_come_first_served, false);
    const summary plain_noisy =
        measure("first_come_first_served", queue_discipline::first_come_first_served, true);
    const bool is_isolated = fair.worst_share >= 0.999 && fair_noisy.worst_share >= 0.99;
    const bool is_better = fair_noisy.worst_share > plain_noisy.worst_share &&
                           fair_noisy.worst_p99_milliseconds < plain_noisy.worst_p99_milliseconds;
    std::printf("result=%s\n", is_isolated && is_better ? "pass" : "fail");
    return is_isolated && is_better ? 0 : 1;
}
