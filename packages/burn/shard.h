// Choice of the shard that the calling thread counts in.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <thread>

namespace quetzalspan::burn
{

// Threads that share a shard stay correct and only contend for its cache line.
inline constexpr std::size_t shard_count = 8;
inline constexpr std::size_t cache_line_bytes = 64;

// Returns the same shard for every call of one thread.
inline std::size_t shard_of_this_thread()
{
    // Thread identifiers are often addresses that share their low bits; the product spreads them into the
    // high ones.
    constexpr std::uint64_t hash_multiplier = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned hash_shift = 61;
    static_assert(shard_count == 1ULL << (64U - hash_shift));
    return static_cast<std::size_t>(
        (std::hash<std::thread::id>{}(std::this_thread::get_id()) * hash_multiplier) >> hash_shift);
}

} // namespace quetzalspan::burn
