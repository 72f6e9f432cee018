// Selects the shard of a counter that the calling thread writes. Counters are split into shards on cache
// lines of their own, so that threads rarely contend.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <thread>

namespace quetzalspan::burn
{

// Threads may share a shard: its members are atomic, so the threads only contend for its cache line.
inline constexpr std::size_t shard_count = 8;
inline constexpr std::size_t cache_line_bytes = 64;

// Returns the index of the calling thread's shard, which is the same at every call from one thread.
inline std::size_t shard_of_this_thread()
{
    // Fibonacci hashing: thread identifiers are often addresses with equal low bits, and the multiplication
    // by 2^64 divided by the golden ratio spreads their differences into the high bits.
    constexpr std::uint64_t hash_multiplier = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned hash_shift = 61;
    static_assert(shard_count == 1ULL << (64U - hash_shift));
    return static_cast<std::size_t>(
        (std::hash<std::thread::id>{}(std::this_thread::get_id()) * hash_multiplier) >> hash_shift);
}

} // namespace quetzalspan::burn
