// Statistics of durations, computed by Boost.Accumulators: count, mean, maximum, median and 99th percentile.

#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>

namespace quetzalspan::burn
{

// All values are 0 if there are no samples.
struct latency_summary {
    std::uint64_t samples = 0;
    double mean_milliseconds = 0;
    double p50_milliseconds = 0;
    double p99_milliseconds = 0;
    double max_milliseconds = 0;
};

// The P-square algorithm estimates a quantile from five markers, so that memory use does not grow with the
// number of samples. Not thread-safe.
class latency_statistics
{
public:
    latency_statistics();

    void add(double microseconds);
    std::uint64_t count() const;
    // Returns the statistics of all samples. With fewer than five the mean and the maximum stand in for the
    // quantiles.
    latency_summary summary() const;

private:
    using quantile_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    using base_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::max>>;

    base_accumulator m_base;
    quantile_accumulator m_p50;
    quantile_accumulator m_p99;
};

} // namespace quetzalspan::burn
