// The stand-ins and the launcher of instances.

#include "world.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

const steady::time_point script_start = steady::now();
std::mutex record_mutex;
std::FILE* record_file = nullptr;

bool equals_ignoring_case(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string trim(std::string text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.erase(text.begin());
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

std::string encode_base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << 8U) | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            result += index <= count ? digits[(group >> (18 - 6 * index)) & 63U] : '=';
        }
    }
    return result;
}

std::string decode_base64(const std::string& text)
{
    std::string result;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        int value = 0;
        if (digit >= 'A' && digit <= 'Z') {
            value = digit - 'A';
        } else if (digit >= 'a' && digit <= 'z') {
            value = digit - 'a' + 26;
        } else if (digit >= '0' && digit <= '9') {
            value = digit - '0' + 52;
        } else if (digit == '+') {
            value = 62;
        } else if (digit == '/') {
            value = 63;
        } else {
            continue;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>((group >> bits) & 255U);
        }
    }
    return result;
}

std::string quote(const std::string& text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            char code[8];
            std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned char>(character));
            result += code;
        } else {
            result += character;
        }
    }
    return result + "\"";
}

std::string decode_parameter(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            result += text[at] == '+' ? ' ' : text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> result;
    const std::size_t begin = target.find('?');
    std::istringstream parts(begin == std::string::npos ? "" : target.substr(begin + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        result[part.substr(0, equals)] =
            equals == std::string::npos ? "" : decode_parameter(part.substr(equals + 1));
    }
    return result;
}

// Returns the value of a member in JSON that the project writes: flat enough for a search by name.
std::string find_json(const std::string& text, const std::string& name, std::size_t from = 0)
{
    const std::size_t at = text.find("\"" + name + "\"", from);
    if (at == std::string::npos) {
        return {};
    }
    std::size_t begin = text.find(':', at) + 1;
    while (begin < text.size() && text[begin] == ' ') {
        ++begin;
    }
    if (begin < text.size() && text[begin] == '"') {
        const std::size_t end = text.find('"', begin + 1);
        return text.substr(begin + 1, end - begin - 1);
    }
    const std::size_t end = text.find_first_of(",}]", begin);
    return text.substr(begin, end - begin);
}

std::uint64_t to_number(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - script_start).count();
}

void sleep_ms(std::int64_t time)
{
    if (time > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
    }
}

void open_record(const std::string& path)
{
    record_file = std::fopen(path.c_str(), "w");
}

void record(const std::string& line)
{
    const std::lock_guard<std::mutex> guard(record_mutex);
    const std::int64_t time = now_ms();
    if (record_file != nullptr) {
        std::fprintf(record_file, "%3lld.%03lld %s\n", static_cast<long long>(time / 1000),
                     static_cast<long long>(time % 1000), line.c_str());
        std::fflush(record_file);
    }
}

std::string find_header(const headers& fields, const std::string& name)
{
    for (const std::pair<std::string, std::string>& field : fields) {
        if (equals_ignoring_case(field.first, name)) {
            return field.second;
        }
    }
    return {};
}

bool has_header(const headers& fields, const std::string& name)
{
    return std::any_of(fields.begin(), fields.end(),
                       [&name](const std::pair<std::string, std::string>& field) {
                           return equals_ignoring_case(field.first, name);
                       });
}

channel::~channel()
{
    close();
}

bool channel::fill(std::int64_t deadline_ms)
{
    if (m_socket < 0) {
        return false;
    }
    pollfd ready{m_socket, POLLIN, 0};
    const int found = ::poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(deadline_ms - now_ms(), 0)));
    if (found <= 0) {
        m_end_cause = "no bytes before the deadline";
        return false;
    }
    char bytes[65536];
    const ssize_t size = ::recv(m_socket, bytes, sizeof bytes, 0);
    if (size <= 0) {
        m_end_cause = size == 0 ? "closed by the peer" : std::string("connection failed: ") + strerror(errno);
        return false;
    }
    unread.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool channel::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (m_socket >= 0 && sent < bytes.size()) {
        const ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            m_end_cause = std::string("sending failed: ") + strerror(errno);
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return m_socket >= 0;
}

