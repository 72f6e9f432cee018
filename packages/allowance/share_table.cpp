// Applies limit definitions to the shares: creates, scales and closes them, and carries over permits in use
// when a removed limit is added again.

#include "allowance/share_table.h"

#include "allowance/scaling.h"

#include <set>

namespace quetzalspan::allowance
{

bool share_table::apply(const limit_set& set, core::instant now, const change_callback& on_limit_changed)
{
    if (set.revision <= m_revision) {
        return false;
    }
    m_revision = set.revision;
    std::set<std::string, std::less<>> kept_names;
    for (const limit_definition& definition : set.limits) {
        const auto found = m_entries.find(definition.name);
        if (found != m_entries.end() && found->second.definition.kind == definition.kind) {
            kept_names.insert(definition.name);
        }
    }
    std::vector<std::string> removed_names;
    for (const auto& [name, limit_entry] : m_entries) {
        if (!kept_names.contains(name)) {
            removed_names.push_back(name);
        }
    }
    for (const std::string& name : removed_names) {
        const amount old_limit = m_entries.at(name).definition.full_amount();
        on_limit_changed(name, &old_limit, nullptr);
        remove_limit(name);
    }
    for (const limit_definition& definition : set.limits) {
        const auto found = m_entries.find(definition.name);
        if (found == m_entries.end()) {
            m_entries.emplace(definition.name, entry{definition, open_share(definition, now)});
            continue;
        }
        const amount old_limit = found->second.definition.full_amount();
        const amount new_limit = definition.full_amount();
        if (old_limit != new_limit) {
            found->second.value->rescale(old_limit, new_limit, now);
            on_limit_changed(definition.name, &old_limit, &new_limit);
        }
        found->second.definition = definition;
    }
    return true;
}

void share_table::drop_all()
{
    for (auto& [name, limit_entry] : m_entries) {
        limit_entry.value->close();
        limit_entry.value = std::make_shared<share>(limit_entry.definition.kind);
    }
    m_removed_with_permits_in_use.clear();
}

const share_table::entry* share_table::find(std::string_view name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

void share_table::accrue(core::instant now)
{
    for (const auto& [name, limit_entry] : m_entries) {
        limit_entry.value->accrue(now);
    }
}

void share_table::update_demand(core::instant now)
{
    for (const auto& [name, limit_entry] : m_entries) {
        limit_entry.value->update_demand(now);
    }
    std::erase_if(m_removed_with_permits_in_use,
                  [](const auto& removed) { return removed.second.value->in_use() == 0; });
}

void share_table::remove_limit(const std::string& name)
{
    const auto found = m_entries.find(name);
    found->second.value->close();
    if (found->second.value->in_use() > 0) {
        m_removed_with_permits_in_use.insert_or_assign(name, found->second);
    }
    m_entries.erase(found);
}

std::shared_ptr<share> share_table::open_share(const limit_definition& definition, core::instant now)
{
    const auto removed = m_removed_with_permits_in_use.find(definition.name);
    if (removed == m_removed_with_permits_in_use.end() || definition.kind != limit_kind::permits) {
        return std::make_shared<share>(definition.kind);
    }
    std::shared_ptr<share> reopened = removed->second.value;
    reopened->reopen();
    reopened->rescale(removed->second.definition.full_amount(), definition.full_amount(), now);
    m_removed_with_permits_in_use.erase(removed);
    return reopened;
}

} // namespace quetzalspan::allowance
