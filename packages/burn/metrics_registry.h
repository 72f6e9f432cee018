// The metrics of one process and their text exposition.

#pragma once

#include "burn/counter.h"
#include "burn/gauge.h"
#include "burn/metric_text.h"
#include "burn/summary.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalspan::burn
{

// Holds metrics by name and labels. Thread-safe. A metric is looked up once, under a lock, and then used
// through the returned reference, which stays valid as long as the registry. A second call with the same name
// and labels returns the same metric. Names are given without the prefix. All functions but to_text() throw
// std::invalid_argument if a name is malformed or already used for a metric of another type.
class metrics_registry
{
public:
    using read_hook = std::function<double()>;

    counter& get_counter(std::string_view name, std::string_view help, std::vector<label> labels = {});
    gauge& get_gauge(std::string_view name, std::string_view help, std::vector<label> labels = {});

    // The durations are exported in seconds; by convention the name ends in "_seconds".
    summary& get_summary(std::string_view name, std::string_view help, std::vector<label> labels = {});

    // Add a metric whose value the hook returns at each exposition. What the hook refers to must live until
    // the last call of to_text(). The hook runs under the registry's lock, so it may not call the registry.
    void add_counter_hook(std::string_view name, std::string_view help, std::vector<label> labels,
                          read_hook read);
    void add_gauge_hook(std::string_view name, std::string_view help, std::vector<label> labels,
                        read_hook read);

    // Returns all metrics in the text exposition format, ordered by name and labels.
    std::string to_text();

private:
    struct hook {
        read_hook read;
    };
    using metric =
        std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<summary>, hook>;

    // The metrics of one name.
    struct family {
        std::string type;
        std::string help;
        std::map<std::vector<label>, metric> metrics;
    };

    // Returns the family of the name, which is added if there is none. Called under the lock.
    family& find_or_add_family(std::string_view name, std::string_view help, std::string_view type,
                               const std::vector<label>& labels);

    // Returns the metric with the name and labels, which is added if there is none. Takes the lock.
    template <typename Metric>
    Metric& get(std::string_view name, std::string_view help, std::string_view type,
                std::vector<label> labels);

    std::mutex m_mutex;
    std::map<std::string, family, std::less<>> m_families;
};

} // namespace quetzalspan::burn
