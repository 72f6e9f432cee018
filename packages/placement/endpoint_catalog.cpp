// Applies records, grace periods and evacuations to the known endpoints.

#include "placement/endpoint_catalog.h"

#include "core/stable_hash.h"
#include "placement/cold_start.h"

#include <algorithm>

namespace quetzalspan::placement
{

namespace
{

// Bounds the memory for endpoints that have left; far more than leave while their records can come back.
constexpr std::size_t max_left_incarnations = 10'000;

} // namespace

bool may_receive(const endpoint& candidate)
{
    return candidate.record.phase == endpoint_phase::serving && !candidate.is_leaving &&
           !candidate.is_evacuated && !candidate.is_removed;
}

endpoint_catalog::endpoint_catalog(catalog_options options, hooks callbacks)
    : m_options(options), m_hooks(std::move(callbacks))
{
}

void endpoint_catalog::notify_change(catalog_change change, const endpoint& subject) const
{
    if (m_hooks.on_change) {
        m_hooks.on_change(change, subject);
    }
}

void endpoint_catalog::apply(const endpoint_record& record, core::instant now, bool is_first_listing)
{
    const std::map<std::string, endpoint_pointer>::iterator existing = m_endpoints.find(record.id);
    if (existing == m_endpoints.end()) {
        add(record, now, is_first_listing);
        return;
    }
    endpoint& current = *existing->second;
    const bool is_outdated =
        record.incarnation < current.record.incarnation ||
        (record.incarnation == current.record.incarnation && record.sequence < current.record.sequence);
    if (is_outdated) {
        notify_change(catalog_change::outdated_record_ignored, current);
        return;
    }
    update(current, record, now);
}

void endpoint_catalog::add(const endpoint_record& record, core::instant now, bool is_first_listing)
{
    const endpoint_pointer added = std::make_shared<endpoint>();
    added->record = record;
    added->id_hash = core::stable_hash(record.id);
    added->known_since = now;
    added->confirmed_at = now;
    const std::map<std::string, std::uint64_t>::const_iterator left = m_left_incarnations.find(record.id);
    added->is_leaving = left != m_left_incarnations.end() && record.incarnation <= left->second;
    added->is_evacuated = m_evacuated_zones.contains(record.availability_zone);
    added->cold_until = now + record.remaining_cold_time;
    if (!is_first_listing && m_hooks.get_cold_duration) {
        added->cold_until =
            now + std::max(record.remaining_cold_time, m_hooks.get_cold_duration(record.service));
    }
    restore_send_times(*added, now);
    m_endpoints.emplace(record.id, added);
    add_to_service(added);
    notify_change(catalog_change::added, *added);
}

void endpoint_catalog::update(endpoint& existing, const endpoint_record& record, core::instant now)
{
    const endpoint_pointer kept_alive = m_endpoints.at(record.id);
    const bool is_restarted = record.incarnation > existing.record.incarnation;
    const bool starts_draining =
        record.phase == endpoint_phase::draining && existing.record.phase != endpoint_phase::draining;
    if (is_restarted || record.service != existing.record.service) {
        remove_from_service(existing);
        // Requests to the previous incarnation keep a reference to its object.
        m_endpoints.erase(record.id);
        existing.is_removed = true;
        keep_send_times(existing, now);
        add(record, now, false);
        notify_change(catalog_change::restarted, *m_endpoints.at(record.id));
        return;
    }
    existing.record = record;
    existing.is_missing = false;
    existing.is_evacuated = m_evacuated_zones.contains(record.availability_zone);
    if (record.remaining_cold_time > core::duration(0)) {
        existing.cold_until = std::max(existing.cold_until, now + record.remaining_cold_time);
    }
    notify_change(starts_draining ? catalog_change::draining : catalog_change::updated, existing);
}

void endpoint_catalog::remove(const std::string& id, core::instant now)
{
    const std::map<std::string, endpoint_pointer>::iterator existing = m_endpoints.find(id);
    if (existing == m_endpoints.end()) {
        return;
    }
    if (now >= m_grace_until) {
        erase(existing, now);
        return;
    }
    existing->second->is_missing = true;
    m_keeps_missing = true;
    notify_change(catalog_change::missing, *existing->second);
}

void endpoint_catalog::remove_missing(core::instant now)
{
    if (!m_keeps_missing || now < m_grace_until) {
        return;
    }
    m_keeps_missing = false;
    for (std::map<std::string, endpoint_pointer>::iterator entry = m_endpoints.begin();
         entry != m_endpoints.end();) {
        const std::map<std::string, endpoint_pointer>::iterator current = entry++;
        if (current->second->is_missing) {
            erase(current, now);
        }
    }
}

bool endpoint_catalog::mark_leaving(endpoint& subject)
{
    if (subject.is_leaving) {
        return false;
    }
    subject.is_leaving = true;
    notify_change(catalog_change::leaving, subject);
    return true;
}

void endpoint_catalog::remember_if_leaving(const endpoint& removed)
{
    if (!removed.is_leaving && removed.record.phase != endpoint_phase::draining) {
        return;
    }
    if (m_left_incarnations.size() >= max_left_incarnations) {
        m_left_incarnations.erase(m_left_incarnations.begin());
    }
    m_left_incarnations[removed.record.id] = removed.record.incarnation;
}

void endpoint_catalog::keep_send_times(endpoint& former, core::instant now)
{
    std::erase_if(m_former_send_times,
                  [now](const std::pair<const std::string, std::deque<core::instant>>& entry) {
                      return now - entry.second.back() >= cold_window;
                  });
    remove_old_sends(former, now);
    if (!former.recent_send_times.empty()) {
        m_former_send_times[former.record.id] = former.recent_send_times;
    }
}

void endpoint_catalog::restore_send_times(endpoint& added, core::instant now)
{
    const std::map<std::string, std::deque<core::instant>>::iterator found =
        m_former_send_times.find(added.record.id);
    if (found == m_former_send_times.end()) {
        return;
    }
    added.recent_send_times = found->second;
    added.unconfirmed_send_times = std::move(found->second);
    remove_old_sends(added, now);
    m_former_send_times.erase(found);
}

void endpoint_catalog::erase(std::map<std::string, endpoint_pointer>::iterator entry, core::instant now)
{
    const endpoint_pointer removed = entry->second;
    keep_send_times(*removed, now);
    remember_if_leaving(*removed);
    remove_from_service(*removed);
    m_endpoints.erase(entry);
    removed->is_removed = true;
    notify_change(catalog_change::removed, *removed);
}

void endpoint_catalog::add_to_service(const endpoint_pointer& added)
{
    std::vector<endpoint_pointer>& service_endpoints = m_services[added->record.service];
    const std::vector<endpoint_pointer>::iterator position =
        std::lower_bound(service_endpoints.begin(), service_endpoints.end(), added,
                         [](const endpoint_pointer& left, const endpoint_pointer& right) {
                             return left->record.id < right->record.id;
                         });
    service_endpoints.insert(position, added);
}

void endpoint_catalog::remove_from_service(const endpoint& removed)
{
    std::vector<endpoint_pointer>& service_endpoints = m_services[removed.record.service];
    std::erase_if(service_endpoints,
                  [&removed](const endpoint_pointer& entry) { return entry.get() == &removed; });
}

void endpoint_catalog::set_evacuated_zones(const std::set<std::string>& zones, core::instant now)
{
    m_evacuated_zones = zones;
    for (const auto& [id, entry] : m_endpoints) {
        const bool is_evacuated = zones.contains(entry->record.availability_zone);
        if (is_evacuated == entry->is_evacuated) {
            continue;
        }
        entry->is_evacuated = is_evacuated;
        if (!is_evacuated && m_hooks.get_cold_duration) {
            entry->cold_until =
                std::max(entry->cold_until, now + m_hooks.get_cold_duration(entry->record.service));
        }
        notify_change(is_evacuated ? catalog_change::evacuated : catalog_change::evacuation_ended, *entry);
    }
}

const std::vector<endpoint_pointer>& endpoint_catalog::find_service(std::string_view service) const
{
    static const std::vector<endpoint_pointer> no_endpoints;
    const std::map<std::string, std::vector<endpoint_pointer>, std::less<>>::const_iterator found =
        m_services.find(service);
    return found == m_services.end() ? no_endpoints : found->second;
}

endpoint_pointer endpoint_catalog::find(const std::string& id) const
{
    const std::map<std::string, endpoint_pointer>::const_iterator found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : found->second;
}

} // namespace quetzalspan::placement
