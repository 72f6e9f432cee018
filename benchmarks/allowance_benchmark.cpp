// Benchmarks the fleet-wide limits of the allowance package and prints key=value lines. In virtual time:
// requests rejected although the fleet is within the limit, compared with simpler designs, store calls and
// messages for several fleet sizes, and ledger writes after the loss of an instance. In real time: the
// duration of a control-loop tick, and of try_acquire() and has_authority() with their heap allocations.

#include "allowance/tests/simulated_fleet.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace
{

std::atomic<std::uint64_t> allocation_count{0};

} // namespace

// Not inlined, because the compiler would otherwise warn that malloc() is paired with the delete of the
// library.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    allocation_count.fetch_add(1, std::memory_order_relaxed);
    void* memory = std::malloc(size == 0 ? 1 : size); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

namespace quetzalspan::allowance::testing
{
namespace
{

constexpr std::size_t instance_count = 7;
// Not measured: the first ledger round takes the grace period of 23 s, and the shares need some seconds more
// to follow the demand.
constexpr double settling_seconds = 60;
constexpr double measured_seconds = 600;

// Poisson arrivals of requests against one rate limit.
struct workload {
    const char* name;
    double rate_per_second;
    double burst_requests;
    // Fraction of the requests that arrive at the first instance. The others arrive evenly at the remaining
    // instances.
    double first_instance_fraction;
};

limit_definition make_limit(const workload& work)
{
    return {"workspace", limit_kind::rate, static_cast<std::int64_t>(work.rate_per_second * micro_per_token),
            static_cast<std::int64_t>(work.burst_requests * micro_per_token), ""};
}

// Returns the rate of arrivals at one instance when the fleet receives `load` times the limit.
double arrivals_per_second(const workload& work, double load, std::size_t index)
{
    const double fraction =
        index == 0 ? work.first_instance_fraction : (1 - work.first_instance_fraction) / (instance_count - 1);
    return work.rate_per_second * load * fraction;
}

// A simpler design, for comparison: instances form groups with one token bucket each, and groups cannot
// transfer tokens to each other. Once a second, the lease interval, the limit is redistributed over the
// buckets in proportion to the measured demand, if follows_demand is set; otherwise the split stays even.
class grouped_buckets
{
public:
    grouped_buckets(const workload& work, std::size_t groups, bool follows_demand)
        : m_work(work), m_follows_demand(follows_demand)
    {
        for (std::size_t index = 0; index < groups; ++index) {
            m_buckets.push_back(std::make_unique<share>(limit_kind::rate));
        }
        redistribute(std::vector<double>(groups, 1.0 / static_cast<double>(groups)),
                     core::instant(core::duration(0)));
    }

    // Simulates in steps of 10 ms and returns the percentage of rejected requests.
    double simulate(double load, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::uint64_t offered = 0;
        std::uint64_t rejected = 0;
        std::vector<std::deque<int>> waiting_arrival_steps(m_buckets.size());
        const int steps = static_cast<int>((settling_seconds + measured_seconds) * 100);
        for (int step = 0; step < steps; ++step) {
            const core::instant now{std::chrono::milliseconds(10) * (step + 1)};
            const bool is_measured = step >= static_cast<int>(settling_seconds * 100);
            for (std::size_t index = 0; index < instance_count; ++index) {
                std::poisson_distribution<int> arrivals(arrivals_per_second(m_work, load, index) / 100);
                const std::size_t group = index % m_buckets.size();
                for (int count = arrivals(random); count > 0; --count) {
                    m_buckets[group]->record_offered_load(micro_per_token);
                    offered += is_measured ? 1 : 0;
                    waiting_arrival_steps[group].push_back(step);
                }
            }
            for (std::size_t group = 0; group < m_buckets.size(); ++group) {
                m_buckets[group]->accrue(now);
                std::deque<int>& queue = waiting_arrival_steps[group];
                while (!queue.empty() && m_buckets[group]->try_acquire(micro_per_token)) {
                    queue.pop_front();
                }
                // As in the simulated fleet, a request waits for a token for at most 50 ms.
                while (!queue.empty() && step - queue.front() >= 5) {
                    queue.pop_front();
                    rejected += is_measured ? 1 : 0;
                }
            }
            if (step % 100 == 99) {
                measure_and_rebalance(now);
            }
        }
        return 100.0 * static_cast<double>(rejected) / static_cast<double>(offered);
    }

private:
    // Measures the demand of each group, and redistributes the limit if the buckets follow it.
    void measure_and_rebalance(core::instant now)
    {
        double sum = 0;
        for (const auto& bucket : m_buckets) {
            bucket->update_demand(now);
            sum += static_cast<double>(bucket->demand_micro()) + 1;
        }
        if (!m_follows_demand) {
            return;
        }
        std::vector<double> fractions;
        for (const auto& bucket : m_buckets) {
            fractions.push_back((static_cast<double>(bucket->demand_micro()) + 1) / sum);
        }
        redistribute(fractions, now);
    }

