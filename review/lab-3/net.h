// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the third review.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace lab
{

// Header names are in lower case.
using header_map = std::map<std::string, std::string>;

struct message {
    // The request line or the status line.
    std::string start_line;
    header_map headers;
    std::string body;

    // The parts of a request line; empty in responses.
    std::string method;
    std::string target;
    // 0 in requests.
    int status = 0;
};

// One connection. Reads whole messages; bytes that follow a message are kept for the next one.
class connection
{
public:
    explicit connection(int socket) : m_socket(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Returns nothing if the connection ends or fails before a complete message.
    std::optional<message> read_message();
    bool write_all(const std::string& text) const;
    void set_read_timeout(int milliseconds) const;
    // Closes with a reset instead of an ordinary end.
    void reset();
    int socket() const { return m_socket; }

private:
    bool receive_more();

    int m_socket = -1;
    std::string m_buffer;
};

// Returns -1 if the connection cannot be opened in a second.
int connect_to(const std::string& host, std::uint16_t port);

// Accepts connections on a thread of its own, and serves each on another one.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(std::string host, std::uint16_t port, handler serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    // Closes the listening socket and all connections; the address then refuses connections.
    void go_away();
    // Listens again.
    void come_back();

private:
    void accept_all(int socket);

    std::string m_host;
    std::uint16_t m_port = 0;
    handler m_serve;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_listening{-1};
    std::atomic<int> m_serving{0};
    std::thread m_thread;
};

std::string make_response(int status, const header_map& headers, const std::string& body);

// Returns the parameter of a target's query, with percent-encoding decoded; empty if it is absent.
std::string query_parameter(const std::string& target, const std::string& name);

} // namespace lab
