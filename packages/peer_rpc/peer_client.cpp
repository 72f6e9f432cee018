// Encodes calls with libjsonrpccpp, sends them over HTTP with Asio, and checks that a reply is authentic and
// belongs to its call.

#include "peer_rpc/peer_client.h"

#include "core/digest.h"
#include "core/findings.h"
#include "peer_rpc/message_codec.h"
#include "peer_rpc/method_names.h"
#include "peer_rpc/response_decoder.h"
#include "peer_rpc/rpc/call_encoder.h"

namespace quetzalspan::peer_rpc
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t nonce_bytes = 16;
// A configuration of 1 MB can take up to 2 MB as an escaped JSON string; 64 KB are left for the rest of the
// reply.
constexpr std::uint64_t reply_limit_bytes = 2 * 1024 * 1024 + 64 * 1024;

template <typename Message>
Message decode_reply(const Json::Value& result)
{
    try {
        return from_json<Message>(result);
    } catch (const core::findings_error& error) {
        throw rpc_error(rpc_failure::invalid_reply, 0, error.what());
    }
}

void check_same_transfer(const allowance::transfer_id& sent, const allowance::transfer_id& received)
{
    if (!(sent == received)) {
        throw rpc_error(rpc_failure::invalid_reply, 0, "the reply belongs to another transfer");
    }
}

} // namespace

peer_client::peer_client(asio::any_io_executor executor, peer_address peer,
                         std::shared_ptr<message_authenticator> authenticator, peer_client_options options)
    : m_peer(std::move(peer)),
      m_authenticator(std::move(authenticator)),
      m_options(std::move(options)),
      m_client(std::move(executor), m_peer.host, m_peer.port, http::client_options{reply_limit_bytes})
{
}

asio::awaitable<heartbeat_reply> peer_client::send_heartbeat(heartbeat message)
{
    const Json::Value result = co_await call(heartbeat_method, to_json(message));
    heartbeat_reply reply = decode_reply<heartbeat_reply>(result);
    if (reply.receiver.sender.id != m_peer.member_id) {
        throw rpc_error(rpc_failure::invalid_reply, 0,
                        "the heartbeat reply describes another member than the one called");
    }
    co_return reply;
}

asio::awaitable<configuration_reply> peer_client::get_configuration(configuration_request message)
{
    const Json::Value result = co_await call(get_configuration_method, to_json(message));
    co_return decode_reply<configuration_reply>(result);
}

asio::awaitable<allowance::share_grant> peer_client::request_share(allowance::share_request message)
{
    const Json::Value result = co_await call(request_share_method, to_json(message));
    allowance::share_grant reply = decode_reply<allowance::share_grant>(result);
    check_same_transfer(message.id, reply.id);
    co_return reply;
}

asio::awaitable<void> peer_client::acknowledge_grant(allowance::grant_acknowledgement message)
{
    const Json::Value result = co_await call(acknowledge_grant_method, to_json(message));
    check_same_transfer(message.id, decode_reply<allowance::grant_acknowledgement>(result).id);
}

asio::awaitable<allowance::grant_acknowledgement> peer_client::hand_over(allowance::share_offer message)
{
    const Json::Value result = co_await call(hand_over_method, to_json(message));
    allowance::grant_acknowledgement reply = decode_reply<allowance::grant_acknowledgement>(result);
    check_same_transfer(message.id, reply.id);
    co_return reply;
}

asio::awaitable<Json::Value> peer_client::call(const char* method, Json::Value parameters)
{
    http::request request;
    request.method = "POST";
    request.target = rpc_path;
    request.body = encode_call(method, parameters);
    const std::string nonce = core::random_hex(nonce_bytes);
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({std::string(authentication_header),
                               m_authenticator->sign_request(m_options.now(), nonce, m_options.own_id,
                                                             m_peer.member_id, request.body)});
    const http::response response = co_await m_client.send(std::move(request), m_options.timeout);
    if (response.status != 200) {
        throw rpc_error(rpc_failure::rejected, 0,
                        "status " + std::to_string(response.status) + ": " + response.body);
    }
    const std::optional<std::string> header = http::find_header(response.headers, authentication_header);
    if (!m_authenticator->is_authentic_reply(header, response.body, nonce, m_peer.member_id)) {
        throw rpc_error(rpc_failure::unauthenticated_reply, 0,
                        "the authentication of the reply is missing or does not match");
    }
    co_return decode_response(response.body);
}

} // namespace quetzalspan::peer_rpc
