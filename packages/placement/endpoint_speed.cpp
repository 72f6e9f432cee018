// Weights the reported pace by its age.

#include "placement/endpoint_speed.h"

#include <algorithm>

namespace quetzalspan::placement
{

double estimate_slowdown(const endpoint& target, const speed_options& options, core::instant now)
{
    if (!target.reported_load || !target.reported_load->pace_percent) {
        return 1;
    }
    const double age = core::to_seconds(now - target.load_reported_at);
    const double weight = std::clamp(1 - age / core::to_seconds(options.pace_lifetime), 0.0, 1.0);
    const double reported =
        std::clamp(*target.reported_load->pace_percent / 100.0, options.min_slowdown, options.max_slowdown);
    return 1 + (reported - 1) * weight;
}

} // namespace quetzalspan::placement