void channel::reset()
{
    if (m_socket >= 0) {
        const linger now{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close();
}

void channel::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool channel::has_peer_closed()
{
    if (m_socket < 0) {
        return true;
    }
    char byte = 0;
    const ssize_t size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool read_head(channel& from, message& result, std::int64_t deadline_ms)
{
    std::size_t end = from.unread.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!from.fill(deadline_ms)) {
            return false;
        }
        end = from.unread.find("\r\n\r\n");
    }
    std::istringstream lines(from.unread.substr(0, end));
    from.unread.erase(0, end + 4);
    std::getline(lines, result.start_line);
    result.start_line = trim(result.start_line);
    std::istringstream words(result.start_line);
    std::string first;
    std::string second;
    words >> first >> second;
    if (first.rfind("HTTP/", 0) == 0) {
        result.status = std::atoi(second.c_str());
    } else {
        result.method = first;
        result.target = second;
    }
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            result.fields.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
        }
    }
    return true;
}

bool read_body(channel& from, message& result, std::int64_t deadline_ms)
{
    if (equals_ignoring_case(find_header(result.fields, "Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = from.unread.find("\r\n");
            while (end == std::string::npos) {
                if (!from.fill(deadline_ms)) {
                    return false;
                }
                end = from.unread.find("\r\n");
            }
            const std::size_t size = std::strtoull(from.unread.c_str(), nullptr, 16);
            while (from.unread.size() < end + 2 + size + 2) {
                if (!from.fill(deadline_ms)) {
                    result.body += from.unread.substr(std::min(end + 2, from.unread.size()));
                    return false;
                }
            }
            result.body += from.unread.substr(end + 2, size);
            from.unread.erase(0, end + 2 + size + 2);
            if (size == 0) {
                result.is_complete = true;
                return true;
            }
        }
    }
    if (has_header(result.fields, "Content-Length")) {
        const std::size_t size = to_number(find_header(result.fields, "Content-Length"));
        while (from.unread.size() < size) {
            if (!from.fill(deadline_ms)) {
                result.body = from.unread;
                return false;
            }
        }
        result.body = from.unread.substr(0, size);
        from.unread.erase(0, size);
        result.is_complete = true;
        return true;
    }
    if (result.status == 0 || result.status == 204 || result.status == 304) {
        result.is_complete = true;
        return true;
    }
    result.ends_by_close = true;
    while (from.fill(deadline_ms)) {
    }
    result.body = std::move(from.unread);
    from.unread.clear();
    result.is_complete = from.end_cause() == "closed by the peer";
    return result.is_complete;
}

std::unique_ptr<channel> connect_to(const std::string& host, int port, std::int64_t timeout_ms)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    const int begun = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    bool is_connected = begun == 0;
    if (begun != 0 && errno == EINPROGRESS) {
        pollfd ready{socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        is_connected = ::poll(&ready, 1, static_cast<int>(timeout_ms)) > 0 &&
                       ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (!is_connected) {
        ::close(socket);
        return nullptr;
    }
    ::fcntl(socket, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<channel>(socket);
}

listener::listener(const std::string& host, int port, std::function<void(channel&)> serve)
    : m_serve(std::move(serve))
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(m_socket, 1024) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    stop();
}

void listener::stop()
{
    if (m_is_stopped.exchange(true)) {
        return;
    }
    ::shutdown(m_socket, SHUT_RDWR);
    ::close(m_socket);
    m_thread.join();
}

void listener::accept_all()
{
    while (!m_is_stopped) {
        const int accepted = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            if (m_is_stopped) {
                return;
            }
            sleep_ms(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, accepted] {
            channel from(accepted);
            m_serve(from);
        }).detach();
    }
}

store::store(const std::string& host)
{
    m_listener = std::make_unique<listener>(host, 0, [this](channel& from) { serve(from, -1); });
    m_expirer = std::thread([this] { expire(); });
    m_expirer.detach();
}

int store::add_port(int tag)
{
    m_further_listeners.push_back(
        std::make_unique<listener>("127.0.0.1", 0, [this, tag](channel& from) { serve(from, tag); }));
    return m_further_listeners.back()->port();
}

void store::serve(channel& from, int tag)
{
    while (true) {
        message call;
        if (!read_head(from, call, now_ms() + 600'000) || !read_body(from, call, now_ms() + 10'000)) {
            return;
        }
        const std::pair<int, std::string> result = answer(call);
        const std::string text =
            "HTTP/1.1 " + std::to_string(result.first) +
            " Store\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " +
            std::to_string(result.second.size()) + "\r\n\r\n" + result.second;
        if (!from.send(text)) {
            return;
        }
        if (on_watch_answered && call.target.rfind("/kv-watch", 0) == 0) {
            on_watch_answered(tag, std::atoll(parse_query(call.target)["waitMs"].c_str()));
        }
    }
}

std::string store::to_json(const std::string& key, const item& entry)
{
    return "{\"key\":" + quote(key) + ",\"value\":\"" + encode_base64(entry.value) +
           "\",\"revision\":" + std::to_string(entry.revision) +
           ",\"createdAt\":" + std::to_string(entry.created) + ",\"lease\":" + std::to_string(entry.lease) +
           "}";
}

void store::write(const std::string& key, const std::string& value, std::uint64_t lease_id)
{
    item& entry = m_items[key];
    entry.value = value;
    entry.revision = ++m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    entry.lease = lease_id;
    m_changes.push_back({m_revision, key, entry});
    m_changed.notify_all();
}

void store::erase(const std::string& key)
{
    if (m_items.erase(key) > 0) {
        m_changes.push_back({++m_revision, key, std::nullopt});
        m_changed.notify_all();
    }
}

std::uint64_t store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    write(key, value, 0);
    return m_revision;
}

