// Computes digests with OpenSSL's EVP and HMAC functions and random bytes with its generator.

#include "core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <stdexcept>
#include <vector>

namespace quetzalspan::core
{

namespace
{

std::string to_hex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view hex_digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL could not compute the SHA-256 digest");
    }
    return to_hex(std::span(digest).first(size));
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int size = 0;
    const unsigned char* input = reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), input, data.size(), mac.data(),
             &size) == nullptr) {
        throw std::runtime_error("OpenSSL could not compute the HMAC-SHA256");
    }
    return to_hex(std::span(mac).first(size));
}

bool equals_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t byte_count)
{
    std::vector<unsigned char> buffer(byte_count);
    if (RAND_bytes(buffer.data(), static_cast<int>(byte_count)) != 1) {
        throw std::runtime_error("OpenSSL could not generate random bytes");
    }
    return to_hex(buffer);
}

} // namespace quetzalspan::core
