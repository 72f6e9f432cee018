// Measures the allowances in virtual time: false rejections against simpler designs, store calls and messages
// by size of the fleet, and in real time the cost of a tick and of try_acquire with its heap allocations.
// Prints key=value lines.

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

// Not inlined, or the compiler pairs its malloc with a library delete and warns.
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

constexpr std::size_t instances = 7;
// The first round takes the grace period of 23 s; shares follow demand within some seconds after it.
constexpr double settling_seconds = 60;
constexpr double measured_seconds = 600;

struct workload {
    const char* name;
    double rate;
    double burst;
    // Part of the arrivals at one instance; the rest is spread evenly.
    double skew;
};

limit_definition limit_of(const workload& work)
{
    return {"workspace", limit_kind::rate, static_cast<std::int64_t>(work.rate * micro_per_token),
            static_cast<std::int64_t>(work.burst * micro_per_token), ""};
}

double arrival_rate(const workload& work, double load, std::size_t index)
{
    const double part = index == 0 ? work.skew : (1 - work.skew) / (instances - 1);
    return work.rate * load * part;
}

// Designs without transfers: the instances are divided into groups that share one bucket each. Every lease
// interval the buckets follow the demand measured by then; without a lease interval they stay even.
class grouped_buckets
{
public:
    grouped_buckets(const workload& work, std::size_t groups, bool follows_demand)
        : m_work(work), m_follows_demand(follows_demand)
    {
        for (std::size_t index = 0; index < groups; ++index) {
            m_buckets.push_back(std::make_unique<share>(limit_kind::rate));
        }
        assign(std::vector<double>(groups, 1.0 / static_cast<double>(groups)),
               core::instant(core::duration(0)));
    }

    // Returns the percentage of rejected requests.
    double run(double load, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::uint64_t offered = 0;
        std::uint64_t rejected = 0;
        std::vector<std::deque<int>> waiting(m_buckets.size());
        const int steps = static_cast<int>((settling_seconds + measured_seconds) * 100);
        for (int step = 0; step < steps; ++step) {
            const core::instant now{std::chrono::milliseconds(10) * (step + 1)};
            const bool is_measured = step >= static_cast<int>(settling_seconds * 100);
            for (std::size_t index = 0; index < instances; ++index) {
                std::poisson_distribution<int> arrivals(arrival_rate(m_work, load, index) / 100);
                const std::size_t group = index % m_buckets.size();
                for (int count = arrivals(random); count > 0; --count) {
                    m_buckets[group]->record_offered_load(micro_per_token);
                    offered += is_measured ? 1 : 0;
                    waiting[group].push_back(step);
                }
            }
            for (std::size_t group = 0; group < m_buckets.size(); ++group) {
                m_buckets[group]->accrue(now);
                std::deque<int>& queue = waiting[group];
                while (!queue.empty() && m_buckets[group]->try_acquire(micro_per_token)) {
                    queue.pop_front();
                }
                // A request waits for 50 ms at most, as in the design.
                while (!queue.empty() && step - queue.front() >= 5) {
                    queue.pop_front();
                    rejected += is_measured ? 1 : 0;
                }
            }
            if (step % 100 == 99) {
                follow_demand(now);
            }
        }
        return 100.0 * static_cast<double>(rejected) / static_cast<double>(offered);
    }

private:
    void follow_demand(core::instant now)
    {
        double sum = 0;
        for (const auto& bucket : m_buckets) {
            bucket->update_demand(now);
            sum += static_cast<double>(bucket->demand_micro()) + 1;
        }
        if (!m_follows_demand) {
            return;
        }
        std::vector<double> parts;
        for (const auto& bucket : m_buckets) {
            parts.push_back((static_cast<double>(bucket->demand_micro()) + 1) / sum);
        }
        assign(parts, now);
    }

    void assign(const std::vector<double>& parts, core::instant now)
    {
        std::vector<amount> targets;
        std::int64_t pool = 0;
        for (std::size_t index = 0; index < m_buckets.size(); ++index) {
            targets.push_back({static_cast<std::int64_t>(m_work.rate * micro_per_token * parts[index]),
                               static_cast<std::int64_t>(m_work.burst * micro_per_token * parts[index]), 0});
            const amount held = m_buckets[index]->holding();
            const std::int64_t excess =
                std::max<std::int64_t>(0, held.burst_micro - targets[index].burst_micro);
            pool += m_buckets[index]
                        ->debit({std::max<std::int64_t>(0, held.rate_micro - targets[index].rate_micro),
                                 excess, std::min(excess, held.tokens_micro)},
                                now)
                        .tokens_micro;
        }
        for (std::size_t index = 0; index < m_buckets.size(); ++index) {
            const amount held = m_buckets[index]->holding();
            amount added{std::max<std::int64_t>(0, targets[index].rate_micro - held.rate_micro),
                         std::max<std::int64_t>(0, targets[index].burst_micro - held.burst_micro), 0};
            added.tokens_micro = std::min(pool, added.burst_micro);
            pool -= added.tokens_micro;
            m_buckets[index]->credit(added, now);
        }
    }

    workload m_work;
    bool m_follows_demand;
    std::vector<std::unique_ptr<share>> m_buckets;
};

double run_design(const workload& work, double load, std::uint64_t seed, double& waited)
{
    fleet_settings settings;
    settings.seed = seed;
    simulated_fleet run(settings);
    run.set_limits({limit_of(work)}, 0.01);
    const double end = settling_seconds + measured_seconds;
    for (std::size_t index = 0; index < instances; ++index) {
        run.add_poisson_load(index, "workspace", arrival_rate(work, load, index), end);
    }
    run.run_until(settling_seconds);
    run.counts.clear();
    run.run_until(end);
    const arrival_counts& counted = run.counts["workspace"];
    waited = 100.0 * static_cast<double>(counted.admitted_after_wait) / static_cast<double>(counted.offered);
    return 100.0 * static_cast<double>(counted.rejected) / static_cast<double>(counted.offered);
}

