// The report of how fast the error budgets of service-level objectives are used up, for one instance or
// merged from several. Convertible to a table, JSON and metrics.

#pragma once

#include "burn/burn_series.h"
#include "burn/latency_statistics.h"
#include "burn/request_counts.h"

#include <json/forwards.h>

#include <string>
#include <vector>

namespace quetzalspan::burn
{

// The counts of one workspace and service over both windows.
struct burn_row {
    // Empty for public routes.
    std::string workspace;
    std::string service;
    service_objective objective;
    request_counts short_counts;
    request_counts long_counts;
    latency_summary latency;

    double short_burn_rate() const { return burn_rate(short_counts, objective.target); }
    double long_burn_rate() const { return burn_rate(long_counts, objective.target); }
};

struct burn_report {
    // In the order of sort_rows().
    std::vector<burn_row> rows;
};

// Returns a report with the sums of the counts of each workspace and service. Quantiles cannot be added, so
// the highest of each is taken. While instances change to a new configuration their objectives may differ;
// the strictest target and latency are taken.
burn_report merge(const std::vector<burn_report>& reports);

// Sorts the rows by burn rate over the short window, highest first, then by workspace and service.
void sort_rows(burn_report& report);

// Returns a table with a header line and a line for each row.
std::string to_text(const burn_report& report);

// Returns the JSON form.
Json::Value to_json_value(const burn_report& report);

// Parses the JSON form; source names it in findings. Throws core::findings_error if a member is missing or
// has a wrong type, or if a target is not between 0 and 1.
burn_report burn_report_from_json(const Json::Value& value, const std::string& source);

// Returns the burn rates as gauges in the text exposition format, one for each row and window.
std::string to_metrics_text(const burn_report& report);

} // namespace quetzalspan::burn
