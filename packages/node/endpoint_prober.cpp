// Probes the endpoints of the published configuration and records the reports in their endpoint states.

#include "node/endpoint_prober.h"

namespace quetzalspan::node
{

namespace
{

std::string make_probe_identity(const std::string& service, const std::string& endpoint)
{
    return service + "/" + endpoint;
}

} // namespace

endpoint_prober::endpoint_prober(const boost::asio::any_io_executor& executor, const state_cell& state)
    : m_state(state),
      m_probe(upstream::probe::create(executor, {},
                                      [this](const upstream::probe_report& report) { record(report); }))
{
}

void endpoint_prober::set_targets(const published_state& state)
{
    const steering::snapshot& routing = state.routing();
    std::vector<upstream::probe_target> targets;
    for (const steering::compiled_endpoint& endpoint : routing.endpoints()) {
        if (endpoint.region == routing.own_region()) {
            targets.push_back({make_probe_identity(routing.services()[endpoint.service].name, endpoint.id),
                               endpoint.host, endpoint.port});
        }
    }
    m_probe->set_targets(std::move(targets));
}

void endpoint_prober::record(const upstream::probe_report& report) const
{
    const core::instant now = std::chrono::steady_clock::now();
    const core::rcu_read_section section;
    const std::shared_ptr<const published_state>& current = m_state.read(section);
    const std::size_t slash = report.identity.find('/');
    const std::optional<steering::service_index> service =
        current->routing().find_service(report.identity.substr(0, slash));
    if (!service) {
        return;
    }
    const std::optional<steering::endpoint_index> endpoint =
        current->routing().find_endpoint(*service, report.identity.substr(slash + 1));
    if (!endpoint) {
        return;
    }
    steering::endpoint_state& state = *current->routing().endpoints()[*endpoint].state;
    if (report.is_draining) {
        state.record_drain(now);
    }
    if (!report.is_reachable) {
        state.record_unreachable(report.sent_at, now);
        return;
    }
    state.record_health(report.is_healthy ? steering::reported_health::healthy
                                          : steering::reported_health::unhealthy,
                        report.sent_at, now);
    if (report.load) {
        state.record_load(*report.load, report.sent_at);
    }
}

} // namespace quetzalspan::node
