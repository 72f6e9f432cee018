// Counts and latencies of the requests of one workspace to one service, and the objective they are judged by.

#pragma once

#include "burn/latency_statistics.h"
#include "burn/request_counts.h"
#include "burn/sample_buffer.h"
#include "burn/window_counts.h"
#include "core/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace quetzalspan::burn
{

inline constexpr std::chrono::minutes short_window{5};
inline constexpr std::chrono::minutes long_window{60};

// The service-level objective of a service.
struct service_objective {
    // Fraction of requests that must be good; above 0 and below 1.
    double target = 0.999;
    // A successful request that takes longer counts as slow.
    std::chrono::milliseconds latency{1000};

    bool operator==(const service_objective&) const = default;
};

// record() may be called from any thread, takes no lock and allocates no memory. All other functions are
// called by the control thread only.
class burn_series
{
public:
    burn_series(std::string workspace, std::string service, service_objective objective);

    burn_series(const burn_series&) = delete;
    burn_series& operator=(const burn_series&) = delete;

    // Counts one request. A successful one counts as slow if it took longer than the objective's latency.
    void record(request_result result, core::duration latency);

    // Adds the requests recorded since the last call to the windows, with the time of this call. Called about
    // once a second.
    void collect(core::instant now);

    void set_objective(service_objective objective);

    const std::string& workspace() const { return m_workspace; }
    const std::string& service() const { return m_service; }
    const service_objective& objective() const { return m_objective; }
    // Returns the counts of the window that ends now. The window is at most window_counts::max_window.
    request_counts counts(core::instant now, core::duration window) const
    {
        return m_windows.sum(now, window);
    }

    // Returns the statistics of the current period of 5 minutes, or those of the previous one while the
    // current one has too few samples for its quantiles.
    latency_summary latency() const;

private:
    struct alignas(cache_line_bytes) shard {
        std::atomic<std::uint64_t> good{0};
        std::atomic<std::uint64_t> slow{0};
        std::atomic<std::uint64_t> failed{0};
        std::atomic<std::uint64_t> rejected_wrongfully{0};
    };

    // Returns the sum of all shards since the start.
    request_counts recorded() const;

    std::string m_workspace;
    std::string m_service;
    service_objective m_objective;
    // Copy of the objective's latency that record() may read from any thread.
    std::atomic<std::int64_t> m_latency_nanoseconds;
    std::array<shard, shard_count> m_shards;
    sample_buffer m_samples;

    // The value of recorded() at the last collect().
    request_counts m_collected_total;
    window_counts m_windows;
    latency_statistics m_current_period;
    latency_summary m_previous_period;
    // Valid if m_has_period, that is, after the first collect().
    core::instant m_period_begin;
    bool m_has_period = false;
};

} // namespace quetzalspan::burn
