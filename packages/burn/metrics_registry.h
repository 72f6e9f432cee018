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

// Metrics are looked up once, under a lock, and used through the reference, which stays valid as long as the
// registry. Asking again for the same name and labels gives the same metric. Names are without prefix. All
// functions throw std::invalid_argument if a name is malformed or already used for another kind.
class metrics_registry
{
public:
    using read_hook = std::function<double()>;

    counter& get_counter(std::string_view name, std::string_view help, std::vector<label> labels = {});
    gauge& get_gauge(std::string_view name, std::string_view help, std::vector<label> labels = {});

    // Durations in seconds; the name ends in "_seconds" by convention.
    summary& get_summary(std::string_view name, std::string_view help, std::vector<label> labels = {});

    // Values that another part holds and that are read for each exposition. The hook must outlive the
    // registry's use.
    void add_counter_hook(std::string_view name, std::string_view help, std::vector<label> labels,
                          read_hook read);
    void add_gauge_hook(std::string_view name, std::string_view help, std::vector<label> labels,
                        read_hook read);

    // Returns the text exposition of all metrics, in the order of names and labels.
    std::string to_text();

private:
    struct hook {
        read_hook read;
    };
    using metric =
        std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<summary>, hook>;

    struct family {
        std::string type;
        std::string help;
        std::map<std::vector<label>, metric> metrics;
    };

    family& find_or_add_family(std::string_view name, std::string_view help, std::string_view type,
                               const std::vector<label>& labels);

    template <typename Metric>
    Metric& get(std::string_view name, std::string_view help, std::string_view type,
                std::vector<label> labels);

    std::mutex m_guard;
    std::map<std::string, family, std::less<>> m_families;
};

} // namespace quetzalspan::burn
