// Measures the rate of offered requests, whether admitted or rejected, as an exponential moving average.

#pragma once

#include "core/time.h"

namespace quetzalspan::quota
{

// Not thread-safe.
class demand_meter
{
public:
    demand_meter(core::duration time_constant, core::instant now)
        : m_time_constant(time_constant), m_updated_at(now)
    {
    }

    // Counts one request.
    void record(core::instant now);

    // Returns the average rate in requests per second.
    double rate(core::instant now);

private:
    void decay(core::instant now);

    core::duration m_time_constant;
    core::instant m_updated_at;
    // Requests per second, as of m_updated_at.
    double m_rate = 0;
};

} // namespace quetzalspan::quota
