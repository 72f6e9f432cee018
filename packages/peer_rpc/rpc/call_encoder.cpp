// Obtains the text of a call from the client of libjsonrpccpp, by a connector that captures it instead of
// sending it. Compiled as C++14.

#include "peer_rpc/rpc/call_encoder.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace quetzalspan
{
namespace peer_rpc
{

namespace
{

// Captures the request and returns an empty result. The library's client sends and receives synchronously in
// one call; this way Asio can send the request asynchronously.
class request_capture : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        m_message = message;
        result = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}";
    }

    const std::string& message() const { return m_message; }

private:
    std::string m_message;
};

} // namespace

std::string encode_call(const std::string& method, const Json::Value& parameters)
{
    request_capture connector;
    jsonrpc::Client client(connector);
    client.CallMethod(method, parameters);
    return connector.message();
}

} // namespace peer_rpc
} // namespace quetzalspan
