// Follows the incarnation of an endpoint by its responses and by the ends of its connections.

#include "placement/incarnation_check.h"

#include <algorithm>

namespace quetzalspan::placement
{

void record_interruption(endpoint& target, core::instant now)
{
    target.interrupted_at = now;
}

void record_response(endpoint& target, core::instant connection_opened, core::instant sent,
                     core::duration cold_duration)
{
    // The incarnation at the other end started before the connection was opened.
    const bool is_known = connection_opened <= target.confirmed_at;
    const bool is_warm = sent - connection_opened >= cold_duration;
    if (is_known || is_warm) {
        target.confirmed_at = std::max(target.confirmed_at, sent);
    }
}

bool may_have_ended(const endpoint& target, bool is_discovery_current, core::instant now)
{
    if (!target.interrupted_at || *target.interrupted_at < target.confirmed_at) {
        return false;
    }
    return !is_discovery_current || now - *target.interrupted_at < interruption_lifetime;
}

} // namespace quetzalspan::placement
