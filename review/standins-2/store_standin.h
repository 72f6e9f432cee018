// A stand-in for the platform's store as PROTOCOL.md and the users' news describe it: items, watches, leases,
// and a return from an older copy with the field Store-Era.

#pragma once

#include "http_channel.h"

#include <json/json.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review
{

struct store_item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

struct store_event {
    std::string key;
    std::uint64_t revision = 0;
    // No value if the key was removed.
    std::optional<store_item> written;
};

struct store_lease {
    std::chrono::milliseconds lifetime{0};
    instant ends;
};

// All that a copy of the store holds.
struct store_contents {
    std::uint64_t revision = 100;
    std::map<std::string, store_item> items;
    std::vector<store_event> events;
    std::map<std::uint64_t, store_lease> leases;
};

// Thread-safe. Runs until the process ends.
class store_standin
{
public:
    explicit store_standin(const std::string& host);

    std::uint16_t port() const { return m_listener.port(); }
    // Writes an item, as an operator or an endpoint does.
    void put(const std::string& key, const std::string& value);

    store_contents copy() const;
    // Closes every channel on which a call arrives or waits, until the store returns.
    void go_away();
    // Returns with the contents of an earlier copy.
    void return_from(const store_contents& contents);

private:
    struct reply {
        unsigned status = 200;
        Json::Value body{Json::objectValue};
    };

    void serve_channels();
    void serve_channel(http_channel channel);
    void expire_leases();
    // Returns no value if the channel has to end without a reply.
    std::optional<reply> handle(const http_message& call);
    reply list(const std::map<std::string, std::string>& parameters) const;
    std::optional<reply> watch(const std::map<std::string, std::string>& parameters,
                               std::unique_lock<std::mutex>& lock);
    reply transact(const Json::Value& body);
    reply create_lease(const Json::Value& body);
    reply end_lease(std::uint64_t id);
    reply renew_lease(std::uint64_t id);
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void remove_lease(std::uint64_t id);

    http_listener m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    store_contents m_contents;
    std::uint64_t m_next_lease = 1;
    std::uint64_t m_era = 0;
    bool m_is_away = false;
};

} // namespace review
