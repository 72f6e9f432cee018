// A metric that only increases, with little contention between threads that count.

#pragma once

#include "burn/shard.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace quetzalspan::burn
{

// All functions may be called from any thread and take no lock.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_shards[shard_of_this_thread()].value.fetch_add(amount, std::memory_order_relaxed);
    }

    // Returns the sum over all threads. Additions made during the call may be missing.
    std::uint64_t value() const
    {
        std::uint64_t total = 0;
        for (const shard& entry : m_shards) {
            total += entry.value.load(std::memory_order_relaxed);
        }
        return total;
    }

private:
    struct alignas(cache_line_bytes) shard {
        std::atomic<std::uint64_t> value{0};
    };

    std::array<shard, shard_count> m_shards;
};

} // namespace quetzalspan::burn
