// Authenticates and dispatches the messages of other instances, and checks that the sender named in a message
// is the authenticated one.

#include "peer_rpc/peer_server.h"

#include "core/findings.h"
#include "core/log_event.h"
#include "peer_rpc/message_codec.h"
#include "peer_rpc/method_names.h"
#include "peer_rpc/rpc/rpc_error.h"

namespace quetzalspan::peer_rpc
{

namespace asio = boost::asio;

namespace
{

// 2 MB for a configuration of 1 MB as an escaped JSON string, and 64 KB for the rest of the message.
constexpr std::uint64_t body_limit_bytes = 2 * 1024 * 1024 + 64 * 1024;
// Bounds the error reply to a message with thousands of findings.
constexpr std::size_t max_error_bytes = 2000;

template <typename Message>
Message read_parameters(const Json::Value& parameters)
{
    try {
        return from_json<Message>(parameters);
    } catch (const core::findings_error& error) {
        throw rpc_error(rpc_failure::remote_error, invalid_parameters_code,
                        std::string(error.what()).substr(0, max_error_bytes));
    }
}

void check_sender(const std::string& claimed, const std::string& authenticated)
{
    if (claimed != authenticated) {
        throw rpc_error(rpc_failure::remote_error, wrong_sender_code,
                        "the sender named in the message differs from the authenticated sender");
    }
}

} // namespace

peer_server::peer_server(std::string member_id, std::shared_ptr<message_authenticator> authenticator,
                         peer_server_hooks hooks)
    : m_member_id(std::move(member_id)), m_authenticator(std::move(authenticator)), m_hooks(std::move(hooks))
{
    add_methods();
}

std::shared_ptr<peer_server> peer_server::create(std::string member_id,
                                                 std::shared_ptr<message_authenticator> authenticator,
                                                 peer_server_hooks hooks)
{
    return std::shared_ptr<peer_server>(
        new peer_server(std::move(member_id), std::move(authenticator), std::move(hooks)));
}

void peer_server::add_methods()
{
    using value = Json::Value;
    using text = std::string;
    m_dispatcher.add_method(heartbeat_method, [this](const value& parameters, const text& sender) {
        const heartbeat message = read_parameters<heartbeat>(parameters);
        check_sender(message.sender.id, sender);
        return to_json(m_hooks.heartbeat(message));
    });
    m_dispatcher.add_method(get_configuration_method, [this](const value& parameters, const text&) {
        return to_json(m_hooks.get_configuration(read_parameters<configuration_request>(parameters)));
    });
    m_dispatcher.add_method(request_share_method, [this](const value& parameters, const text& sender) {
        const allowance::share_request message = read_parameters<allowance::share_request>(parameters);
        check_sender(message.id.requester, sender);
        return to_json(m_hooks.request_share(message));
    });
    m_dispatcher.add_method(acknowledge_grant_method, [this](const value& parameters, const text& sender) {
        const allowance::grant_acknowledgement message =
            read_parameters<allowance::grant_acknowledgement>(parameters);
        check_sender(message.id.requester, sender);
        m_hooks.acknowledge_grant(message);
        return to_json(message);
    });
    m_dispatcher.add_method(hand_over_method, [this](const value& parameters, const text& sender) {
        const allowance::share_offer message = read_parameters<allowance::share_offer>(parameters);
        // The requester is this member if an unacknowledged grant is resent as an offer.
        if (message.id.requester != member_id()) {
            check_sender(message.id.requester, sender);
        }
        return to_json(allowance::grant_acknowledgement{message.id, m_hooks.hand_over(sender, message)});
    });
}

void peer_server::set_member_id(const std::string& member_id)
{
    const std::lock_guard<std::mutex> guard(m_id_mutex);
    m_member_id = member_id;
}

std::string peer_server::member_id() const
{
    const std::lock_guard<std::mutex> guard(m_id_mutex);
    return m_member_id;
}

http::response peer_server::handle(const http::request& request)
{
    ++m_message_count;
    if (request.target != rpc_path) {
        return reject(404, "no-such-resource");
    }
    if (request.method != "POST") {
        return reject(405, "wrong-method");
    }
    const std::string own_id = member_id();
    const authentication_result result = m_authenticator->verify_request(
        http::find_header(request.headers, authentication_header), request.body, own_id, m_hooks.now());
    if (result.verdict != authentication_verdict::accepted) {
        return reject(401, authentication_verdict_names.name(result.verdict));
    }
    // A sender that does not know this member's id may only call get_configuration, which does not check the
    // sender. The checks of the other methods fail, since messages do not name any_receiver as their sender.
    const bool is_known_receiver = result.credentials.receiver != any_receiver;
    const std::string sender = is_known_receiver ? result.credentials.sender : std::string(any_receiver);
    http::response response;
    response.body = m_dispatcher.dispatch(request.body, sender, [this, &result](const std::string& error) {
        ++m_failed_count;
        core::warning_event("peer_message_failed")
            .with("sender", result.credentials.sender)
            .with("error", error);
    });
    response.headers.push_back(
        {std::string(authentication_header),
         m_authenticator->sign_reply(result.credentials.nonce, own_id, response.body)});
    return response;
}

http::request_handler peer_server::make_handler()
{
    const std::shared_ptr<peer_server> self = shared_from_this();
    return
        [self](http::request request) -> asio::awaitable<http::response> { co_return self->handle(request); };
}

http::server_options peer_server::http_server_options()
{
    http::server_options options;
    options.body_limit_bytes = body_limit_bytes;
    return options;
}

peer_server_statistics peer_server::statistics() const
{
    return {m_message_count.load(), m_rejected_count.load(), m_failed_count.load()};
}

http::response peer_server::reject(unsigned status, std::string_view reason)
{
    ++m_rejected_count;
    core::warning_event("peer_message_rejected").with("status", status).with("reason", reason);
    http::response response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = std::string(reason) + "\n";
    return response;
}

} // namespace quetzalspan::peer_rpc
