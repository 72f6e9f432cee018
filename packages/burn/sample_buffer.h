// Hands durations from the threads of the request path to the one thread that computes statistics.

#pragma once

#include "burn/shard.h"
#include "core/time.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <functional>

namespace quetzalspan::burn
{

// Adding takes no lock and allocates nothing. Count and sum are exact; of the samples only the newest in each
// shard are kept until they are drained, so quantiles come from a part of them under high load.
class sample_buffer
{
public:
    void add(core::duration value)
    {
        shard& own = m_shards[shard_of_this_thread()];
        const std::int64_t microseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(value).count();
        const std::uint64_t non_negative = microseconds < 0 ? 0 : static_cast<std::uint64_t>(microseconds);
        own.count.fetch_add(1, std::memory_order_relaxed);
        own.sum_microseconds.fetch_add(non_negative, std::memory_order_relaxed);
        const std::uint32_t position = own.next.fetch_add(1, std::memory_order_relaxed) % slots_per_shard;
        // A slot holds the value plus one, so that 0 means empty.
        own.slots[position].store(
            static_cast<std::uint32_t>(std::min<std::uint64_t>(non_negative, max_sample_microseconds)) + 1,
            std::memory_order_relaxed);
    }

    std::uint64_t count() const
    {
        std::uint64_t total = 0;
        for (const shard& entry : m_shards) {
            total += entry.count.load(std::memory_order_relaxed);
        }
        return total;
    }

    double sum_seconds() const
    {
        std::uint64_t total = 0;
        for (const shard& entry : m_shards) {
            total += entry.sum_microseconds.load(std::memory_order_relaxed);
        }
        return static_cast<double>(total) / 1e6;
    }

    // Removes the kept samples and passes each on, in microseconds.
    void drain(const std::function<void(double)>& consume)
    {
        for (shard& entry : m_shards) {
            for (std::atomic<std::uint32_t>& slot : entry.slots) {
                // The plain read keeps idle slots from being written.
                if (slot.load(std::memory_order_relaxed) == 0) {
                    continue;
                }
                const std::uint32_t stored = slot.exchange(0, std::memory_order_relaxed);
                if (stored != 0) {
                    consume(static_cast<double>(stored - 1));
                }
            }
        }
    }

private:
    static constexpr std::uint32_t slots_per_shard = 64;
    // About 71 minutes, longer than any deadline.
    static constexpr std::uint64_t max_sample_microseconds = UINT32_MAX - 1;

    struct alignas(cache_line_bytes) shard {
        std::atomic<std::uint64_t> count{0};
        std::atomic<std::uint64_t> sum_microseconds{0};
        std::atomic<std::uint32_t> next{0};
        std::array<std::atomic<std::uint32_t>, slots_per_shard> slots{};
    };

    std::array<shard, shard_count> m_shards;
};

} // namespace quetzalspan::burn
