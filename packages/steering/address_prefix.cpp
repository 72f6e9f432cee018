// Parses, masks and prints address prefixes with the help of Boost.Asio's address parser.

#include "steering/address_prefix.h"

#include <algorithm>
#include <charconv>

namespace quetzalspan::steering
{

namespace asio = boost::asio;

std::optional<address_prefix> address_prefix::parse(std::string_view text)
{
    const std::size_t slash = text.find('/');
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(std::string(text.substr(0, slash)), error);
    if (error) {
        return std::nullopt;
    }
    const unsigned address_bits = address.is_v6() ? 128 : 32;
    unsigned length = address_bits;
    if (slash != std::string_view::npos) {
        const std::string_view digits = text.substr(slash + 1);
        const std::from_chars_result result =
            std::from_chars(digits.data(), digits.data() + digits.size(), length);
        if (result.ec != std::errc() || result.ptr != digits.data() + digits.size() ||
            length > address_bits) {
            return std::nullopt;
        }
    }
    address_prefix parsed;
    parsed.is_v6 = address.is_v6();
    if (parsed.is_v6) {
        if (address.to_v6().scope_id() != 0) {
            return std::nullopt;
        }
        parsed.bytes = address.to_v6().to_bytes();
    } else {
        const asio::ip::address_v4::bytes_type bytes = address.to_v4().to_bytes();
        std::copy(bytes.begin(), bytes.end(), parsed.bytes.begin());
    }
    parsed.length = static_cast<std::uint8_t>(length);
    address_prefix masked = parsed;
    for (std::size_t bit = length; bit < address_bits; ++bit) {
        masked.bytes[bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> (bit % 8)));
    }
    if (!(masked == parsed)) {
        return std::nullopt;
    }
    return parsed;
}

address_prefix address_prefix::containing(const asio::ip::address& address, std::uint8_t length)
{
    address_prefix result;
    const bool is_mapped = address.is_v6() && address.to_v6().is_v4_mapped();
    result.is_v6 = address.is_v6() && !is_mapped;
    if (result.is_v6) {
        result.bytes = address.to_v6().to_bytes();
    } else {
        const asio::ip::address_v4 v4 =
            is_mapped ? asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6()) : address.to_v4();
        const asio::ip::address_v4::bytes_type bytes = v4.to_bytes();
        std::copy(bytes.begin(), bytes.end(), result.bytes.begin());
    }
    const unsigned address_bits = result.is_v6 ? 128 : 32;
    result.length = static_cast<std::uint8_t>(std::min<unsigned>(length, address_bits));
    for (unsigned index = 0; index < address_bits / 8; ++index) {
        const unsigned kept_bits =
            std::clamp<int>(static_cast<int>(result.length) - static_cast<int>(index * 8), 0, 8);
        result.bytes[index] &= static_cast<std::uint8_t>(0xff00U >> kept_bits);
    }
    return result;
}

std::string address_prefix::to_text() const
{
    std::string text;
    if (is_v6) {
        text = asio::ip::make_address_v6(bytes).to_string();
    } else {
        const asio::ip::address_v4::bytes_type v4{bytes[0], bytes[1], bytes[2], bytes[3]};
        text = asio::ip::make_address_v4(v4).to_string();
    }
    return text + "/" + std::to_string(length);
}

} // namespace quetzalspan::steering
