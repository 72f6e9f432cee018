// The request counts and latencies of one instance for each workspace and service, and their burn report.

#pragma once

#include "burn/burn_report.h"
#include "burn/burn_series.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace quetzalspan::burn
{

// The control thread looks up the series of each workspace and service once for each configuration. Requests
// are then recorded in the series directly, without the monitor and its lock. All functions take the lock.
class burn_monitor
{
public:
    // Returns the objective of a service.
    using objective_hook = std::function<service_objective(const std::string& service)>;

    // Returns the series of a workspace and service. The first call creates it with the objective; later
    // calls ignore the objective. The workspace is empty for public routes.
    std::shared_ptr<burn_series> series(const std::string& workspace, const std::string& service,
                                        const service_objective& objective);

    // Sets the objective of every series to what the hook returns for its service, for use after a change of
    // the configuration.
    void set_objectives(const objective_hook& objective_of);

    // Removes the series that no other owner holds and that have no requests in the long window.
    void remove_unused(core::instant now);

    // Moves the recorded requests of every series into its windows. Called about once a second.
    void collect(core::instant now);

    // Returns a row for each series, sorted by sort_rows().
    burn_report report(core::instant now) const;

private:
    mutable std::mutex m_mutex;
    // The keys are workspace and service.
    std::map<std::pair<std::string, std::string>, std::shared_ptr<burn_series>> m_series;
};

} // namespace quetzalspan::burn
