// Hashes that every process computes alike, for duties and ranking by rendezvous hashing.

#pragma once

#include <cstdint>
#include <string_view>

namespace quetzalspan::core
{

// Returns the XXH3 hash of the text, the same in every process and build.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Spreads the bits of a combined hash: the finalizer of SplitMix64.
constexpr std::uint64_t mix_hash(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace quetzalspan::core
