// Polls the health and load URLs of endpoints and records the reports in the endpoint states.

#pragma once

#include "node/published_state.h"
#include "node/request_policy.h"
#include "upstream/probe.h"

#include <memory>

namespace quetzalspan::node
{

// Probes the endpoints in the region of the instance. Endpoints of other regions are judged only by the
// requests sent to them: a probe takes about 6 ms of an endpoint's time, and probes from every instance of
// every region would add up.
class endpoint_prober
{
public:
    endpoint_prober(const boost::asio::any_io_executor& executor, const state_cell& state);

    endpoint_prober(const endpoint_prober&) = delete;
    endpoint_prober& operator=(const endpoint_prober&) = delete;

    // Replaces the probed endpoints by those of the state.
    void set_targets(const published_state& state);
    void stop() { m_probe->stop(); }

private:
    void record(const upstream::probe_report& report) const;

    const state_cell& m_state;
    std::shared_ptr<upstream::probe> m_probe;
};

} // namespace quetzalspan::node
