// Formats, parses and verifies the authentication header. The fields of a request are the scheme, the time in
// milliseconds since the epoch, the nonce, the sender, the receiver and the MAC; those of a reply are the
// scheme, the sender and the MAC.

#include "peer_rpc/message_authenticator.h"

#include "core/digest.h"

#include <charconv>
#include <stdexcept>
#include <vector>

namespace quetzalspan::peer_rpc
{

namespace
{

constexpr std::string_view scheme = "1";
constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_header_bytes = 1024;
constexpr std::size_t min_nonce_characters = 16;

// Returns whether the text can be a field: fields are separated by single spaces in the header and by
// newlines in the input of the HMAC, so a field with such a character could be taken for two.
bool is_valid_field(std::string_view text)
{
    for (const char character : text) {
        if (character <= ' ' || character == 0x7f) {
            return false;
        }
    }
    return !text.empty();
}

std::vector<std::string> split_at_spaces(std::string_view text)
{
    std::vector<std::string> fields;
    while (true) {
        const std::size_t end = text.find(' ');
        fields.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return fields;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<core::wall_time> parse_time(const std::string& text)
{
    std::int64_t milliseconds = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    // The bound keeps the difference of two times, in milliseconds, from overflowing.
    const bool is_valid = result.ec == std::errc() && result.ptr == text.data() + text.size() &&
                          milliseconds >= 0 && milliseconds < (std::int64_t(1) << 45);
    if (!is_valid) {
        return std::nullopt;
    }
    return core::wall_time(std::chrono::milliseconds(milliseconds));
}

std::string format_time(core::wall_time time)
{
    return std::to_string(time.time_since_epoch().count());
}

std::optional<request_credentials> parse_credentials(const std::optional<std::string>& header)
{
    if (!header || header->size() > max_header_bytes) {
        return std::nullopt;
    }
    const std::vector<std::string> fields = split_at_spaces(*header);
    if (fields.size() != 6 || fields[0] != scheme) {
        return std::nullopt;
    }
    for (const std::string& field : fields) {
        if (!is_valid_field(field)) {
            return std::nullopt;
        }
    }
    const std::optional<core::wall_time> time = parse_time(fields[1]);
    if (!time || format_time(*time) != fields[1] || fields[2].size() < min_nonce_characters) {
        return std::nullopt;
    }
    return request_credentials{*time, fields[2], fields[3], fields[4], fields[5]};
}

} // namespace

message_authenticator::message_authenticator(std::string secret, authentication_options options)
    : m_secret(std::move(secret)),
      m_options(options),
      // The time of a request can be up to the tolerance in the future, and the request expires when that
      // time is as far in the past. Its nonce must be remembered for both.
      m_replay_guard(2 * options.time_tolerance, options.nonce_limit)
{
    if (m_secret.size() < min_secret_bytes) {
        throw std::invalid_argument("the shared secret must have at least 16 bytes");
    }
}

std::string message_authenticator::sign_request(core::wall_time now, const std::string& nonce,
                                                const std::string& sender, const std::string& receiver,
                                                std::string_view body) const
{
    if (!is_valid_field(sender) || !is_valid_field(receiver) || !is_valid_field(nonce)) {
        throw std::invalid_argument(
            "member ids and nonces must not be empty or have spaces or control characters");
    }
    const request_credentials credentials{now, nonce, sender, receiver, {}};
    return std::string(scheme) + " " + format_time(now) + " " + nonce + " " + sender + " " + receiver + " " +
           request_mac(credentials, body);
}

authentication_result message_authenticator::verify_request(const std::optional<std::string>& header,
                                                            std::string_view body,
                                                            const std::string& receiver, core::wall_time now)
{
    const std::optional<request_credentials> credentials = parse_credentials(header);
    if (!credentials) {
        return {authentication_verdict::malformed, {}};
    }
    // The MAC is verified first, since no other field can be trusted before.
    if (!core::equals_in_constant_time(request_mac(*credentials, body), credentials->mac)) {
        return {authentication_verdict::wrong_mac, {}};
    }
    if (credentials->receiver != receiver && credentials->receiver != any_receiver) {
        return {authentication_verdict::wrong_receiver, {}};
    }
    const core::duration difference =
        now > credentials->time ? now - credentials->time : credentials->time - now;
    if (difference >= m_options.time_tolerance) {
        return {authentication_verdict::time_out_of_range, {}};
    }
    switch (m_replay_guard.check_and_insert(credentials->nonce, now)) {
    case nonce_verdict::fresh:
        return {authentication_verdict::accepted, *credentials};
    case nonce_verdict::reused:
        return {authentication_verdict::replayed, {}};
    case nonce_verdict::limit_reached:
        break;
    }
    return {authentication_verdict::overloaded, {}};
}

std::string message_authenticator::sign_reply(const std::string& request_nonce, const std::string& sender,
                                              std::string_view body) const
{
    return std::string(scheme) + " " + sender + " " + reply_mac(request_nonce, sender, body);
}

bool message_authenticator::is_authentic_reply(const std::optional<std::string>& header,
                                               std::string_view body, const std::string& request_nonce,
                                               std::string_view sender) const
{
    if (!header || header->size() > max_header_bytes) {
        return false;
    }
    const std::vector<std::string> fields = split_at_spaces(*header);
    if (fields.size() != 3 || fields[0] != scheme || !is_valid_field(fields[1])) {
        return false;
    }
    if (sender != any_receiver && fields[1] != sender) {
        return false;
    }
    return core::equals_in_constant_time(reply_mac(request_nonce, fields[1], body), fields[2]);
}

// The input of the HMAC begins with the kind of message, so that a request cannot be sent back as a reply or
// a reply as a request.
std::string message_authenticator::request_mac(const request_credentials& credentials,
                                               std::string_view body) const
{
    std::string input = "request\n" + format_time(credentials.time) + "\n" + credentials.nonce + "\n" +
                        credentials.sender + "\n" + credentials.receiver + "\n";
    input += body;
    return core::hmac_sha256_hex(m_secret, input);
}

std::string message_authenticator::reply_mac(std::string_view request_nonce, std::string_view sender,
                                             std::string_view body) const
{
    std::string input = "reply\n";
    input.append(request_nonce).append("\n").append(sender).append("\n").append(body);
    return core::hmac_sha256_hex(m_secret, input);
}

} // namespace quetzalspan::peer_rpc
