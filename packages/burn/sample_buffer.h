// Passes measured durations from request threads to the thread that computes statistics.

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

// add() takes no lock and allocates no memory. Count and sum are exact. Between calls of drain() each shard
// keeps only its newest samples, so under high load quantiles are computed from a part of the samples.
class sample_buffer
{
public:
    // May be called from any thread. A negative duration counts as 0.
    void add(core::duration value)
    {
        shard& own = m_shards[shard_of_this_thread()];
        const std::int64_t microseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(value).count();
        const std::uint64_t non_negative = microseconds < 0 ? 0 : static_cast<std::uint64_t>(microseconds);
        own.count.fetch_add(1, std::memory_order_relaxed);
        own.sum_microseconds.fetch_add(non_negative, std::memory_order_relaxed);
        const std::uint32_t position = own.next.fetch_add(1, std::memory_order_relaxed) % slots_per_shard;
        // The slot stores the value plus 1, since 0 means that it is empty.
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

    // Removes the kept samples and passes each to the function, in microseconds. Samples come in no
    // particular order.
    void drain(const std::function<void(double)>& consume)
    {
        for (shard& entry : m_shards) {
            for (std::atomic<std::uint32_t>& slot : entry.slots) {
                // Checked by a load first, so that empty slots are not written and their cache lines not
                // invalidated.
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
    // Longer durations are stored as this one, about 71 minutes, which is longer than any deadline.
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
