// Authenticates the HTTP messages between instances with HMAC-SHA256 under a shared secret, and detects
// replayed requests by their time and nonce.

#pragma once

#include "core/name_table.h"
#include "core/time.h"
#include "peer_rpc/replay_guard.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::peer_rpc
{

// HTTP header that carries the credentials of a request or the authentication of a reply.
inline constexpr std::string_view authentication_header = "Quetzal-Authentication";

// Stands for the receiver's member id in a request whose sender does not know that id yet.
inline constexpr std::string_view any_receiver = "*";

enum class authentication_verdict {
    accepted,
    // The header is missing or not well-formed.
    malformed,
    // The message authentication code does not match: the secret differs, or the content was altered.
    wrong_mac,
    // The request is addressed to another member.
    wrong_receiver,
    // The time in the request is too far in the past or in the future.
    time_out_of_range,
    // A request with the same nonce was accepted before.
    replayed,
    // The limit of remembered nonces is reached, so a replay could not be detected.
    overloaded,
};

inline constexpr core::name_table authentication_verdict_names{
    std::array<core::named_value<authentication_verdict>, 7>{{
        {authentication_verdict::accepted, "accepted"},
        {authentication_verdict::malformed, "malformed"},
        {authentication_verdict::wrong_mac, "wrong-code"},
        {authentication_verdict::wrong_receiver, "wrong-receiver"},
        {authentication_verdict::time_out_of_range, "out-of-time"},
        {authentication_verdict::replayed, "replayed"},
        {authentication_verdict::overloaded, "overloaded"},
    }}};

// The content of the authentication header of a request. The MAC covers all other fields and the body.
struct request_credentials {
    core::wall_time time;
    std::string nonce;
    // Member ids. The receiver may be any_receiver.
    std::string sender;
    std::string receiver;
    // HMAC-SHA256 in hexadecimal digits.
    std::string mac;
};

struct authentication_result {
    authentication_verdict verdict = authentication_verdict::malformed;
    // Set only if the verdict is accepted.
    request_credentials credentials;
};

struct authentication_options {
    // A request is accepted only if its time differs from the receiver's clock by less than this. It must
    // cover the clock skew between instances plus the transit time.
    core::duration time_tolerance = std::chrono::seconds(10);
    // Largest number of requests accepted per retention time of their nonces, which is twice the tolerance:
    // 5,000 requests per second for 20 s.
    std::size_t nonce_limit = 100'000;
};

// Signs and verifies requests and replies. Thread-safe.
class message_authenticator
{
public:
    // Throws std::invalid_argument if the secret is shorter than 16 bytes.
    explicit message_authenticator(std::string secret, authentication_options options = {});

    // Returns the header value of a request. Throws std::invalid_argument if the nonce or a member id is
    // empty or has a space or a control character.
    std::string sign_request(core::wall_time now, const std::string& nonce, const std::string& sender,
                             const std::string& receiver, std::string_view body) const;

    // Verifies a request on behalf of the member with the id given as receiver. The nonce of an accepted
    // request is remembered, so that the same request is not accepted again.
    authentication_result verify_request(const std::optional<std::string>& header, std::string_view body,
                                         const std::string& receiver, core::wall_time now);

    // Returns the header value of the reply to the request with this nonce.
    std::string sign_reply(const std::string& request_nonce, const std::string& sender,
                           std::string_view body) const;

    // Returns whether the reply answers the request with this nonce and was sent by this member, or by any
    // member if the sender is any_receiver.
    bool is_authentic_reply(const std::optional<std::string>& header, std::string_view body,
                            const std::string& request_nonce, std::string_view sender) const;

private:
    std::string request_mac(const request_credentials& credentials, std::string_view body) const;
    std::string reply_mac(std::string_view request_nonce, std::string_view sender,
                          std::string_view body) const;

    std::string m_secret;
    authentication_options m_options;
    replay_guard m_replay_guard;
};

} // namespace quetzalspan::peer_rpc
