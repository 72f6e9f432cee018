// A numeric IP address with a port, as written in settings and on command lines.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::config
{

struct host_port {
    // Numeric IPv4 or IPv6 address, without brackets.
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const host_port&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Returns std::nullopt for any other form, for host names and for
// port 0.
std::optional<host_port> parse_host_port(std::string_view text);

// Returns the form that parse_host_port() parses.
std::string to_text(const host_port& address);

// Returns whether the text is a numeric IPv4 or IPv6 address.
bool is_numeric_address(std::string_view text);

} // namespace quetzalspan::config
