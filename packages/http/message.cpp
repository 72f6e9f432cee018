// Looks up headers, and parses and encodes request targets with Boost.URL.

#include "http/message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url.hpp>
#include <boost/url/src.hpp>

#include <stdexcept>

namespace quetzalspan::http
{

std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name)
{
    for (const header& entry : headers) {
        if (boost::beast::iequals(entry.name, name)) {
            return entry.value;
        }
    }
    return std::nullopt;
}

target target::create(std::string_view text)
{
    const boost::urls::result<boost::urls::url_view> parsed = boost::urls::parse_origin_form(text);
    if (!parsed) {
        throw std::invalid_argument("the request target is not a path with query");
    }
    target result;
    result.m_path = parsed->path();
    for (const boost::urls::param& parameter : parsed->params()) {
        result.m_parameters.push_back({parameter.key, parameter.value});
    }
    return result;
}

std::optional<std::string> target::find_parameter(std::string_view name) const
{
    for (const header& parameter : m_parameters) {
        if (parameter.name == name) {
            return parameter.value;
        }
    }
    return std::nullopt;
}

std::string encode_parameter(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace quetzalspan::http
