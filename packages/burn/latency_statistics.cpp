// Feeds samples in microseconds to the accumulators and reads the statistics in milliseconds.

#include "burn/latency_statistics.h"

namespace quetzalspan::burn
{

namespace accumulators = boost::accumulators;

namespace
{

// The P-square algorithm has no estimate before it has a sample for each of its five markers.
constexpr std::uint64_t min_quantile_samples = 5;
constexpr double microseconds_per_millisecond = 1000;

} // namespace

latency_statistics::latency_statistics()
    : m_p50(accumulators::quantile_probability = 0.5), m_p99(accumulators::quantile_probability = 0.99)
{
}

void latency_statistics::add(double microseconds)
{
    m_base(microseconds);
    m_p50(microseconds);
    m_p99(microseconds);
}

std::uint64_t latency_statistics::count() const
{
    return accumulators::count(m_base);
}

latency_summary latency_statistics::summary() const
{
    latency_summary result;
    result.samples = count();
    if (result.samples == 0) {
        return result;
    }
    result.mean_milliseconds = accumulators::mean(m_base) / microseconds_per_millisecond;
    result.max_milliseconds = accumulators::max(m_base) / microseconds_per_millisecond;
    if (result.samples < min_quantile_samples) {
        result.p50_milliseconds = result.mean_milliseconds;
        result.p99_milliseconds = result.max_milliseconds;
        return result;
    }
    result.p50_milliseconds = accumulators::p_square_quantile(m_p50) / microseconds_per_millisecond;
    result.p99_milliseconds = accumulators::p_square_quantile(m_p99) / microseconds_per_millisecond;
    return result;
}

} // namespace quetzalspan::burn
