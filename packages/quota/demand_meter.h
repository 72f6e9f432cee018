// Measures how many requests per second are offered, as an exponential moving average.

#pragma once

#include "core/time.h"

namespace quetzalspan::quota
{

// Not for several threads at once.
class demand_meter
{
public:
    demand_meter(core::duration time_constant, core::instant now)
        : m_time_constant(time_constant), m_updated(now)
    {
    }

    void record(core::instant now);

    // Requests per second.
    double rate(core::instant now);

private:
    void decay(core::instant now);

    core::duration m_time_constant;
    core::instant m_updated;
    double m_rate = 0;
};

} // namespace quetzalspan::quota
