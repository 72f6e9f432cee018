// A small deployment on loopback: the store, endpoints, and instances as processes of their own.

#pragma once

#include "store.h"

#include <fstream>
#include <vector>

#include <sys/types.h>

namespace lab
{

// Writes what happens, with milliseconds since the start, to a file. Thread-safe.
class record
{
public:
    explicit record(const std::string& path) : m_file(path) {}
    void line(const std::string& text);
    // Milliseconds since the start.
    std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    instant m_start = std::chrono::steady_clock::now();
};

// What an endpoint did with a request.
struct run {
    std::string id;
    std::string endpoint;
    std::string target;
    std::string tenant;
    std::int64_t at = 0;
};

// An endpoint: registers itself, tells its state in heartbeats, runs requests and logs them.
class endpoint
{
public:
    struct options {
        std::string id;
        std::string host;
        std::uint16_t port = 8080;
        std::string service;
        std::string zone;
        int work_ms = 20;
        int slots = 8;
    };

    endpoint(options given, store& registry, record& log);
    ~endpoint();
    endpoint(const endpoint&) = delete;
    endpoint& operator=(const endpoint&) = delete;

    // Called for each request that is not refused, instead of the usual answer, if it is set.
    using override_handler = std::function<void(connection&, const message&)>;
    void set_handler(override_handler handler);

    std::vector<run> runs();
    // Writes the next heartbeat at once.
    void beat();
    // Removes its entry from the store and goes on serving.
    void leave();
    const options& given() const { return m_options; }
    void add_run(const message& request);
    static std::string answer_to(const message& request, int status, const std::string& body);

private:
    void serve(connection& client);

    options m_options;
    store& m_registry;
    record& m_record;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    override_handler m_handler;
    std::uint64_t m_sequence = 1;
    std::int64_t m_born = 0;
    std::atomic<bool> m_is_leaving{false};
    std::atomic<bool> m_is_stopped{false};
    std::thread m_beats;
    listener m_listener;
};

// One instance of the system, started with the command of the deploy file.
class instance
{
public:
    struct options {
        std::string name;
        std::string host;
        std::string zone;
        std::string region;
        std::string store_host;
        std::map<std::string, std::string> zones;
        std::string folder;
        int grace_seconds = 6;
    };

    explicit instance(options given);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    void start();
    // Kills the process and waits for its end.
    void kill();
    void send_signal(int signal) const;
    // Returns whether the process has ended by itself.
    bool has_ended();
    bool is_ready() const;
    bool wait_ready(int seconds) const;
    const options& given() const { return m_options; }

private:
    options m_options;
    pid_t m_process = -1;
};

struct answer {
    // 0 if the connection ended without a complete answer.
    int status = 0;
    header_map headers;
    std::string body;
};

struct request {
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string id;
    std::string key;
    int deadline_ms = 2000;
    std::string body;
};

std::string to_text(const request& sent);
// Sends a request on a new connection.
answer call(const std::string& host, const request& sent, int timeout_ms = 3000);

// A loopback network of this process, such as 127.5.9.
std::string loopback_network();

} // namespace lab