    // Sets the rate and burst of each bucket to its fraction of the limit. Tokens above a reduced burst move
    // to the buckets whose burst grows.
    void redistribute(const std::vector<double>& fractions, core::instant now)
    {
        std::vector<amount> targets;
        std::int64_t freed_tokens_micro = 0;
        for (std::size_t index = 0; index < m_buckets.size(); ++index) {
            targets.push_back(
                {static_cast<std::int64_t>(m_work.rate_per_second * micro_per_token * fractions[index]),
                 static_cast<std::int64_t>(m_work.burst_requests * micro_per_token * fractions[index]), 0});
            const amount held = m_buckets[index]->holding();
            const std::int64_t excess_burst_micro =
                std::max<std::int64_t>(0, held.burst_micro - targets[index].burst_micro);
            freed_tokens_micro +=
                m_buckets[index]
                    ->debit({std::max<std::int64_t>(0, held.rate_micro - targets[index].rate_micro),
                             excess_burst_micro, std::min(excess_burst_micro, held.tokens_micro)},
                            now)
                    .tokens_micro;
        }
        for (std::size_t index = 0; index < m_buckets.size(); ++index) {
            const amount held = m_buckets[index]->holding();
            amount added{std::max<std::int64_t>(0, targets[index].rate_micro - held.rate_micro),
                         std::max<std::int64_t>(0, targets[index].burst_micro - held.burst_micro), 0};
            added.tokens_micro = std::min(freed_tokens_micro, added.burst_micro);
            freed_tokens_micro -= added.tokens_micro;
            m_buckets[index]->credit(added, now);
        }
    }

