// HTTP requests and responses that are held in memory as a whole, for the control interfaces. Proxied
// requests are streamed instead.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::http
{

struct header {
    std::string name;
    std::string value;
};

struct request {
    std::string method = "GET";
    // Path and query, percent-encoded.
    std::string target = "/";
    std::vector<header> headers;
    std::string body;
};

struct response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<header> headers;
    std::string body;
    // Makes the server close the connection instead of sending the response. Stand-ins for other services use
    // this to simulate lost responses.
    bool close_without_response = false;
};

// Returns the value of the first header with this name, compared case-insensitively, or std::nullopt if there
// is none.
std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name);

// The decoded path and query parameters of a request target.
class target
{
public:
    // Parses a target in origin form: an absolute path with an optional query. Throws std::invalid_argument
    // if the text is anything else.
    static target create(std::string_view text);

    const std::string& path() const { return m_path; }
    // Returns the decoded value of the first query parameter with this name, or std::nullopt if there is
    // none.
    std::optional<std::string> find_parameter(std::string_view name) const;

private:
    target() = default;

    std::string m_path;
    std::vector<header> m_parameters;
};

// Returns the text with every character percent-encoded that is not unreserved in RFC 3986, so that it can
// stand as a query value.
std::string encode_parameter(std::string_view text);

} // namespace quetzalspan::http
