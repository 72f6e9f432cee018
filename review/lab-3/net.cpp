// Sockets, and the parsing and rendering of HTTP/1.1 messages.

#include "net.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lab
{

namespace
{

sockaddr_in to_address(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + host);
    }
    return address;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

// Parses the start line and the headers; the text ends with the empty line.
message parse_head(const std::string& text)
{
    message result;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (result.start_line.empty()) {
            result.start_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        result.headers[to_lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    std::istringstream words(result.start_line);
    std::string first;
    std::string second;
    words >> first >> second;
    if (first.starts_with("HTTP/")) {
        result.status = std::atoi(second.c_str());
    } else {
        result.method = first;
        result.target = second;
    }
    return result;
}

} // namespace

connection::~connection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

bool connection::receive_more()
{
    char part[16384];
    const ssize_t size = ::recv(m_socket, part, sizeof(part), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(part, static_cast<std::size_t>(size));
    return true;
}

std::optional<message> connection::read_message()
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive_more()) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    message result = parse_head(m_buffer.substr(0, end + 4));
    m_buffer.erase(0, end + 4);
    const header_map::const_iterator length = result.headers.find("content-length");
    const std::size_t size =
        length == result.headers.end() ? 0 : static_cast<std::size_t>(std::stoull(length->second));
    while (m_buffer.size() < size) {
        if (!receive_more()) {
            return std::nullopt;
        }
    }
    result.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return result;
}

bool connection::write_all(const std::string& text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void connection::set_read_timeout(int milliseconds) const
{
    timeval limit{};
    limit.tv_sec = milliseconds / 1000;
    limit.tv_usec = (milliseconds % 1000) * 1000;
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::close(m_socket);
    m_socket = -1;
}

int connect_to(const std::string& host, std::uint16_t port)
{
    const int result = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_address(host, port);
    if (::connect(result, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(result);
        return -1;
    }
    const int on = 1;
    ::setsockopt(result, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return result;
}

listener::listener(std::string host, std::uint16_t port, handler serve)
    : m_host(std::move(host)), m_port(port), m_serve(std::move(serve))
{
    come_back();
}

listener::~listener()
{
    go_away();
    while (m_serving > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void listener::come_back()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = to_address(m_host, m_port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(socket, 512) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen on " + m_host + ":" + std::to_string(m_port));
    }
    m_listening = socket;
    m_thread = std::thread([this, socket] { accept_all(socket); });
}

void listener::go_away()
{
    m_listening = -1;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const int open : m_open) {
        ::shutdown(open, SHUT_RDWR);
    }
}

void listener::accept_all(int socket)
{
    while (m_listening == socket) {
        pollfd waiting{socket, POLLIN, 0};
        if (::poll(&waiting, 1, 10) <= 0) {
            continue;
        }
        const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_open.insert(accepted);
        }
        ++m_serving;
        std::thread([this, accepted] {
            {
                connection served(accepted);
                m_serve(served);
                const std::lock_guard<std::mutex> guard(m_mutex);
                m_open.erase(accepted);
            }
            --m_serving;
        }).detach();
    }
    ::close(socket);
}

std::string make_response(int status, const header_map& headers, const std::string& body)
{
    std::string result = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        result += name + ": " + value + "\r\n";
    }
    return result + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string query_parameter(const std::string& target, const std::string& name)
{
    const std::size_t question = target.find('?');
    std::string rest = question == std::string::npos ? std::string() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, end);
        rest.erase(0, std::min(end + 1, rest.size()));
        if (!pair.starts_with(name + "=")) {
            continue;
        }
        std::string result;
        for (std::size_t index = name.size() + 1; index < pair.size(); ++index) {
            if (pair[index] == '%' && index + 2 < pair.size()) {
                result += static_cast<char>(std::stoi(pair.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                result += pair[index];
            }
        }
        return result;
    }
    return {};
}

} // namespace lab
