// Parses and prints numeric addresses with ports. Asio's parser checks the address.

#include "config/host_port.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace quetzalspan::config
{

bool is_numeric_address(std::string_view text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text), error);
    return !error;
}

std::optional<host_port> parse_host_port(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    // Without brackets the last group of an IPv6 address could not be told from a port.
    const bool has_colon = host.find(':') != std::string_view::npos;
    if (has_colon != is_bracketed || !is_numeric_address(host)) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return host_port{std::string(host), port};
}

std::string to_text(const host_port& address)
{
    const std::string port = std::to_string(address.port);
    if (address.host.find(':') != std::string::npos) {
        return "[" + address.host + "]:" + port;
    }
    return address.host + ":" + port;
}

} // namespace quetzalspan::config
