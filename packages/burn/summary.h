// A metric of durations with count, sum and quantiles.

#pragma once

#include "burn/latency_statistics.h"
#include "burn/sample_buffer.h"

#include <mutex>

namespace quetzalspan::burn
{

// All functions may be called from any thread. Only read() takes a lock.
class summary
{
public:
    void record(core::duration value) { m_samples.add(value); }

    std::uint64_t count() const { return m_samples.count(); }
    double sum_seconds() const { return m_samples.sum_seconds(); }

    // Adds the buffered samples to the statistics and returns the statistics since the process started.
    latency_summary read()
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_samples.drain([this](double microseconds) { m_statistics.add(microseconds); });
        return m_statistics.summary();
    }

private:
    sample_buffer m_samples;
    std::mutex m_mutex;
    latency_statistics m_statistics;
};

} // namespace quetzalspan::burn