void store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    erase(key);
}

void store::expire()
{
    while (true) {
        sleep_ms(20);
        const std::lock_guard<std::mutex> guard(m_mutex);
        std::vector<std::uint64_t> ended;
        for (const auto& [id, entry] : m_leases) {
            if (now_ms() >= entry.ends_ms) {
                ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended) {
            m_leases.erase(id);
            std::vector<std::string> keys;
            for (const auto& [key, entry] : m_items) {
                if (entry.lease == id) {
                    keys.push_back(key);
                }
            }
            for (const std::string& key : keys) {
                erase(key);
            }
        }
    }
}

std::pair<int, std::string> store::answer(const message& call)
{
    const std::string path = call.target.substr(0, call.target.find('?'));
    const std::map<std::string, std::string> query = parse_query(call.target);
    const std::string keep = "/kv-keep/";
    const std::string end = "/kv-lease-end/";
    if (path == "/kv-range") {
        return range(query);
    }
    if (path == "/kv-watch") {
        return watch(query);
    }
    if (path == "/kv-txn") {
        return transact(call.body);
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (path == "/kv-key") {
        const auto found = m_items.find(query.count("key") > 0 ? query.at("key") : "");
        if (found == m_items.end()) {
            return {404, "{\"at\":" + std::to_string(m_revision) + "}"};
        }
        std::string text = to_json(found->first, found->second);
        text.pop_back();
        return {200, text + ",\"at\":" + std::to_string(m_revision) + "}"};
    }
    if (path == "/kv-lease") {
        const std::int64_t ttl = static_cast<std::int64_t>(to_number(find_json(call.body, "ttlMs")));
        const std::uint64_t id = ++m_next_lease;
        m_leases[id] = {now_ms() + ttl, ttl};
        return {200, "{\"lease\":" + std::to_string(id) + ",\"ttlMs\":" + std::to_string(ttl) + "}"};
    }
    if (path.rfind(keep, 0) == 0) {
        const auto found = m_leases.find(to_number(path.substr(keep.size())));
        if (found == m_leases.end()) {
            return {404, "{}"};
        }
        found->second.ends_ms = now_ms() + found->second.ttl_ms;
        return {200, "{\"ttlMs\":" + std::to_string(found->second.ttl_ms) + "}"};
    }
    if (path.rfind(end, 0) == 0) {
        const auto found = m_leases.find(to_number(path.substr(end.size())));
        if (found == m_leases.end()) {
            return {404, "{}"};
        }
        found->second.ends_ms = 0;
        return {200, "{}"};
    }
    return {404, "{}"};
}

std::pair<int, std::string> store::range(const std::map<std::string, std::string>& query)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::string prefix = query.count("prefix") > 0 ? query.at("prefix") : "";
    const std::string after = query.count("after") > 0 ? query.at("after") : "";
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& [key, entry] : m_items) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
            continue;
        }
        if (count == 500) {
            has_more = true;
            break;
        }
        items += (count++ > 0 ? "," : "") + to_json(key, entry);
    }
    return {200, "{\"items\":[" + items + "],\"hasMore\":" + (has_more ? "true" : "false") +
                     ",\"at\":" + std::to_string(m_revision) + "}"};
}

