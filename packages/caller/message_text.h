// Renders HTTP headers, and the lines that frame the chunks of a chunked body, as text.

#pragma once

#include <boost/beast/http/message.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace quetzalspan::caller
{

// Appends the start line, the fields and the empty line that ends the header.
void append_header_text(std::string& text, const boost::beast::http::request_header<>& header);
void append_header_text(std::string& text, const boost::beast::http::response_header<>& header);

// The line before the data of a chunk, which gives the size of the data in hexadecimal digits.
class chunk_size_line
{
public:
    // The size in bytes must be above zero, because a chunk of size zero ends the body.
    explicit chunk_size_line(std::size_t size);

    std::string_view text() const { return {m_text.data(), m_size}; }

private:
    // Up to 16 hexadecimal digits, CR and LF.
    std::array<char, 18> m_text{};
    std::size_t m_size = 0;
};

inline constexpr std::string_view chunk_end = "\r\n";
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace quetzalspan::caller