void measure_false_rejections()
{
    const std::vector<workload> workloads = {
        {"rate70_skew90", 70, 35, 0.9},        {"rate70_even", 70, 35, 1.0 / instances},
        {"rate5_skew90", 5, 10, 0.9},          {"rate5_even", 5, 10, 1.0 / instances},
        {"rate1_even", 1, 5, 1.0 / instances},
    };
    for (const workload& work : workloads) {
        for (const double load : {0.5, 0.9, 1.0}) {
            double waited = 0;
            const double design = run_design(work, load, 1, waited);
            std::printf(
                "measure=false_rejections workload=%s load_percent=%.0f even_split_percent=%.2f "
                "instance_leases_percent=%.2f zone_leases_percent=%.2f design_percent=%.2f "
                "one_bucket_percent=%.2f design_waited_percent=%.2f settling_s=%.0f measured_s=%.0f\n",
                work.name, load * 100, grouped_buckets(work, instances, false).run(load, 1),
                grouped_buckets(work, instances, true).run(load, 1),
                grouped_buckets(work, 6, true).run(load, 1), design,
                grouped_buckets(work, 1, false).run(load, 1), waited, settling_seconds, measured_seconds);
            std::fflush(stdout);
        }
    }
}

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

// Store calls and messages of whole fleets without load; every instance hears every other one.
void measure_traffic(std::size_t size)
{
    fleet_settings settings;
    settings.instances = size;
    simulated_fleet run(settings);
    run.set_limits({{"workspace", limit_kind::rate, 70 * micro_per_token, 35 * micro_per_token, ""}}, 0.01);
    run.run_until(40);
    const std::uint64_t calls = run.store.call_count;
    const std::uint64_t messages = run.message_count;
    run.run_until(50);
    const double each = static_cast<double>(run.store.call_count - calls) / 10 / static_cast<double>(size);
    std::printf("measure=traffic instances=%zu kind=simulated store_calls_per_s=%.1f "
                "store_calls_per_instance_per_s=%.2f "
                "messages_per_instance_per_s=%.1f\n",
                size, each * static_cast<double>(size), each,
                static_cast<double>(run.message_count - messages) / 10 / static_cast<double>(size));
    std::fflush(stdout);
}

void measure_round_writes()
{
    simulated_fleet run(fleet_settings{});
    run.set_limits({{"workspace", limit_kind::rate, 70 * micro_per_token, 35 * micro_per_token, ""}}, 0.01);
    run.run_until(60);
    std::uint64_t reports = 0;
    std::uint64_t others = 0;
    run.survives_write = [&](const simulated_fleet::node&, const store_write& write) {
        (std::holds_alternative<write_report>(write.change) ? reports : others) += 1;
        return true;
    };
    run.kill(0);
    run.run_until(120);
    std::printf("measure=round_writes instances=7 kind=simulated reports=%lu other_writes=%lu\n", reports,
                others);
    // Trial: one report for each availability zone; six zones today, 29 at the target size.
    std::printf("measure=round_writes kind=computed_trial instances=7 zones=6 single=%lu batched=%lu\n",
                reports + others, std::min<std::uint64_t>(reports, 6) + others);
    std::printf("measure=round_writes kind=computed_trial instances=3200 zones=29 single=%lu batched=%lu\n",
                3199 + others, 29 + others);
}

// A manager with that many heard peers and the limits of today's deployment.
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
    std::chrono::nanoseconds spent{0};
    constexpr int rounds = 2000;
    for (int round = 0; round < rounds; ++round) {
        now += std::chrono::milliseconds(10);
        if (round % 50 == 0) {
            manager.authority().record_store_confirmation(now);
            for (std::size_t index = 1; index <= peers; ++index) {
                manager.on_heartbeat(list.entries[index].record.id, 0, summaries, true, now);
            }
        }
        const auto start = std::chrono::steady_clock::now();
        manager.tick(now);
        spent += std::chrono::steady_clock::now() - start;
    }
    std::printf("measure=tick peers=%zu limits=62 mean_ns=%ld core_percent=%.3f\n", peers,
                spent.count() / rounds, static_cast<double>(spent.count()) / rounds / 1e7 * 100);
}

void measure_try_take()
{
    share held(limit_kind::permits);
    held.credit({0, micro_per_token, micro_per_token}, core::instant(core::duration(0)));
    constexpr int rounds = 10'000'000;
    const std::uint64_t before = allocation_count.load();
    int taken = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        if (held.try_acquire(micro_per_token)) {
            ++taken;
            held.release(micro_per_token);
        }
    }
    const std::chrono::nanoseconds spent = std::chrono::steady_clock::now() - start;
    std::printf("measure=try_take_and_put_back ns=%.1f allocations=%lu lock_free=%s taken=%d\n",
                static_cast<double>(spent.count()) / rounds, allocation_count.load() - before,
                std::atomic<std::int64_t>::is_always_lock_free ? "true" : "false", taken);
    membership::authority authority{membership::authority_settings{}};
    authority.record_store_confirmation(core::instant(core::duration(0)));
    const std::uint64_t before_check = allocation_count.load();
    int granted = 0;
    const auto check_start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        granted += authority.has_authority(core::instant(core::duration(round))) ? 1 : 0;
    }
    const std::chrono::nanoseconds check_spent = std::chrono::steady_clock::now() - check_start;
    std::printf("measure=has_authority ns=%.2f allocations=%lu granted=%d\n",
                static_cast<double>(check_spent.count()) / rounds, allocation_count.load() - before_check,
                granted);
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
