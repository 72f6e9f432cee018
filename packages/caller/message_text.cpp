// Renders headers with the field writer of Boost.Beast, and formats chunk sizes.

#include "caller/message_text.h"

#include "core/check.h"

#include <boost/beast/core/buffers_range.hpp>

#include <charconv>

namespace quetzalspan::caller
{

namespace http = boost::beast::http;

namespace
{

// Uses the writer that is also behind Beast's serializer. The serializer itself takes a whole message, for
// which the fields would have to be copied.
void append_text(std::string& text, const http::fields::writer& writer)
{
    const http::fields::writer::const_buffers_type buffers = writer.get();
    for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
    }
}

} // namespace

void append_header_text(std::string& text, const http::request_header<>& header)
{
    append_text(text, http::fields::writer(header, header.version(), header.method()));
}

void append_header_text(std::string& text, const http::response_header<>& header)
{
    append_text(text, http::fields::writer(header, header.version(), header.result_int()));
}

chunk_size_line::chunk_size_line(std::size_t size)
{
    core::check(size > 0, "chunk size must be above zero");
    char* const end =
        std::to_chars(m_text.data(), m_text.data() + m_text.size() - chunk_end.size(), size, 16).ptr;
    chunk_end.copy(end, chunk_end.size());
    m_size = static_cast<std::size_t>(end - m_text.data()) + chunk_end.size();
}

} // namespace quetzalspan::caller
