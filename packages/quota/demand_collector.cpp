// Stores the latest demand report of each instance and computes the sums for a receiver.

#include "quota/demand_collector.h"

namespace quetzalspan::quota
{

namespace
{

void add_rates(demand_rates& sums, const demand_rates& rates)
{
    for (const auto& [workspace, rate] : rates) {
        sums[workspace] += rate;
    }
}

} // namespace

bool demand_collector::record(const std::string& instance, demand_report report, core::instant now)
{
    const std::map<std::string, received_report, std::less<>>::const_iterator previous =
        m_reports.find(instance);
    if (previous != m_reports.end() && report.sequence <= previous->second.report.sequence) {
        return false;
    }
    m_reports[instance] = {std::move(report), now};
    return true;
}

void demand_collector::expire(core::instant now)
{
    std::erase_if(m_reports, [this, now](const std::pair<const std::string, received_report>& entry) {
        return now - entry.second.received_at > m_report_lifetime;
    });
}

std::vector<std::string> demand_collector::reporters() const
{
    std::vector<std::string> result;
    for (const auto& [instance, entry] : m_reports) {
        result.push_back(instance);
    }
    return result;
}

demand_sums demand_collector::sums_for(const std::string& receiver, const demand_report& own) const
{
    demand_sums result;
    result.acknowledged_sequence = own.sequence;
    result.rates = own.rates;
    result.reporter_count = m_reports.size() + 1;
    for (const auto& [instance, entry] : m_reports) {
        add_rates(result.rates, entry.report.rates);
        if (instance == receiver) {
            result.acknowledged_sequence = entry.report.sequence;
        }
    }
    return result;
}

} // namespace quetzalspan::quota
