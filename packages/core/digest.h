// SHA-256 digests, HMAC-SHA256 codes and random bytes in hexadecimal form, computed by OpenSSL.

#pragma once

#include <string>
#include <string_view>

namespace quetzalspan::core
{

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits. Throws std::runtime_error if OpenSSL fails.
std::string sha256_hex(std::string_view data);

// Returns the HMAC-SHA256 of the data as 64 lower-case hexadecimal digits. Throws std::runtime_error if
// OpenSSL fails.
std::string hmac_sha256_hex(std::string_view secret, std::string_view data);

// Returns whether the texts are equal. The time depends only on their lengths, so that it does not reveal how
// much of a guessed code matches.
bool equals_in_constant_time(std::string_view left, std::string_view right);

// Returns cryptographically secure random bytes as lower-case hexadecimal digits, two for each byte. Throws
// std::runtime_error if OpenSSL fails.
std::string random_hex(std::size_t byte_count);

} // namespace quetzalspan::core
