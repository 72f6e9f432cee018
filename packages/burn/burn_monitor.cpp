// Creates, updates and removes the series of all workspaces and services, and reports them.

#include "burn/burn_monitor.h"

namespace quetzalspan::burn
{

std::shared_ptr<burn_series> burn_monitor::series(const std::string& workspace, const std::string& service,
                                                  const service_objective& objective)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::shared_ptr<burn_series>& entry = m_series[{workspace, service}];
    if (!entry) {
        entry = std::make_shared<burn_series>(workspace, service, objective);
    }
    return entry;
}

void burn_monitor::set_objectives(const objective_hook& objective_of)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const auto& [key, entry] : m_series) {
        entry->set_objective(objective_of(entry->service()));
    }
}

void burn_monitor::remove_unused(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::erase_if(m_series, [now](const auto& entry) {
        return entry.second.use_count() == 1 && entry.second->counts(now, long_window).total() == 0;
    });
}

void burn_monitor::collect(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const auto& [key, entry] : m_series) {
        entry->collect(now);
    }
}

burn_report burn_monitor::report(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    burn_report result;
    for (const auto& [key, entry] : m_series) {
        result.rows.push_back({entry->workspace(), entry->service(), entry->objective(),
                               entry->counts(now, short_window), entry->counts(now, long_window),
                               entry->latency()});
    }
    sort_rows(result);
    return result;
}

} // namespace quetzalspan::burn