std::pair<int, std::string> store::watch(const std::map<std::string, std::string>& query)
{
    const std::string prefix = query.count("prefix") > 0 ? query.at("prefix") : "";
    const std::uint64_t after = query.count("after") > 0 ? to_number(query.at("after")) : 0;
    const std::int64_t wait = query.count("waitMs") > 0 ? std::atoll(query.at("waitMs").c_str()) : 0;
    const steady::time_point end = steady::now() + std::chrono::milliseconds(wait);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        std::string events;
        for (const change& entry : m_changes) {
            if (entry.revision <= after || entry.key.rfind(prefix, 0) != 0) {
                continue;
            }
            events += events.empty() ? "" : ",";
            events += entry.written
                          ? to_json(entry.key, *entry.written)
                          : "{\"key\":" + quote(entry.key) +
                                ",\"revision\":" + std::to_string(entry.revision) + ",\"tombstone\":true}";
        }
        if (!events.empty() || steady::now() >= end) {
            return {200, "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}"};
        }
        m_changed.wait_until(lock, end);
    }
}

std::pair<int, std::string> store::transact(const std::string& body)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    // The project writes one key under one condition.
    const std::size_t expected = body.find("\"expected\"");
    const std::size_t puts = body.find("\"puts\"");
    const std::string condition = body.substr(expected, body.find(']', expected) - expected);
    const std::string put = body.substr(puts, body.find(']', puts) - puts);
    const std::string key = find_json(condition, "key");
    const std::uint64_t revision = to_number(find_json(condition, "revision"));
    if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
        return {403, "{}"};
    }
    const auto found = m_items.find(key);
    if ((found == m_items.end() ? 0 : found->second.revision) != revision) {
        return {412, "{\"items\":[" +
                         (found == m_items.end() ? std::string("{\"key\":" + quote(key) + ",\"revision\":0}")
                                                 : to_json(key, found->second)) +
                         "]}"};
    }
    const std::uint64_t lease_id = to_number(find_json(put, "lease"));
    if (lease_id != 0 && m_leases.count(lease_id) == 0) {
        return {404, "{}"};
    }
    write(find_json(put, "key"), decode_base64(find_json(put, "value")), lease_id);
    return {200, "{\"revision\":" + std::to_string(m_revision) + "}"};
}

held_path::held_path(std::string host, int port)
    : m_host(std::move(host)), m_port(port), m_listener("127.0.0.1", 0, [this](channel& from) { pass(from); })
{
}

void held_path::pass(channel& client)
{
    while (is_cut) {
        sleep_ms(5);
    }
    const std::unique_ptr<channel> server = connect_to(m_host, m_port);
    if (!server) {
        return;
    }
    channel* const ends[2] = {&client, server.get()};
    while (true) {
        if (is_cut) {
            sleep_ms(5);
            continue;
        }
        pollfd ready[2] = {{client.socket(), POLLIN, 0}, {server->socket(), POLLIN, 0}};
        ::poll(ready, 2, 20);
        for (int side = 0; side < 2; ++side) {
            if (ready[side].revents == 0 || is_cut) {
                continue;
            }
            if (!ends[side]->fill(now_ms()) || !ends[1 - side]->send(ends[side]->unread)) {
                return;
            }
            ends[side]->unread.clear();
        }
    }
}

endpoint::endpoint(std::string id, std::string service, std::string zone, handler serve_call)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_handler(std::move(serve_call))
{
    m_listener = std::make_unique<listener>("127.0.0.1", 0, [this](channel& from) { serve(from); });
}

