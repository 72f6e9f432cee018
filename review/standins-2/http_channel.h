// A blocking HTTP/1.1 channel for stand-ins: reads and writes whole messages on a socket.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review
{

using instant = std::chrono::steady_clock::time_point;

// The names of the fields are in lower case.
struct http_message {
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;

    // Returns the value of a field; empty if the message has no such field.
    std::string field(const std::string& name) const;
    // Returns the word of the start line at this position, from 0; empty if there is none.
    std::string word(std::size_t position) const;
};

// Owns a connected socket. Not thread-safe.
class http_channel
{
public:
    explicit http_channel(int descriptor) : m_descriptor(descriptor) {}
    ~http_channel();

    http_channel(http_channel&& other) noexcept;
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    // Connects to a numeric IPv4 address. Returns no value if that fails.
    static std::optional<http_channel> connect(const std::string& host, std::uint16_t port);

    // Reads a message with Content-Length or without a body. Returns no value if the channel ends before the
    // message does, or if the deadline passes.
    std::optional<http_message> read(instant deadline);
    // Writes all bytes. Returns whether it could.
    bool write(const std::string& text);

private:
    bool fill(instant deadline);

    int m_descriptor;
    std::string m_received;
};

// A listening socket on a free port of a loopback address.
class http_listener
{
public:
    explicit http_listener(const std::string& host);

    // Waits for the next channel.
    http_channel accept() const;
    std::uint16_t port() const { return m_port; }

private:
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
};

} // namespace review
