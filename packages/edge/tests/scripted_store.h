// An in-memory key-value store whose calls can be made to fail, for tests of code that watches a store.

#pragma once

#include "store/key_value_store.h"

#include <algorithm>
#include <map>
#include <vector>

namespace quetzalspan::edge
{

class scripted_store : public store::key_value_store
{
public:
    void put(const std::string& key, const std::string& value)
    {
        const store::store_entry entry{key, value, ++m_revision, m_revision, 0};
        m_entries[key] = entry;
        m_changes.push_back({key, m_revision, entry});
    }

    void remove(const std::string& key)
    {
        m_entries.erase(key);
        m_changes.push_back({key, ++m_revision, std::nullopt});
    }

    // Keeps a copy of the entries, to which restore() returns: later changes are lost, and their revisions
    // are assigned again.
    void take_copy()
    {
        m_copy = m_entries;
        m_copied_revision = m_revision;
    }

    void restore()
    {
        m_entries = m_copy;
        m_revision = m_copied_revision;
        std::erase_if(m_changes, [this](const store::store_change& change) {
            return change.revision > m_copied_revision;
        });
        ++m_epoch;
    }

    // Makes the given number of following list and watch calls fail.
    void fail_calls(int count) { m_remaining_failures = count; }

    // Returns the timeouts of all watch calls, in order.
    const std::vector<core::duration>& watch_timeouts() const { return m_watch_timeouts; }
    // Makes all further watch calls fail; list calls still succeed.
    void fail_watches() { m_has_failing_watches = true; }
    // Returns the prefixes of all watch calls, in order.
    const std::vector<std::string>& watch_prefixes() const { return m_watch_prefixes; }

    std::uint64_t epoch() const override { return m_epoch; }

    boost::asio::awaitable<store::list_result> list(std::string prefix) override
    {
        check_failure();
        store::list_result result;
        result.epoch = m_epoch;
        result.revision = m_revision;
        for (const auto& [key, entry] : m_entries) {
            if (key.starts_with(prefix)) {
                result.entries.push_back(entry);
            }
        }
        co_return result;
    }

    // Answers at once with the changes so far instead of waiting for the timeout.
    boost::asio::awaitable<store::watch_result> watch(std::string prefix, std::uint64_t after_revision,
                                                      core::duration timeout) override
    {
        m_watch_timeouts.push_back(timeout);
        m_watch_prefixes.push_back(prefix);
        check_failure();
        if (m_has_failing_watches) {
            throw store::store_unavailable("watch call made to fail by the test");
        }
        store::watch_result result;
        result.epoch = m_epoch;
        result.is_history_discarded = after_revision > m_revision;
        result.revision = m_revision;
        std::copy_if(m_changes.begin(), m_changes.end(), std::back_inserter(result.changes),
                     [&](const store::store_change& change) {
                         return change.revision > after_revision && change.key.starts_with(prefix);
                     });
        co_return result;
    }

    boost::asio::awaitable<store::write_result> write(std::string, std::string, std::uint64_t,
                                                      std::uint64_t) override
    {
        co_return store::write_result{};
    }
    boost::asio::awaitable<std::uint64_t> create_lease(core::duration) override { co_return 1; }
    boost::asio::awaitable<store::lease_outcome> keep_alive(std::uint64_t) override
    {
        co_return store::lease_outcome::applied;
    }
    boost::asio::awaitable<store::lease_outcome> revoke_lease(std::uint64_t) override
    {
        co_return store::lease_outcome::applied;
    }

private:
    void check_failure()
    {
        if (m_remaining_failures > 0) {
            --m_remaining_failures;
            throw store::store_unavailable("store call made to fail by the test");
        }
    }

    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::map<std::string, store::store_entry> m_copy;
    std::uint64_t m_copied_revision = 0;
    int m_remaining_failures = 0;
    bool m_has_failing_watches = false;
    std::map<std::string, store::store_entry> m_entries;
    std::vector<store::store_change> m_changes;
    std::vector<core::duration> m_watch_timeouts;
    std::vector<std::string> m_watch_prefixes;
};

} // namespace quetzalspan::edge
