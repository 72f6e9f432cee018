// Sums the demand that instances report. Reports to a collector and its sums are two messages for each
// instance, where telling every peer would take as many as there are pairs of instances.

#pragma once

#include "core/time.h"
#include "quota/demand.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspan::quota
{

// Not for several threads at once.
class demand_collector
{
public:
    explicit demand_collector(core::duration report_lifetime) : m_report_lifetime(report_lifetime) {}

    // Takes over a report. Returns false, changing nothing, if it is not newer than the one before.
    bool record(const std::string& instance, demand_report report, core::instant now);

    // Drops reports that are older than their lifetime.
    void expire(core::instant now);

    // The instances whose reports count, in the order of their names.
    std::vector<std::string> reporters() const;

    // The sums of all reports and of the collector's own one. The receiver is a reporter or the collector
    // itself.
    demand_sums sums_for(const std::string& receiver, const demand_report& own) const;

private:
    struct received_report {
        demand_report report;
        core::instant received;
    };

    core::duration m_report_lifetime;
    // By instance.
    std::map<std::string, received_report, std::less<>> m_reports;
};

} // namespace quetzalspan::quota
