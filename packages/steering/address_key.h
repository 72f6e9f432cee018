// Addresses as unsigned integers, and the sort order of address prefixes in the prefix tree.

#pragma once

#include "steering/address_prefix.h"

#include <algorithm>
#include <bit>
#include <compare>
#include <cstdint>

namespace quetzalspan::steering
{

struct ipv4_key {
    static constexpr unsigned bits = 32;

    // The address as a number in host byte order.
    std::uint32_t value = 0;

    static ipv4_key from_prefix(const address_prefix& prefix)
    {
        return {static_cast<std::uint32_t>(prefix.bytes[0]) << 24U |
                static_cast<std::uint32_t>(prefix.bytes[1]) << 16U |
                static_cast<std::uint32_t>(prefix.bytes[2]) << 8U | prefix.bytes[3]};
    }

    // Returns the address with all bits after the first `length` cleared.
    ipv4_key first_bits(unsigned length) const
    {
        return {length == 0 ? 0 : value & (~std::uint32_t{0} << (bits - length))};
    }

    // Returns the number of leading bits that both addresses share.
    unsigned common_prefix_length(ipv4_key other) const
    {
        return static_cast<unsigned>(std::countl_zero(value ^ other.value));
    }

    // Writes the address bytes and the address family of the prefix; its length is left unchanged.
    void store(address_prefix& prefix) const
    {
        prefix.is_v6 = false;
        for (unsigned index = 0; index < 4; ++index) {
            prefix.bytes[index] = static_cast<std::uint8_t>(value >> (24U - 8U * index));
        }
    }

    // The linter takes the 0 of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const ipv4_key&, const ipv4_key&) = default;
};

struct ipv6_key {
    static constexpr unsigned bits = 128;

    // The upper and lower half of the address as numbers in host byte order.
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static ipv6_key from_prefix(const address_prefix& prefix)
    {
        ipv6_key key;
        for (unsigned index = 0; index < 8; ++index) {
            key.high = key.high << 8U | prefix.bytes[index];
            key.low = key.low << 8U | prefix.bytes[index + 8];
        }
        return key;
    }

    // Returns the address with all bits after the first `length` cleared.
    ipv6_key first_bits(unsigned length) const
    {
        constexpr std::uint64_t all = ~std::uint64_t{0};
        if (length == 0) {
            return {};
        }
        if (length <= 64) {
            return {high & (all << (64 - length)), 0};
        }
        return {high, low & (all << (128 - length))};
    }

    // Returns the number of leading bits that both addresses share.
    unsigned common_prefix_length(ipv6_key other) const
    {
        if (high != other.high) {
            return static_cast<unsigned>(std::countl_zero(high ^ other.high));
        }
        return 64 + static_cast<unsigned>(std::countl_zero(low ^ other.low));
    }

    // Writes the address bytes and the address family of the prefix; its length is left unchanged.
    void store(address_prefix& prefix) const
    {
        prefix.is_v6 = true;
        for (unsigned index = 0; index < 8; ++index) {
            prefix.bytes[index] = static_cast<std::uint8_t>(high >> (56U - 8U * index));
            prefix.bytes[index + 8] = static_cast<std::uint8_t>(low >> (56U - 8U * index));
        }
    }

    // The linter takes the 0 of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const ipv6_key&, const ipv6_key&) = default;
};

// An address prefix as the prefix tree sorts it: by address, then by length, so that a prefix comes before
// the prefixes that it contains.
template <typename Key>
struct ordered_prefix {
    Key key;
    std::uint8_t length = 0;

    static ordered_prefix from_prefix(const address_prefix& prefix)
    {
        return {Key::from_prefix(prefix), prefix.length};
    }

    address_prefix to_prefix() const
    {
        address_prefix result;
        key.store(result);
        result.length = length;
        return result;
    }

    // The linter takes the 0 of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const ordered_prefix&, const ordered_prefix&) = default;
};

} // namespace quetzalspan::steering
