// The sockets behind the HTTP channels of the stand-ins.

#include "http_channel.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t read_size_bytes = 64 * 1024;
constexpr int backlog = 128;

std::string trim(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

sockaddr_in to_address(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::invalid_argument("not a numeric address: " + host);
    }
    return address;
}

http_message parse_header(const std::string& text)
{
    http_message result;
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, line);
    result.start_line = trim(line);
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char character) { return std::tolower(character); });
            result.fields[name] = trim(line.substr(colon + 1));
        }
    }
    return result;
}

} // namespace

std::string http_message::field(const std::string& name) const
{
    const std::map<std::string, std::string>::const_iterator found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string http_message::word(std::size_t position) const
{
    std::istringstream words(start_line);
    std::string result;
    for (std::size_t index = 0; index <= position; ++index) {
        result.clear();
        words >> result;
    }
    return result;
}

http_channel::~http_channel()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

http_channel::http_channel(http_channel&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_received(std::move(other.m_received))
{
}

std::optional<http_channel> http_channel::connect(const std::string& host, std::uint16_t port)
{
    http_channel result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = to_address(host, port);
    if (::connect(result.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        return std::nullopt;
    }
    const int enabled = 1;
    ::setsockopt(result.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return result;
}

bool http_channel::fill(instant deadline)
{
    const std::chrono::milliseconds left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd readable{m_descriptor, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::string part(read_size_bytes, '\0');
    const ssize_t size = ::recv(m_descriptor, part.data(), part.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_received.append(part, 0, static_cast<std::size_t>(size));
    return true;
}

std::optional<http_message> http_channel::read(instant deadline)
{
    const std::string terminator = "\r\n\r\n";
    while (m_received.find(terminator) == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    const std::size_t header_size = m_received.find(terminator) + terminator.size();
    http_message result = parse_header(m_received.substr(0, header_size));
    const std::string length = result.field("content-length");
    const std::size_t body_size = length.empty() ? 0 : std::stoul(length);
    while (m_received.size() < header_size + body_size) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    result.body = m_received.substr(header_size, body_size);
    m_received.erase(0, header_size + body_size);
    return result;
}

bool http_channel::write(const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t size = ::send(m_descriptor, text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

http_listener::http_listener(const std::string& host)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = to_address(host, 0);
    socklen_t size = sizeof(address);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(m_descriptor, backlog) != 0 ||
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on " + host);
    }
    m_port = ntohs(address.sin_port);
}

http_channel http_listener::accept() const
{
    while (true) {
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
            const int enabled = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            return http_channel(accepted);
        }
    }
}

} // namespace review
