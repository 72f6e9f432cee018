// Adds and looks up metrics, and formats all of them as text.

#include "burn/metrics_registry.h"

#include <algorithm>
#include <stdexcept>

namespace quetzalspan::burn
{

namespace
{

constexpr double milliseconds_per_second = 1000;

std::vector<label> with_quantile(const std::vector<label>& labels, const char* quantile)
{
    std::vector<label> result = labels;
    result.push_back({"quantile", quantile});
    return result;
}

std::string summary_lines(const std::string& name, const std::vector<label>& labels, summary& source)
{
    const latency_summary values = source.read();
    return metric_line(name, with_quantile(labels, "0.5"),
                       values.p50_milliseconds / milliseconds_per_second) +
           metric_line(name, with_quantile(labels, "0.99"),
                       values.p99_milliseconds / milliseconds_per_second) +
           metric_line(name + "_sum", labels, source.sum_seconds()) +
           metric_line(name + "_count", labels, static_cast<double>(source.count()));
}

// Returns the lines of a metric of each type.
struct line_writer {
    const std::string& name;
    const std::vector<label>& labels;

    std::string operator()(const std::unique_ptr<counter>& source) const
    {
        return metric_line(name, labels, static_cast<double>(source->value()));
    }

    std::string operator()(const std::unique_ptr<gauge>& source) const
    {
        return metric_line(name, labels, source->value());
    }

    std::string operator()(const std::unique_ptr<summary>& source) const
    {
        return summary_lines(name, labels, *source);
    }

    template <typename Hook>
    std::string operator()(const Hook& source) const
    {
        return metric_line(name, labels, source.read());
    }
};

} // namespace

metrics_registry::family& metrics_registry::find_or_add_family(std::string_view name, std::string_view help,
                                                               std::string_view type,
                                                               const std::vector<label>& labels)
{
    const bool has_valid_labels = std::all_of(labels.begin(), labels.end(),
                                              [](const label& entry) { return is_metric_name(entry.name); });
    if (!is_metric_name(name) || !has_valid_labels) {
        throw std::invalid_argument("malformed name of a metric or of one of its labels: " +
                                    std::string(name));
    }
    const auto [entry, is_new] = m_families.emplace(name, family{});
    if (is_new) {
        entry->second.type = std::string(type);
        entry->second.help = std::string(help);
    }
    if (entry->second.type != type) {
        throw std::invalid_argument("metric " + std::string(name) + " is already registered as a " +
                                    entry->second.type);
    }
    return entry->second;
}

template <typename Metric>
Metric& metrics_registry::get(std::string_view name, std::string_view help, std::string_view type,
                              std::vector<label> labels)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    family& owner = find_or_add_family(name, help, type, labels);
    const auto [entry, is_new] = owner.metrics.emplace(std::move(labels), std::unique_ptr<Metric>());
    if (is_new) {
        entry->second = std::make_unique<Metric>();
    }
    std::unique_ptr<Metric>* found = std::get_if<std::unique_ptr<Metric>>(&entry->second);
    if (found == nullptr) {
        throw std::invalid_argument("metric " + std::string(name) +
                                    " is already registered with a read hook");
    }
    return **found;
}

counter& metrics_registry::get_counter(std::string_view name, std::string_view help,
                                       std::vector<label> labels)
{
    return get<counter>(name, help, "counter", std::move(labels));
}

gauge& metrics_registry::get_gauge(std::string_view name, std::string_view help, std::vector<label> labels)
{
    return get<gauge>(name, help, "gauge", std::move(labels));
}

summary& metrics_registry::get_summary(std::string_view name, std::string_view help,
                                       std::vector<label> labels)
{
    return get<summary>(name, help, "summary", std::move(labels));
}

void metrics_registry::add_counter_hook(std::string_view name, std::string_view help,
                                        std::vector<label> labels, read_hook read)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    find_or_add_family(name, help, "counter", labels)
        .metrics.insert_or_assign(std::move(labels), hook{std::move(read)});
}

void metrics_registry::add_gauge_hook(std::string_view name, std::string_view help, std::vector<label> labels,
                                      read_hook read)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    find_or_add_family(name, help, "gauge", labels)
        .metrics.insert_or_assign(std::move(labels), hook{std::move(read)});
}

std::string metrics_registry::to_text()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::string text;
    for (const auto& [name, owner] : m_families) {
        text += metric_header(name, owner.help, owner.type);
        for (const auto& [labels, entry] : owner.metrics) {
            text += std::visit(line_writer{name, labels}, entry);
        }
    }
    return text;
}

} // namespace quetzalspan::burn