std::string endpoint::entry(const std::string& state) const
{
    return "{\"born\":" + std::to_string(m_born) + ",\"address\":\"127.0.0.1:" + std::to_string(port()) +
           "\",\"info\":{\"service\":" + quote(m_service) + ",\"version\":\"v1\",\"zone\":" + quote(m_zone) +
           ",\"slots\":3},\"status\":{\"state\":\"" + state + "\",\"sequence\":" + std::to_string(now_ms()) +
           ",\"coldRemainingMs\":0}}";
}

void endpoint::serve(channel& from)
{
    while (from.is_open()) {
        message request;
        if (!read_head(from, request, now_ms() + 15'000)) {
            return;
        }
        endpoint_call call{
            from, request, find_header(request.fields, "Quetzalspan-Request-Id"),
            find_header(request.fields, "Quetzalspan-Tenant-Id"),
            now_ms() + std::atoll(find_header(request.fields, "Quetzalspan-Request-Deadline-Ms").c_str())};
        if (request.target.rfind("/health", 0) == 0) {
            from.send("HTTP/1.1 200 OK\r\nQuetzalspan-Instance-Id: " + m_id +
                      "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (find_header(request.fields, "Quetzalspan-Expect-Instance") != m_id) {
            read_body(from, request, now_ms() + 5'000);
            from.send(make_response(421, call.id, "", "Quetzalspan-Instance-Id: " + m_id + "\r\n", false));
            continue;
        }
        if (!m_handler(*this, call)) {
            return;
        }
    }
}

std::string signature_of(const std::string& id, const std::string& body)
{
    return "sig." + id + "." + std::to_string(std::hash<std::string>()(body));
}

std::string make_response(int status, const std::string& id, const std::string& body,
                          const std::string& extra_fields, bool is_signed)
{
    return "HTTP/1.1 " + std::to_string(status) + " Endpoint\r\nQuetzalspan-Request-Id: " + id + "\r\n" +
           (is_signed ? "Quetzalspan-Server-Signature: " + signature_of(id, body) + "\r\n" : "") +
           extra_fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string find_free_address()
{
    std::random_device random;
    const auto is_free = [](const std::string& host, int type, int port) {
        const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const bool is_bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        return is_bound;
    };
    while (true) {
        const std::string host = "127." + std::to_string(64 + random() % 64) + "." +
                                 std::to_string(random() % 256) + "." + std::to_string(1 + random() % 254);
        bool are_free = is_free(host, SOCK_DGRAM, 7220);
        for (const int port : {8665, 8666, 8668, 9464}) {
            are_free = are_free && is_free(host, SOCK_STREAM, port);
        }
        if (are_free) {
            return host;
        }
    }
}

instance::instance(std::string name, std::string ip, std::string zone, std::string region, int store_port,
                   std::map<std::string, std::string> zones, const std::string& folder)
    : m_name(std::move(name)),
      m_ip(std::move(ip)),
      m_settings(folder + "/" + m_name + ".conf"),
      m_log(folder + "/" + m_name + ".log")
{
    std::ofstream out(m_settings);
    out << "self.nodeName=" << m_name << "\nself.role=edge\nself.machineClass=front\n"
        << "self.serves=front,directory\nself.ip=" << m_ip << "\nself.zone=" << zone
        << "\nself.region=" << region << "\nself.includeInTolerance=false\nself.bootstrap=true\n"
        << "self.limits.cpuShare=0.2\nself.limits.cores=1\nself.limits.memoryMb=260\n"
        << "self.limits.maxFds=4100\nself.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
        << "network.listen.front=" << m_ip << ":8668\nnetwork.listen.ready=" << m_ip
        << ":8666\nnetwork.listen.directory=" << m_ip << ":8665\nnetwork.internalPortRange=7220,7235\n"
        << "network.seeds=\n";
    for (const auto& [zone_name, zone_region] : zones) {
        out << "network.zones." << zone_name << "=" << zone_region << "\n";
    }
    out << "platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeatIntervalMs=1500\n"
        << "platform.platform.address=127.0.0.1:" << store_port
        << "\nplatform.platform.form=kv\nplatform.platform.writesPerS=400\n"
        << "platform.platform.readsPerS=2000\nplatform.platform.historyS=20\n"
        << "platform.platform.maxValueBytes=1048576\nplatform.platform.minTtlMs=1000\n"
        << "terms.contracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform\n"
        << "terms.faultTolerance.machines=2\nterms.faultTolerance.zones=1\nterms.faultTolerance.regions=1\n";
    const std::vector<std::pair<const char*, const char*>> bounds{
        {"seedLagS", "3"},           {"reuseAfterS", "2"},        {"stableWindowMs", "3000"},
        {"ackTimeoutMs", "4000"},    {"catchUpS", "4"},           {"drainTimeoutMs", "2000"},
        {"gracePeriodS", "6"},       {"lossSlackMs", "200"},      {"configApplyMs", "2000"},
        {"rollbackSlackMs", "250"},  {"maxStretchMs", "5000"},    {"strictRevocation", "true"},
        {"revokeTimeoutMs", "5000"}, {"retryBudgetRatio", "0.2"}, {"budgetWindowS", "10"},
        {"retryBudgetSlack", "56"},  {"quotaWindowS", "5"},       {"quotaOverage", "0.1"},
        {"quotaSlack", "20"},        {"coldOverage", "1.5"},      {"coldSlack", "5"},
        {"evacuationMs", "5000"},    {"recoveryS", "15"},         {"ttl_max_s", "5"},
        {"maxShift", "0.15"}};
    for (const auto& [bound, value] : bounds) {
        out << "terms.bounds." << bound << "=" << value << "\n";
    }
}

instance::~instance()
{
    kill_and_wait();
}

void instance::start()
{
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            std::_Exit(2);
        }
        const rlimit files{4100, 4100};
        ::setrlimit(RLIMIT_NOFILE, &files);
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("QUETZALSPAN_SETTINGS", m_settings.c_str(), 1);
        ::execl("target/quetzald", "target/quetzald", "--deployment=platform", nullptr);
        std::_Exit(2);
    }
    record(m_name + " started, process " + std::to_string(m_pid));
}

void instance::signal(int number)
{
    record(m_name + " gets signal " + std::to_string(number));
    ::kill(m_pid, number);
}

bool instance::has_ended(int& status)
{
    if (m_pid < 0) {
        return true;
    }
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        return true;
    }
    return false;
}

bool instance::wait_ready(std::int64_t timeout_ms)
{
    const std::int64_t end = now_ms() + timeout_ms;
    while (now_ms() < end) {
        const std::unique_ptr<channel> to = connect_to(m_ip, 8666, 200);
        if (to) {
            const client_answer found = exchange(*to, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", 500);
            if (found.status == 200) {
                record(m_name + " is ready");
                return true;
            }
        }
        sleep_ms(50);
    }
    return false;
}

void instance::kill_and_wait()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
    }
}

std::int64_t instance::memory_kb() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atoll(line.c_str() + 6);
        }
    }
    return 0;
}

client_answer exchange(channel& to, const std::string& text, std::int64_t timeout_ms)
{
    client_answer result;
    const std::int64_t deadline = now_ms() + timeout_ms;
    if (!to.send(text)) {
        result.end = to.end_cause();
    }
    message found;
    do {
        found = message();
        if (!read_head(to, found, deadline)) {
            result.end = to.end_cause();
            return result;
        }
    } while (found.status == 100);
    result.status = found.status;
    result.is_complete = read_body(to, found, deadline);
    if (!result.is_complete) {
        result.end = to.end_cause();
    }
    result.fields = std::move(found.fields);
    result.body = std::move(found.body);
    return result;
}

std::string make_request(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& key, std::int64_t budget_ms, const std::string& body,
                         const std::string& extra_fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nQuetzalspan-Request-Id: " + id +
           "\r\nQuetzalspan-Request-Deadline-Ms: " + std::to_string(budget_ms) + "\r\n" +
           (key.empty() ? "" : "Api-Key: " + key + "\r\n") + extra_fields +
           (body.empty() && method == "GET" ? ""
                                            : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

} // namespace review
