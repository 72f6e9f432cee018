// Keys, leases, the history of changes and snapshots of the store stand-in, kept in ordered maps.

#include "standins/store/store_state.h"

#include <json/json.h>

#include <memory>

namespace quetzalspan::standin_store
{

namespace
{

constexpr std::string_view member_prefix = "members/";

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// Returns the state that a member record contains, or an empty text if the value is no member record.
std::string read_member_state(const std::string& value)
{
    Json::Value record;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
    const bool is_json = parser->parse(value.data(), value.data() + value.size(), &record, nullptr);
    if (!is_json || !record.isObject() || !record["state"].isString()) {
        return {};
    }
    return record["state"].asString();
}

} // namespace

std::optional<entry> store_state::find_entry(std::string_view key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<entry> store_state::list(std::string_view prefix) const
{
    std::vector<entry> result;
    for (auto position = m_entries.lower_bound(prefix);
         position != m_entries.end() && begins_with(position->first, prefix); ++position) {
        result.push_back(position->second);
    }
    return result;
}

write_result store_state::put(const std::string& key, std::string value, std::uint64_t expected,
                              std::uint64_t lease, core::instant now)
{
    expire_leases(now);
    if (lease != 0 && !m_leases.contains(lease)) {
        return {write_status::unknown_lease, m_revision, std::nullopt};
    }
    const auto found = m_entries.find(key);
    const std::uint64_t current_revision = found == m_entries.end() ? 0 : found->second.revision;
    if (current_revision != expected) {
        return {write_status::conflict, m_revision, find_entry(key)};
    }
    ++m_revision;
    entry& written = m_entries[key];
    written.key = key;
    written.value = std::move(value);
    written.revision = m_revision;
    written.created_revision = current_revision == 0 ? m_revision : written.created_revision;
    written.lease = lease;
    record_change({key, m_revision, written}, now);
    return {write_status::applied, m_revision, std::nullopt};
}

write_result store_state::erase(const std::string& key, std::uint64_t expected, core::instant now)
{
    expire_leases(now);
    const auto found = m_entries.find(key);
    const std::uint64_t current_revision = found == m_entries.end() ? 0 : found->second.revision;
    if (current_revision != expected || current_revision == 0) {
        return {write_status::conflict, m_revision, find_entry(key)};
    }
    ++m_revision;
    m_entries.erase(found);
    record_change({key, m_revision, std::nullopt}, now);
    return {write_status::applied, m_revision, std::nullopt};
}

change_list store_state::changes_after(std::string_view prefix, std::uint64_t revision) const
{
    change_list result;
    result.revision = m_revision;
    // A revision above the current one was issued before an older snapshot was restored.
    if (revision < m_history_begin || revision > m_revision) {
        result.is_discarded = true;
        return result;
    }
    for (const change& item : m_history) {
        if (item.revision > revision && begins_with(item.key, prefix)) {
            result.changes.push_back(item);
        }
    }
    return result;
}

void store_state::discard_history()
{
    m_history.clear();
    m_history_begin = m_revision;
}

std::uint64_t store_state::create_lease(core::duration time_to_live, core::instant now)
{
    ++m_last_lease;
    m_leases[m_last_lease] = {time_to_live, now + time_to_live};
    return m_last_lease;
}

bool store_state::keep_alive(std::uint64_t lease, core::instant now)
{
    expire_leases(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.deadline = now + found->second.time_to_live;
    return true;
}

bool store_state::revoke_lease(std::uint64_t lease, core::instant now)
{
    if (m_leases.erase(lease) == 0) {
        return false;
    }
    remove_keys_with_lease(lease, now);
    return true;
}

bool store_state::expire_leases(core::instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, record] : m_leases) {
        if (record.deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        revoke_lease(id, now);
    }
    return !expired.empty();
}

std::vector<instance_info> store_state::instances(core::instant now) const
{
    for (auto position = m_instance_history.rbegin(); position != m_instance_history.rend(); ++position) {
        if (position->time <= now - m_options.instances_lag) {
            return position->instances;
        }
    }
    return {};
}

void store_state::take_snapshot(const std::string& name)
{
    m_snapshots[name] = {m_entries, m_leases, m_revision};
}

bool store_state::restore_snapshot(const std::string& name, core::instant now)
{
    const auto found = m_snapshots.find(name);
    if (found == m_snapshots.end()) {
        return false;
    }
    m_entries = found->second.entries;
    m_revision = found->second.revision;
    m_leases = found->second.leases;
    for (auto& [id, record] : m_leases) {
        record.deadline = now + record.time_to_live;
    }
    discard_history();
    record_instances(now);
    return true;
}

void store_state::record_change(change item, core::instant now)
{
    const bool is_member = begins_with(item.key, member_prefix);
    m_history.push_back(std::move(item));
    while (m_history.size() > m_options.history_limit) {
        m_history_begin = m_history.front().revision;
        m_history.pop_front();
    }
    if (is_member) {
        record_instances(now);
    }
}

void store_state::record_instances(core::instant now)
{
    timed_instance_list current{now, {}};
    for (const entry& item : list(member_prefix)) {
        const std::string state = read_member_state(item.value);
        if (state == "serving" || state == "leaving") {
            current.instances.push_back({item.key.substr(member_prefix.size()), state});
        }
    }
    m_instance_history.push_back(std::move(current));
    // The newest list that is at least as old as the lag is the one that is served. Older lists are not
    // needed.
    while (m_instance_history.size() > 1 && m_instance_history[1].time <= now - m_options.instances_lag) {
        m_instance_history.pop_front();
    }
}

void store_state::remove_keys_with_lease(std::uint64_t lease, core::instant now)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_entries) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        ++m_revision;
        m_entries.erase(key);
        record_change({key, m_revision, std::nullopt}, now);
    }
}

} // namespace quetzalspan::standin_store
