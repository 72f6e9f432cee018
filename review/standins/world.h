// Small stand-ins for the platform's store, endpoints and clients, and a launcher of instances. Each stand-in
// serves every connection with a thread of its own. All addresses are loopback addresses.

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review
{

using steady = std::chrono::steady_clock;

// Milliseconds since the start of the script.
std::int64_t now_ms();
void sleep_ms(std::int64_t time);

// Writes a line with the time to record.txt.
void open_record(const std::string& path);
void record(const std::string& line);

using headers = std::vector<std::pair<std::string, std::string>>;
// Returns the value of the first header with the name, ignoring case; empty if there is none.
std::string find_header(const headers& fields, const std::string& name);
bool has_header(const headers& fields, const std::string& name);

// A connected socket with the bytes that were read and not used yet.
class channel
{
public:
    explicit channel(int socket) : m_socket(socket) {}
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    // Reads more bytes. Returns false at the end, after an error, or at the deadline.
    bool fill(std::int64_t deadline_ms);
    bool send(const std::string& bytes);
    // Closes with a reset.
    void reset();
    void close();
    bool is_open() const { return m_socket >= 0; }
    // Whether the peer has closed its side or reset the connection.
    bool has_peer_closed();
    int socket() const { return m_socket; }
    const std::string& end_cause() const { return m_end_cause; }

    std::string unread;

private:
    int m_socket;
    std::string m_end_cause;
};

struct message {
    std::string start_line;
    std::string method;
    std::string target;
    int status = 0;
    headers fields;
    std::string body;
    // Whether the whole message was received.
    bool is_complete = false;
    // Whether its end was given by the end of the connection.
    bool ends_by_close = false;
};

// Reads the head of a message; the body remains unread.
bool read_head(channel& from, message& result, std::int64_t deadline_ms);
// Reads the body that the head announces.
bool read_body(channel& from, message& result, std::int64_t deadline_ms);

// Connects; returns null if that fails.
std::unique_ptr<channel> connect_to(const std::string& host, int port, std::int64_t timeout_ms = 1000);

// Listens and calls a function with each connection in a thread of its own.
class listener
{
public:
    listener(const std::string& host, int port, std::function<void(channel&)> serve);
    ~listener();
    int port() const { return m_port; }
    void stop();

private:
    void accept_all();

    int m_socket = -1;
    int m_port = 0;
    std::atomic<bool> m_is_stopped{false};
    std::function<void(channel&)> m_serve;
    std::thread m_thread;
};

// The platform's store, as PROTOCOL.md describes it.
class store
{
public:
    explicit store(const std::string& host = "127.0.0.1");
    int port() const { return m_listener->port(); }
    // Writes a key as the operator or an endpoint does. Returns the revision.
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Opens another port to the same store. Calls that arrive there are known by the tag.
    int add_port(int tag);
    // Called after a watch that came in with the tag was answered. Set it before an instance starts.
    std::function<void(int tag, std::int64_t wait_ms)> on_watch_answered;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<item> written;
    };
    struct lease {
        std::int64_t ends_ms = 0;
        std::int64_t ttl_ms = 0;
    };

    void serve(channel& from, int tag);
    std::pair<int, std::string> answer(const message& call);
    std::pair<int, std::string> range(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> watch(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> transact(const std::string& body);
    void write(const std::string& key, const std::string& value, std::uint64_t lease_id);
    void erase(const std::string& key);
    void expire();
    static std::string to_json(const std::string& key, const item& entry);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<change> m_changes;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_next_lease = 100;
    std::unique_ptr<listener> m_listener;
    std::vector<std::unique_ptr<listener>> m_further_listeners;
    std::thread m_expirer;
};

// A path to an address. It passes bytes on in both directions, and holds them while it is cut.
class held_path
{
public:
    held_path(std::string host, int port);
    int port() const { return m_listener.port(); }
    std::atomic<bool> is_cut{false};

private:
    void pass(channel& client);

    std::string m_host;
    int m_port;
    listener m_listener;
};

// What an endpoint does with a request after the head was read. It has to read the body itself.
struct endpoint_call {
    channel& from;
    message& request;
    std::string id;
    std::string tenant;
    std::int64_t deadline_ms;
};

class endpoint
{
public:
    // The handler returns whether the connection stays open.
    using handler = std::function<bool(endpoint& self, endpoint_call& call)>;

    endpoint(std::string id, std::string service, std::string zone, handler serve);
    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    int port() const { return m_listener->port(); }
    // The value of its entry in the store.
    std::string entry(const std::string& state = "ready") const;
    std::string entry_key() const { return "servers/" + m_id; }

private:
    void serve(channel& from);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_born;
    handler m_handler;
    std::unique_ptr<listener> m_listener;
};

// The text of a complete response with the fields that an endpoint adds.
std::string make_response(int status, const std::string& id, const std::string& body,
                          const std::string& extra_fields = "", bool is_signed = true);
std::string signature_of(const std::string& id, const std::string& body);

// Returns a loopback address on which the ports of an instance are free.
std::string find_free_address();

// An instance, started with the command of the deploy file and a settings file of its own.
class instance
{
public:
    instance(std::string name, std::string ip, std::string zone, std::string region, int store_port,
             std::map<std::string, std::string> zones, const std::string& folder);
    ~instance();
    void start();
    void signal(int number);
    // Returns whether the process has ended; status receives how.
    bool has_ended(int& status);
    // Waits until it is ready. Returns false after the timeout.
    bool wait_ready(std::int64_t timeout_ms);
    void kill_and_wait();
    std::int64_t memory_kb() const;
    const std::string& ip() const { return m_ip; }
    int port() const { return 8668; }
    pid_t pid() const { return m_pid; }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_ip;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// The answer that a client got.
struct client_answer {
    // 0 if there was none.
    int status = 0;
    headers fields;
    std::string body;
    bool is_complete = false;
    std::string end;
};

// Sends one request on the connection and reads the answer.
client_answer exchange(channel& to, const std::string& text, std::int64_t timeout_ms);
std::string make_request(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& key, std::int64_t budget_ms, const std::string& body = "",
                         const std::string& extra_fields = "");

} // namespace review