    workload m_work;
    bool m_follows_demand;
    std::vector<std::unique_ptr<share>> m_buckets;
};

// Simulates a fleet of the actual share managers. Returns the percentage of rejected requests, and sets the
// percentage of requests that waited for a token before they were admitted.
double simulate_fleet(const workload& work, double load, std::uint64_t seed, double& waited_percent)
{
    fleet_settings settings;
    settings.seed = seed;
    simulated_fleet fleet(settings);
    fleet.set_limits({make_limit(work)}, 0.01);
    const double end_seconds = settling_seconds + measured_seconds;
    for (std::size_t index = 0; index < instance_count; ++index) {
        fleet.add_poisson_load(index, "workspace", arrivals_per_second(work, load, index), end_seconds);
    }
    fleet.run_until(settling_seconds);
    fleet.counts.clear();
    fleet.run_until(end_seconds);
    const arrival_counts& counted = fleet.counts["workspace"];
    waited_percent =
        100.0 * static_cast<double>(counted.admitted_after_wait) / static_cast<double>(counted.offered);
    return 100.0 * static_cast<double>(counted.rejected) / static_cast<double>(counted.offered);
}

void measure_false_rejections()
{
    const std::vector<workload> workloads = {
        {"rate70_skew90", 70, 35, 0.9},
        {"rate70_even", 70, 35, 1.0 / instance_count},
        {"rate5_skew90", 5, 10, 0.9},
        {"rate5_even", 5, 10, 1.0 / instance_count},
        {"rate1_even", 1, 5, 1.0 / instance_count},
    };
    for (const workload& work : workloads) {
        for (const double load : {0.5, 0.9, 1.0}) {
            double waited_percent = 0;
            const double rejected_percent = simulate_fleet(work, load, 1, waited_percent);
            std::printf(
                "measure=false_rejections workload=%s load_percent=%.0f even_split_percent=%.2f "
                "instance_leases_percent=%.2f zone_leases_percent=%.2f design_percent=%.2f "
                "one_bucket_percent=%.2f design_waited_percent=%.2f settling_s=%.0f measured_s=%.0f\n",
                work.name, load * 100, grouped_buckets(work, instance_count, false).simulate(load, 1),
                grouped_buckets(work, instance_count, true).simulate(load, 1),
                grouped_buckets(work, 6, true).simulate(load, 1), rejected_percent,
                grouped_buckets(work, 1, false).simulate(load, 1), waited_percent, settling_seconds,
                measured_seconds);
            std::fflush(stdout);
        }
    }
}

// The number and sizes of limits in the current deployment: 8 workspaces and the slots of 54 endpoints.
std::vector<limit_definition> deployment_limits()
{
    std::vector<limit_definition> limits;
    for (int index = 0; index < 8; ++index) {
        limits.push_back({"workspace/" + std::to_string(index), limit_kind::rate, 70 * micro_per_token,
                          35 * micro_per_token, ""});
    }
    for (int index = 0; index < 54; ++index) {
        limits.push_back({"slots/service/endpoint-" + std::to_string(index), limit_kind::permits, 0,
                          3 * micro_per_token, ""});
    }
    return limits;
}

// Counts the store calls and messages of a fleet without requests, in which every instance exchanges
// heartbeats with every other one. The first 40 s are not counted.
void measure_traffic(std::size_t size)
{
    fleet_settings settings;
    settings.instances = size;
    simulated_fleet fleet(settings);
    fleet.set_limits({{"workspace", limit_kind::rate, 70 * micro_per_token, 35 * micro_per_token, ""}}, 0.01);
    fleet.run_until(40);
    const std::uint64_t calls_before = fleet.store.call_count;
    const std::uint64_t messages_before = fleet.message_count;
    fleet.run_until(50);
    const double calls_per_instance_per_second =
        static_cast<double>(fleet.store.call_count - calls_before) / 10 / static_cast<double>(size);
    std::printf("measure=traffic instances=%zu kind=simulated store_calls_per_s=%.1f "
                "store_calls_per_instance_per_s=%.2f "
                "messages_per_instance_per_s=%.1f\n",
                size, calls_per_instance_per_second * static_cast<double>(size),
                calls_per_instance_per_second,
                static_cast<double>(fleet.message_count - messages_before) / 10 / static_cast<double>(size));
    std::fflush(stdout);
}

// Counts the ledger writes of the round that follows the loss of one instance.
void measure_round_writes()
{
    simulated_fleet fleet(fleet_settings{});
    fleet.set_limits({{"workspace", limit_kind::rate, 70 * micro_per_token, 35 * micro_per_token, ""}}, 0.01);
    fleet.run_until(60);
    std::uint64_t report_writes = 0;
    std::uint64_t other_writes = 0;
    fleet.survives_write = [&](const simulated_fleet::node&, const store_write& write) {
        (std::holds_alternative<write_report>(write.change) ? report_writes : other_writes) += 1;
        return true;
    };
    fleet.kill(0);
    fleet.run_until(120);
    std::printf("measure=round_writes instances=7 kind=simulated reports=%lu other_writes=%lu\n",
                report_writes, other_writes);
    // Computed, not simulated: "batched" is the number of writes if the instances of each availability zone
    // sent one report together. The current deployment has 6 zones; at the target size there are 29.
    std::printf("measure=round_writes kind=computed_trial instances=7 zones=6 single=%lu batched=%lu\n",
                report_writes + other_writes, std::min<std::uint64_t>(report_writes, 6) + other_writes);
    std::printf("measure=round_writes kind=computed_trial instances=3200 zones=29 single=%lu batched=%lu\n",
                3199 + other_writes, 29 + other_writes);
}

// Measures the duration of a tick, every 10 ms, of a share manager that receives heartbeats from the given
// number of peers every 500 ms and has the limits of the current deployment.
void measure_tick(std::size_t peers)
{
    membership::member self;
    self.id = "instance-0.1";
    self.availability_zone = "zone-0";
    membership::member_list list;
    list.revision = 10;
    for (std::size_t index = 0; index <= peers; ++index) {
        membership::stored_member entry;
        entry.record.id = "instance-" + std::to_string(index) + ".1";
        entry.record.availability_zone = "zone-" + std::to_string(index % 6);
        entry.is_alive = true;
        list.entries.push_back(entry);
    }
    core::instant now{std::chrono::seconds(1)};
    share_manager manager({}, self, now);
    manager.apply_limits({1, deployment_limits()}, now);
    manager.on_members(list, now);
    std::vector<demand_summary> summaries = manager.demand_summaries();
    for (demand_summary& summary : summaries) {
        summary.demand_micro = micro_per_token;
        summary.holding = {micro_per_token, micro_per_token, micro_per_token};
    }
    std::chrono::nanoseconds elapsed{0};
    constexpr int tick_count = 2000;
    for (int tick_index = 0; tick_index < tick_count; ++tick_index) {
        now += std::chrono::milliseconds(10);
        if (tick_index % 50 == 0) {
            manager.authority().record_store_confirmation(now);
            for (std::size_t index = 1; index <= peers; ++index) {
                manager.on_heartbeat(list.entries[index].record.id, 0, summaries, true, now);
            }
        }
        const auto start = std::chrono::steady_clock::now();
        manager.tick(now);
        elapsed += std::chrono::steady_clock::now() - start;
    }
    std::printf("measure=tick peers=%zu limits=62 mean_ns=%ld core_percent=%.3f\n", peers,
                elapsed.count() / tick_count, static_cast<double>(elapsed.count()) / tick_count / 1e7 * 100);
}

// Measures the functions of the request path: the check of a permit and the check of authority.
void measure_try_take()
{
    share permits(limit_kind::permits);
    permits.credit({0, micro_per_token, micro_per_token}, core::instant(core::duration(0)));
    constexpr int iterations = 10'000'000;
    const std::uint64_t allocations_before = allocation_count.load();
    int taken = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int iteration = 0; iteration < iterations; ++iteration) {
        if (permits.try_acquire(micro_per_token)) {
            ++taken;
            permits.release(micro_per_token);
        }
    }
    const std::chrono::nanoseconds elapsed = std::chrono::steady_clock::now() - start;
    std::printf("measure=try_take_and_put_back ns=%.1f allocations=%lu lock_free=%s taken=%d\n",
                static_cast<double>(elapsed.count()) / iterations,
                allocation_count.load() - allocations_before,
                std::atomic<std::int64_t>::is_always_lock_free ? "true" : "false", taken);
    membership::authority authority{membership::authority_settings{}};
    authority.record_store_confirmation(core::instant(core::duration(0)));
    const std::uint64_t allocations_before_check = allocation_count.load();
    int granted = 0;
    const auto check_start = std::chrono::steady_clock::now();
    for (int iteration = 0; iteration < iterations; ++iteration) {
        granted += authority.has_authority(core::instant(core::duration(iteration))) ? 1 : 0;
    }
    const std::chrono::nanoseconds check_elapsed = std::chrono::steady_clock::now() - check_start;
    std::printf("measure=has_authority ns=%.2f allocations=%lu granted=%d\n",
                static_cast<double>(check_elapsed.count()) / iterations,
                allocation_count.load() - allocations_before_check, granted);
}

} // namespace
} // namespace quetzalspan::allowance::testing

int main()
{
    using namespace quetzalspan::allowance::testing;
    measure_try_take();
    for (const std::size_t peers : {6, 28, 64}) {
        measure_tick(peers);
    }
    measure_round_writes();
    for (const std::size_t size : {7, 29, 100}) {
        measure_traffic(size);
    }
    measure_false_rejections();
    return 0;
}
