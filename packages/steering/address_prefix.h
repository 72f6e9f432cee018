// An IPv4 or IPv6 address prefix (CIDR block) in a compact form.

#pragma once

#include <boost/asio/ip/address.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::steering
{

// Invariant: the bits beyond the length are zero. The members take 18 bytes without padding, since lists of
// a million prefixes are sorted in memory.
struct address_prefix {
    // Address in network byte order. An IPv4 address occupies the first four bytes.
    std::array<std::uint8_t, 16> bytes{};
    // Prefix length in bits: at most 32 for IPv4 and 128 for IPv6.
    std::uint8_t length = 0;
    bool is_v6 = false;

    // Parses "address/length"; an address without a length is a prefix of the full address length. Returns
    // nothing for malformed text, for an IPv6 address with a scope identifier, and for an address with bits
    // set beyond the length, which usually means that the length was mistyped.
    static std::optional<address_prefix> parse(std::string_view text);

    // Returns the prefix of the given length in bits that contains the address. A length greater than the
    // address length is reduced to it. An IPv4-mapped IPv6 address is treated as the IPv4 address.
    static address_prefix containing(const boost::asio::ip::address& address, std::uint8_t length);

    // Returns the prefix as "address/length".
    std::string to_text() const;

    friend bool operator==(const address_prefix&, const address_prefix&) = default;
};

} // namespace quetzalspan::steering
