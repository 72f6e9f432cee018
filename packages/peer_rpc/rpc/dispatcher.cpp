// Parses requests and calls the methods with the protocol handler of libjsonrpccpp. Requests that the handler
// cannot process get an error response. Compiled as C++14.

#include "peer_rpc/rpc/dispatcher.h"

#include "peer_rpc/rpc/rpc_error.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <memory>

namespace quetzalspan
{
namespace peer_rpc
{

namespace
{

// Passes one request to the library's handler and captures the response.
class response_capture : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& response, void*) override
    {
        m_response = response;
        return true;
    }

    const std::string& response() const { return m_response; }

private:
    std::string m_response;
};

// Calls the method that the library has selected for one request.
class method_invoker : public jsonrpc::IProcedureInvokationHandler
{
public:
    method_invoker(const std::map<std::string, dispatcher::method>& methods, const std::string& sender)
        : m_methods(methods), m_sender(sender)
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        try {
            output = m_methods.at(procedure.GetProcedureName())(input, m_sender);
        } catch (const rpc_error& error) {
            throw jsonrpc::JsonRpcException(error.code(), error.what());
        } catch (const std::exception& error) {
            throw jsonrpc::JsonRpcException(internal_error_code, error.what());
        }
    }

    // Never called: no procedure is declared as a notification, so the library rejects notifications.
    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

private:
    const std::map<std::string, dispatcher::method>& m_methods;
    const std::string& m_sender;
};

// Returns an error response without an id. The codes of JSON-RPC 2.0 are -32600 for an invalid request and
// -32700 for a text that cannot be parsed.
std::string error_response(int code, const std::string& message)
{
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = Json::Value(Json::nullValue);
    response["error"]["code"] = code;
    response["error"]["message"] = message;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, response);
}

// Returns the message of the error in a response, or an empty string if the response has no error.
std::string find_error_message(const std::string& response)
{
    // Avoids parsing responses with a result. A string in the result that contains the word does not match,
    // since its quotes are escaped.
    if (response.find("\"error\"") == std::string::npos) {
        return std::string();
    }
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
    const bool is_json = parser->parse(response.data(), response.data() + response.size(), &value, nullptr);
    if (!is_json || !value.isObject() || !value["error"].isObject()) {
        return std::string();
    }
    return value["error"]["message"].asString();
}

} // namespace

void dispatcher::add_method(const std::string& name, method handler)
{
    m_methods[name] = std::move(handler);
}

std::string dispatcher::dispatch(const std::string& request, const std::string& sender,
                                 const std::function<void(const std::string&)>& on_error) const
{
    // Each request has a handler of its own, so that concurrent requests share no mutable state.
    method_invoker invoker(m_methods, sender);
    const std::unique_ptr<jsonrpc::IProtocolHandler> handler(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, invoker));
    for (const std::pair<const std::string, method>& entry : m_methods) {
        handler->AddProcedure(
            jsonrpc::Procedure(entry.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }
    response_capture connector;
    connector.SetHandler(handler.get());
    std::string response;
    try {
        // Batches are not supported, since one message could then carry any number of calls.
        if (request.empty() || request[0] != '{') {
            response = error_response(-32600, "the request is not a JSON object");
        } else {
            connector.OnRequest(request);
            response = connector.response();
        }
    } catch (const std::exception& error) {
        // The library's parser throws on some malformed texts, such as deeply nested ones, instead of
        // returning an error response.
        response = error_response(-32700, error.what());
    }
    if (response.empty()) {
        response = error_response(-32600, "the request expects no response");
    }
    const std::string message = find_error_message(response);
    if (!message.empty()) {
        on_error(message);
    }
    return response;
}

} // namespace peer_rpc
} // namespace quetzalspan
