// Converts burn reports to a table, JSON and metrics, parses their JSON form, and merges reports.

#include "burn/burn_report.h"

#include "burn/metric_text.h"
#include "core/findings.h"

#include <absl/strings/str_format.h>
#include <json/json.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace quetzalspan::burn
{

namespace
{

Json::Value to_json_value(const request_counts& counts, double rate)
{
    Json::Value value;
    value["good"] = Json::UInt64(counts.good);
    value["slow"] = Json::UInt64(counts.slow);
    value["failed"] = Json::UInt64(counts.failed);
    value["rejected_wrongfully"] = Json::UInt64(counts.rejected_wrongfully);
    value["burn_rate"] = rate;
    return value;
}

Json::Value to_json_value(const latency_summary& latency)
{
    Json::Value value;
    value["samples"] = Json::UInt64(latency.samples);
    value["mean_ms"] = latency.mean_milliseconds;
    value["p50_ms"] = latency.p50_milliseconds;
    value["p99_ms"] = latency.p99_milliseconds;
    value["max_ms"] = latency.max_milliseconds;
    return value;
}

// Reads members of JSON objects. A member that is missing or has the wrong type gets a finding and reads as
// an empty value.
class report_reader
{
public:
    explicit report_reader(std::string source) : m_source(std::move(source)) {}

    // Returns the member, or null if it is missing or the value is not an object, which jsoncpp would reject
    // with an exception.
    const Json::Value& member(const Json::Value& object, const char* name)
    {
        static const Json::Value nothing;
        return object.isObject() ? object[name] : nothing;
    }

    std::string text(const Json::Value& object, const char* name)
    {
        const Json::Value& value = member(object, name);
        expect(value.isString(), name, "must be a string");
        return value.isString() ? value.asString() : std::string();
    }

    double number(const Json::Value& object, const char* name)
    {
        const Json::Value& value = member(object, name);
        expect(value.isNumeric(), name, "must be a number");
        return value.isNumeric() ? value.asDouble() : 0;
    }

    std::uint64_t count(const Json::Value& object, const char* name)
    {
        const Json::Value& value = member(object, name);
        expect(value.isUInt64(), name, "must be a whole number");
        return value.isUInt64() ? value.asUInt64() : 0;
    }

    request_counts counts(const Json::Value& object, const char* name)
    {
        const Json::Value& value = member(object, name);
        return {count(value, "good"), count(value, "slow"), count(value, "failed"),
                count(value, "rejected_wrongfully")};
    }

    latency_summary latency(const Json::Value& object, const char* name)
    {
        const Json::Value& value = member(object, name);
        return {count(value, "samples"), number(value, "mean_ms"), number(value, "p50_ms"),
                number(value, "p99_ms"), number(value, "max_ms")};
    }

    void expect(bool condition, const char* name, const char* message)
    {
        if (!condition) {
            m_found.add_error({m_source, 0, 0}, std::string("burn report: ") + name + ": " + message);
        }
    }

    void throw_if_errors()
    {
        if (m_found.has_errors()) {
            throw core::findings_error(std::move(m_found));
        }
    }

private:
    std::string m_source;
    core::findings m_found;
};

// Returns the number of samples in both together, their mean, and the higher of both quantiles and maxima.
latency_summary merge_latency(const latency_summary& left, const latency_summary& right)
{
    latency_summary result;
    result.samples = left.samples + right.samples;
    if (result.samples > 0) {
        result.mean_milliseconds = (left.mean_milliseconds * static_cast<double>(left.samples) +
                                    right.mean_milliseconds * static_cast<double>(right.samples)) /
                                   static_cast<double>(result.samples);
    }
    result.p50_milliseconds = std::max(left.p50_milliseconds, right.p50_milliseconds);
    result.p99_milliseconds = std::max(left.p99_milliseconds, right.p99_milliseconds);
    result.max_milliseconds = std::max(left.max_milliseconds, right.max_milliseconds);
    return result;
}

} // namespace

void sort_rows(burn_report& report)
{
    std::stable_sort(report.rows.begin(), report.rows.end(), [](const burn_row& left, const burn_row& right) {
        const double left_rate = left.short_burn_rate();
        const double right_rate = right.short_burn_rate();
        if (left_rate != right_rate) {
            return left_rate > right_rate;
        }
        return std::tie(left.workspace, left.service) < std::tie(right.workspace, right.service);
    });
}

burn_report merge(const std::vector<burn_report>& reports)
{
    std::map<std::pair<std::string, std::string>, burn_row> sums;
    for (const burn_report& report : reports) {
        for (const burn_row& row : report.rows) {
            const auto [entry, is_new] = sums.emplace(std::make_pair(row.workspace, row.service), row);
            if (is_new) {
                continue;
            }
            burn_row& sum = entry->second;
            sum.short_counts += row.short_counts;
            sum.long_counts += row.long_counts;
            sum.latency = merge_latency(sum.latency, row.latency);
            sum.objective.target = std::max(sum.objective.target, row.objective.target);
            sum.objective.latency = std::min(sum.objective.latency, row.objective.latency);
        }
    }
    burn_report result;
    for (auto& [key, row] : sums) {
        result.rows.push_back(std::move(row));
    }
    sort_rows(result);
    return result;
}

std::string to_text(const burn_report& report)
{
    std::string text =
        absl::StrFormat("%-20s %-20s %8s %8s %9s %9s %8s %8s %8s %9s %9s\n", "workspace", "service", "target",
                        "limit_ms", "burn_5m", "burn_1h", "slow_1h", "fail_1h", "rej_1h", "p50_ms", "p99_ms");
    for (const burn_row& row : report.rows) {
        text += absl::StrFormat("%-20s %-20s %8.5g %8d %9.2f %9.2f %8d %8d %8d %9.1f %9.1f\n",
                                row.workspace.empty() ? "(public)" : row.workspace, row.service,
                                row.objective.target, row.objective.latency.count(), row.short_burn_rate(),
                                row.long_burn_rate(), row.long_counts.slow, row.long_counts.failed,
                                row.long_counts.rejected_wrongfully, row.latency.p50_milliseconds,
                                row.latency.p99_milliseconds);
    }
    return text;
}

Json::Value to_json_value(const burn_report& report)
{
    Json::Value value;
    value["rows"] = Json::Value(Json::arrayValue);
    for (const burn_row& row : report.rows) {
        Json::Value item;
        item["workspace"] = row.workspace;
        item["service"] = row.service;
        item["target"] = row.objective.target;
        item["latency_ms"] = Json::Int64(row.objective.latency.count());
        item["window_5m"] = to_json_value(row.short_counts, row.short_burn_rate());
        item["window_1h"] = to_json_value(row.long_counts, row.long_burn_rate());
        item["latency"] = to_json_value(row.latency);
        value["rows"].append(item);
    }
    return value;
}

burn_report burn_report_from_json(const Json::Value& value, const std::string& source)
{
    report_reader reader(source);
    burn_report report;
    const Json::Value& rows = reader.member(value, "rows");
    reader.expect(rows.isArray(), "rows", "must be a list");
    for (const Json::Value& item : rows.isArray() ? rows : Json::Value(Json::arrayValue)) {
        burn_row row;
        row.workspace = reader.text(item, "workspace");
        row.service = reader.text(item, "service");
        row.objective.target = reader.number(item, "target");
        reader.expect(row.objective.target > 0 && row.objective.target < 1, "target",
                      "must be between 0 and 1");
        row.objective.latency = std::chrono::milliseconds(reader.count(item, "latency_ms"));
        row.short_counts = reader.counts(item, "window_5m");
        row.long_counts = reader.counts(item, "window_1h");
        row.latency = reader.latency(item, "latency");
        report.rows.push_back(std::move(row));
    }
    reader.throw_if_errors();
    return report;
}

std::string to_metrics_text(const burn_report& report)
{
    std::string text = metric_header("burn_rate", "Burn rate of the error budget by window.", "gauge");
    for (const burn_row& row : report.rows) {
        const std::vector<label> labels{{"workspace", row.workspace}, {"service", row.service}};
        std::vector<label> with_window = labels;
        with_window.push_back({"window", "5m"});
        text += metric_line("burn_rate", with_window, row.short_burn_rate());
        with_window.back().value = "1h";
        text += metric_line("burn_rate", with_window, row.long_burn_rate());
    }
    return text;
}

} // namespace quetzalspan::burn
