// Blocking HTTP requests to a loopback port, for tests.

#pragma once

#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalspan::tests
{

// Sends the request to the port on 127.0.0.1. Returns std::nullopt if there was no response within 20 s. The
// timeout only ends a test that would hang; no test relies on its length.
std::optional<http::response> send_request(std::uint16_t port, const http::request& message);

// Sends a GET request. Returns the body of the response, or an empty text if there was no response.
std::string get_text(std::uint16_t port, const std::string& target);

// Sends a GET request. Returns the status of the response, or 0 if there was no response.
unsigned get_status(std::uint16_t port, const std::string& target);

} // namespace quetzalspan::tests
