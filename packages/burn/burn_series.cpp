// Records requests in shards and collects them into windows and latency statistics.

#include "burn/burn_series.h"

namespace quetzalspan::burn
{

namespace
{

// With fewer samples the quantiles of the current period are less accurate than those of the previous one.
constexpr std::uint64_t min_period_samples = 200;

} // namespace

burn_series::burn_series(std::string workspace, std::string service, service_objective objective)
    : m_workspace(std::move(workspace)),
      m_service(std::move(service)),
      m_objective(objective),
      m_latency_nanoseconds(core::duration(objective.latency).count())
{
}

void burn_series::set_objective(service_objective objective)
{
    m_objective = objective;
    m_latency_nanoseconds.store(core::duration(objective.latency).count(), std::memory_order_relaxed);
}

void burn_series::record(request_result result, core::duration latency)
{
    shard& own = m_shards[shard_of_this_thread()];
    switch (result) {
    case request_result::succeeded:
        if (latency.count() > m_latency_nanoseconds.load(std::memory_order_relaxed)) {
            own.slow.fetch_add(1, std::memory_order_relaxed);
        } else {
            own.good.fetch_add(1, std::memory_order_relaxed);
        }
        // Only successful requests are sampled: failures and rejections are often quick and would make the
        // latency look lower.
        m_samples.add(latency);
        break;
    case request_result::failed:
        own.failed.fetch_add(1, std::memory_order_relaxed);
        break;
    case request_result::rejected_wrongfully:
        own.rejected_wrongfully.fetch_add(1, std::memory_order_relaxed);
        break;
    }
}

request_counts burn_series::recorded() const
{
    request_counts total;
    for (const shard& entry : m_shards) {
        total += {entry.good.load(std::memory_order_relaxed), entry.slow.load(std::memory_order_relaxed),
                  entry.failed.load(std::memory_order_relaxed),
                  entry.rejected_wrongfully.load(std::memory_order_relaxed)};
    }
    return total;
}

void burn_series::collect(core::instant now)
{
    const request_counts total = recorded();
    m_windows.add(now, total - m_collected_total);
    m_collected_total = total;
    if (!m_has_period) {
        m_period_begin = now;
        m_has_period = true;
    }
    if (now - m_period_begin >= short_window) {
        m_previous_period = m_current_period.summary();
        m_current_period = latency_statistics();
        m_period_begin = now;
    }
    m_samples.drain([this](double microseconds) { m_current_period.add(microseconds); });
}

latency_summary burn_series::latency() const
{
    if (m_current_period.count() < min_period_samples &&
        m_previous_period.samples > m_current_period.count()) {
        return m_previous_period;
    }
    return m_current_period.summary();
}

} // namespace quetzalspan::burn
