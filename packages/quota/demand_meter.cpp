// Computes the exponential moving average of the request rate.

#include "quota/demand_meter.h"

#include <cmath>

namespace quetzalspan::quota
{

void demand_meter::decay(core::instant now)
{
    if (now > m_updated_at) {
        m_rate *= std::exp(-core::to_seconds(now - m_updated_at) / core::to_seconds(m_time_constant));
        m_updated_at = now;
    }
}

void demand_meter::record(core::instant now)
{
    decay(now);
    m_rate += 1 / core::to_seconds(m_time_constant);
}

double demand_meter::rate(core::instant now)
{
    decay(now);
    return m_rate;
}

} // namespace quetzalspan::quota
