// A stand-in of the platform's store: keys, leases, watches, and the drill in which it comes back from an
// older copy.

#pragma once

#include "net.h"

#include <json/json.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>

namespace lab
{

using instant = std::chrono::steady_clock::time_point;

class store
{
public:
    store(const std::string& host, std::uint16_t port);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    // Writes and removals of the operator and of endpoints, acknowledged on return.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> get(const std::string& key);

    // From now on, nothing passes on the connections that are open at this moment; new ones work.
    void silence_open_connections();

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<item> written;
    };
    struct lease {
        std::chrono::milliseconds lifetime{0};
        instant ends;
    };
    struct content {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease> leases;
        std::uint64_t revision = 100;
        std::uint64_t next_lease = 1;
    };

    void serve(connection& client);
    std::string answer(const message& request);
    std::string respond(int status, const Json::Value& body) const;
    std::string range(const std::string& target);
    std::string read_key(const std::string& target);
    std::string watch(const std::string& target);
    std::string transact(const Json::Value& body);
    std::string grant_lease(const Json::Value& body);
    std::string keep_lease(std::uint64_t id);
    std::string end_lease(std::uint64_t id);
    void write(const std::string& key, const std::string& value, std::uint64_t lease_id);
    void erase(const std::string& key);
    void drop_lease(std::uint64_t id);
    void expire_leases();
    static Json::Value to_json(const std::string& key, const item& entry);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    content m_content;
    std::deque<change> m_changes;
    // Watches from a lower revision get 410.
    std::uint64_t m_history_begins = 100;
    // Connections of an earlier generation are silent.
    std::atomic<std::uint64_t> m_generation{0};
    std::atomic<bool> m_is_stopped{false};
    std::thread m_expiry;
    std::unique_ptr<listener> m_listener;
};

} // namespace lab
