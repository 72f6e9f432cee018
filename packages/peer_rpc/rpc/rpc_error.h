// The exception for failed JSON-RPC calls between instances, and the JSON-RPC error codes. This header must
// compile as C++14, since the sources that use libjsonrpccpp include it.

#pragma once

#include <stdexcept>
#include <string>

namespace quetzalspan
{
namespace peer_rpc
{

// Why a call that got an HTTP response failed.
enum class rpc_failure {
    // The peer answered with an HTTP error before it parsed the request, for instance because the secret or
    // the receiver is wrong, or the request is too old or replayed.
    rejected,
    // The reply is not authenticated as the peer's reply to this request. Its content was ignored.
    unauthenticated_reply,
    // The reply is authentic, but is not a valid reply to the request.
    invalid_reply,
    // The reply is a JSON-RPC error.
    remote_error,
};

// Error codes defined by JSON-RPC 2.0.
constexpr int invalid_parameters_code = -32602;
constexpr int internal_error_code = -32603;
// Code of this protocol: the sender named in the message is not the authenticated sender.
constexpr int wrong_sender_code = -32001;

// Thrown on the calling side for a failed call, and by a method on the receiving side to reply with an error.
class rpc_error : public std::runtime_error
{
public:
    // The code is that of the JSON-RPC error, or 0 if there is none.
    rpc_error(rpc_failure kind, int code, const std::string& message)
        : std::runtime_error(message), m_kind(kind), m_code(code)
    {
    }

    rpc_failure kind() const { return m_kind; }
    int code() const { return m_code; }

private:
    rpc_failure m_kind;
    int m_code;
};

} // namespace peer_rpc
} // namespace quetzalspan
