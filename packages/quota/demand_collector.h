// Sums the demand that instances report to a collector. With a collector, each instance sends one report and
// receives one message with the sums. Reports to every peer would take one message per pair of instances.

#pragma once

#include "core/time.h"
#include "quota/demand.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspan::quota
{

// Not thread-safe.
class demand_collector
{
public:
    explicit demand_collector(core::duration report_lifetime) : m_report_lifetime(report_lifetime) {}

    // Stores a report in place of the previous one from the same instance. Returns false and changes nothing
    // if its sequence number is not higher than that of the stored report.
    bool record(const std::string& instance, demand_report report, core::instant now);

    // Removes reports that were received longer ago than the report lifetime.
    void expire(core::instant now);

    // Returns the names of the instances with a stored report, in ascending order.
    std::vector<std::string> reporters() const;

    // Returns the sums of all stored reports and of the collector's own report. The receiver must be an
    // instance with a stored report or the collector itself.
    demand_sums sums_for(const std::string& receiver, const demand_report& own) const;

private:
    struct received_report {
        demand_report report;
        core::instant received_at;
    };

    core::duration m_report_lifetime;
    // Keyed by the name of the instance.
    std::map<std::string, received_report, std::less<>> m_reports;
};

} // namespace quetzalspan::quota
