// Dispatches JSON-RPC 2.0 requests to methods with libjsonrpccpp. The library's headers do not compile as
// C++17, so the source file is compiled as C++14, and this header must compile as C++14 and not include them.

#pragma once

#include <json/json.h>

#include <functional>
#include <map>
#include <string>

namespace quetzalspan
{
namespace peer_rpc
{

// Thread-safe once all methods are added. No lock is held while a method runs.
class dispatcher
{
public:
    // Takes the parameters and the authenticated sender, and returns the result. An rpc_error thrown by a
    // method becomes an error response with its code and message, any other exception an internal error.
    using method = std::function<Json::Value(const Json::Value& parameters, const std::string& sender)>;

    void add_method(const std::string& name, method handler);

    // Returns the JSON-RPC response to the text of a request; text that is not a valid request gets an error
    // response. If the response is an error, on_error is called with its message.
    std::string dispatch(const std::string& request, const std::string& sender,
                         const std::function<void(const std::string&)>& on_error) const;

private:
    std::map<std::string, method> m_methods;
};

} // namespace peer_rpc
} // namespace quetzalspan
