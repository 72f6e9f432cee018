// Hash functions with the same result in every process, as rendezvous hashing across instances requires.

#pragma once

#include <cstdint>
#include <string_view>

namespace quetzalspan::core
{

// Returns the 64-bit XXH3 hash of the text. The result does not depend on the process or the build.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Mixes the bits of a hash that was combined from several, with the finalizer of SplitMix64.
constexpr std::uint64_t mix_hash(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace quetzalspan::core
