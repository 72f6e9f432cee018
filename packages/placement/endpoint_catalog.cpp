// Implements the catalog of endpoints.

#include "placement/endpoint_catalog.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace quetzalspan::placement
{

bool may_receive(const endpoint& candidate)
{
    return candidate.record.phase == endpoint_phase::serving && !candidate.is_evacuated &&
           !candidate.is_removed;
}

endpoint_catalog::endpoint_catalog(catalog_options options, hooks callbacks)
    : m_options(options), m_hooks(std::move(callbacks))
{
}

void endpoint_catalog::report(catalog_change change, const endpoint& about) const
{
    if (m_hooks.on_change) {
        m_hooks.on_change(change, about);
    }
}

void endpoint_catalog::apply(const endpoint_record& record, core::instant now, bool is_first_listing)
{
    const std::map<std::string, endpoint_pointer>::iterator known = m_endpoints.find(record.id);
    if (known == m_endpoints.end()) {
        add(record, now, is_first_listing);
        return;
    }
    endpoint& current = *known->second;
    const bool is_outdated =
        record.incarnation < current.record.incarnation ||
        (record.incarnation == current.record.incarnation && record.sequence < current.record.sequence);
    if (is_outdated) {
        report(catalog_change::outdated_record_ignored, current);
        return;
    }
    replace(current, record, now);
}

void endpoint_catalog::add(const endpoint_record& record, core::instant now, bool is_first_listing)
{
    const endpoint_pointer added = std::make_shared<endpoint>();
    added->record = record;
    added->hash = core::stable_hash(record.id);
    added->known_since = now;
    added->is_evacuated = m_evacuated_zones.contains(record.availability_zone);
    added->cold_until = now + record.cold_remaining;
    if (!is_first_listing && m_hooks.cold_time) {
        added->cold_until = now + std::max(record.cold_remaining, m_hooks.cold_time(record.service));
    }
    m_endpoints.emplace(record.id, added);
    link(added);
    report(catalog_change::added, *added);
}

void endpoint_catalog::replace(endpoint& known, const endpoint_record& record, core::instant now)
{
    const endpoint_pointer self = m_endpoints.at(record.id);
    const bool is_restarted = record.incarnation > known.record.incarnation;
    const bool begins_to_drain =
        record.phase == endpoint_phase::draining && known.record.phase != endpoint_phase::draining;
    if (is_restarted || record.service != known.record.service) {
        unlink(known);
        // Requests of the former incarnation hold the former object.
        m_endpoints.erase(record.id);
        known.is_removed = true;
        add(record, now, false);
        report(catalog_change::restarted, *m_endpoints.at(record.id));
        return;
    }
    known.record = record;
    known.missing_since.reset();
    known.is_evacuated = m_evacuated_zones.contains(record.availability_zone);
    if (record.cold_remaining > core::duration(0)) {
        known.cold_until = std::max(known.cold_until, now + record.cold_remaining);
    }
    report(begins_to_drain ? catalog_change::draining : catalog_change::updated, known);
}

void endpoint_catalog::remove(const std::string& id, core::instant now)
{
    const std::map<std::string, endpoint_pointer>::iterator known = m_endpoints.find(id);
    if (known == m_endpoints.end()) {
        return;
    }
    endpoint& current = *known->second;
    if (!current.missing_since) {
        current.missing_since = now;
        if (is_mass_removal(current)) {
            begin_absence_grace(now);
        }
    }
    if (now < m_grace_until) {
        report(catalog_change::missing, current);
        return;
    }
    erase(known);
}

bool endpoint_catalog::is_mass_removal(const endpoint& candidate) const
{
    const std::vector<endpoint_pointer>& others = find_service(candidate.record.service);
    std::size_t missing = 0;
    for (const endpoint_pointer& other : others) {
        missing += other->missing_since ? 1 : 0;
    }
    return static_cast<double>(missing) > m_options.mass_removal_share * static_cast<double>(others.size());
}

void endpoint_catalog::expire(core::instant now)
{
    if (now < m_grace_until) {
        return;
    }
    for (std::map<std::string, endpoint_pointer>::iterator entry = m_endpoints.begin();
         entry != m_endpoints.end();) {
        const std::map<std::string, endpoint_pointer>::iterator current = entry++;
        if (current->second->missing_since) {
            erase(current);
        }
    }
}

void endpoint_catalog::erase(std::map<std::string, endpoint_pointer>::iterator entry)
{
    const endpoint_pointer removed = entry->second;
    unlink(*removed);
    m_endpoints.erase(entry);
    removed->is_removed = true;
    report(catalog_change::removed, *removed);
}

void endpoint_catalog::link(const endpoint_pointer& added)
{
    std::vector<endpoint_pointer>& peers = m_services[added->record.service];
    const std::vector<endpoint_pointer>::iterator place = std::lower_bound(
        peers.begin(), peers.end(), added, [](const endpoint_pointer& left, const endpoint_pointer& right) {
            return left->record.id < right->record.id;
        });
    peers.insert(place, added);
}

void endpoint_catalog::unlink(const endpoint& removed)
{
    std::vector<endpoint_pointer>& peers = m_services[removed.record.service];
    std::erase_if(peers, [&removed](const endpoint_pointer& entry) { return entry.get() == &removed; });
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
        if (!is_evacuated && m_hooks.cold_time) {
            entry->cold_until = std::max(entry->cold_until, now + m_hooks.cold_time(entry->record.service));
        }
        report(is_evacuated ? catalog_change::evacuated : catalog_change::returned, *entry);
    }
}

const std::vector<endpoint_pointer>& endpoint_catalog::find_service(std::string_view service) const
{
    static const std::vector<endpoint_pointer> none;
    const std::map<std::string, std::vector<endpoint_pointer>, std::less<>>::const_iterator found =
        m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

endpoint_pointer endpoint_catalog::find(const std::string& id) const
{
    const std::map<std::string, endpoint_pointer>::const_iterator found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : found->second;
}

} // namespace quetzalspan::placement
