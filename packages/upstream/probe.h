// Active health checks: requests the health and load of endpoints at a fixed interval and passes the results
// to a callback.

#pragma once

#include "core/time.h"
#include "http/client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::upstream
{

struct probe_options {
    // Time between two probes of one endpoint. The first probe is delayed by a part of the interval that a
    // stable hash of the identity determines, so that instances and endpoints do not probe all at once.
    core::duration interval = std::chrono::seconds(1);
    // For each of the two requests of a probe.
    core::duration timeout = std::chrono::milliseconds(500);
};

struct probe_target {
    // Identifies the endpoint in reports; unique among the targets.
    std::string identity;
    // A numeric address.
    std::string host;
    std::uint16_t port = 0;
};

// The result of one probe. Results can be out of date or false: the steering package weighs them by age, and
// ignores the reported health once it has enough results of real requests.
struct probe_report {
    std::string identity;
    // When the probe was sent. The state that the endpoint reports may be as old as this.
    core::instant sent_at;
    // Whether the endpoint answered both requests, for health and for load, in time.
    bool is_reachable = false;
    bool is_healthy = false;
    bool is_draining = false;
    // Fraction of the endpoint's slots in use; no value if it was not reported or is not a finite number of
    // at least 0.
    std::optional<double> load;
};

// Probes a set of endpoints. Thread-safe.
class probe : public std::enable_shared_from_this<probe>
{
public:
    // on_report is called on a strand of the executor after each probe.
    static std::shared_ptr<probe> create(boost::asio::any_io_executor executor, probe_options options,
                                         std::function<void(const probe_report&)> on_report);

    probe(const probe&) = delete;
    probe& operator=(const probe&) = delete;

    // Replaces the set of endpoints to probe, asynchronously. Probing of an endpoint that remains is not
    // interrupted. A target whose host is not a numeric address is logged and left out.
    void set_targets(std::vector<probe_target> targets);

    // Stops probing once the running probes have ended; their results are not reported.
    void stop();

private:
    struct probed_endpoint;

    probe(const boost::asio::any_io_executor& executor, probe_options options,
          std::function<void(const probe_report&)> on_report);

    void replace_targets(const std::vector<probe_target>& targets);
    // Probes one endpoint at the interval until it is no longer a target.
    boost::asio::awaitable<void> run_probes(std::shared_ptr<probed_endpoint> endpoint);
    // Requests the health and load of one endpoint.
    boost::asio::awaitable<probe_report> probe_endpoint(probed_endpoint& endpoint);

    boost::asio::any_io_executor m_executor;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    probe_options m_options;
    std::function<void(const probe_report&)> m_on_report;
    // The targets by identity. Accessed on the strand only.
    std::map<std::string, std::shared_ptr<probed_endpoint>> m_endpoints;
};

} // namespace quetzalspan::upstream
