// Schedules the probes of endpoints and evaluates their responses to /health and /load.

#include "upstream/probe.h"

#include "core/json_text.h"
#include "core/log_event.h"
#include "core/stable_hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>

namespace quetzalspan::upstream
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t max_report_bytes = 16 * 1024;

// Returns a null value if the text is not a JSON object.
Json::Value parse_object(const std::string& text)
{
    return core::parse_json_object(text).value_or(Json::Value());
}

// Reads "healthy" and "draining". An endpoint is healthy if it answers 200 and does not report itself
// unhealthy.
void read_health(const http::response& response, probe_report& report)
{
    const Json::Value body = parse_object(response.body);
    const bool is_reported_unhealthy =
        body.isMember("healthy") && body["healthy"].isBool() && !body["healthy"].asBool();
    report.is_healthy = response.status == 200 && !is_reported_unhealthy;
    report.is_draining = body.isMember("draining") && body["draining"].isBool() && body["draining"].asBool();
}

// Reads "load" and ignores values that are not finite numbers of at least 0.
void read_load(const http::response& response, probe_report& report)
{
    const Json::Value body = parse_object(response.body);
    if (response.status != 200 || !body.isMember("load") || !body["load"].isNumeric()) {
        return;
    }
    const double load = body["load"].asDouble();
    if (std::isfinite(load) && load >= 0) {
        report.load = load;
    }
}

} // namespace

// The probing state of one endpoint. Its coroutine keeps it alive until the running probe has ended, also
// after the endpoint was removed from the targets.
struct probe::probed_endpoint {
    probed_endpoint(const asio::any_io_executor& executor, probe_target new_target)
        : target(std::move(new_target)),
          timer(executor),
          client(executor, target.host, target.port, http::client_options{max_report_bytes})
    {
    }

    probe_target target;
    asio::steady_timer timer;
    http::client client;
    bool is_stopped = false;
};

std::shared_ptr<probe> probe::create(asio::any_io_executor executor, probe_options options,
                                     std::function<void(const probe_report&)> on_report)
{
    return std::shared_ptr<probe>(new probe(executor, options, std::move(on_report)));
}

probe::probe(const asio::any_io_executor& executor, probe_options options,
             std::function<void(const probe_report&)> on_report)
    : m_executor(executor),
      m_strand(asio::make_strand(executor)),
      m_options(options),
      m_on_report(std::move(on_report))
{
}

void probe::set_targets(std::vector<probe_target> targets)
{
    asio::post(m_strand,
               [self = shared_from_this(), targets = std::move(targets)] { self->replace_targets(targets); });
}

void probe::stop()
{
    set_targets({});
}

void probe::replace_targets(const std::vector<probe_target>& targets)
{
    std::map<std::string, std::shared_ptr<probed_endpoint>> updated_endpoints;
    for (const probe_target& target : targets) {
        const std::map<std::string, std::shared_ptr<probed_endpoint>>::iterator found =
            m_endpoints.find(target.identity);
        const bool is_kept = found != m_endpoints.end() && found->second->target.host == target.host &&
                             found->second->target.port == target.port;
        if (is_kept) {
            updated_endpoints[target.identity] = found->second;
            m_endpoints.erase(found);
            continue;
        }
        std::shared_ptr<probed_endpoint> new_endpoint;
        try {
            new_endpoint = std::make_shared<probed_endpoint>(m_strand, target);
        } catch (const boost::system::system_error& error) {
            core::error_event("probe_target_rejected")
                .with("endpoint", target.identity)
                .with("error", error.what());
            continue;
        }
        updated_endpoints[target.identity] = new_endpoint;
        asio::co_spawn(
            m_strand, [self = shared_from_this(), new_endpoint] { return self->run_probes(new_endpoint); },
            asio::detached);
    }
    for (const std::pair<const std::string, std::shared_ptr<probed_endpoint>>& entry : m_endpoints) {
        entry.second->is_stopped = true;
        entry.second->timer.cancel();
    }
    m_endpoints = std::move(updated_endpoints);
}

asio::awaitable<void> probe::run_probes(std::shared_ptr<probed_endpoint> endpoint)
{
    const std::uint64_t identity_hash = core::stable_hash(endpoint->target.identity);
    core::instant next_probe_time =
        std::chrono::steady_clock::now() +
        core::duration(static_cast<std::int64_t>(identity_hash %
                                                 static_cast<std::uint64_t>(m_options.interval.count())));
    while (!endpoint->is_stopped) {
        endpoint->timer.expires_at(next_probe_time);
        boost::system::error_code ignored;
        co_await endpoint->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (endpoint->is_stopped) {
            co_return;
        }
        const probe_report report = co_await probe_endpoint(*endpoint);
        if (!endpoint->is_stopped) {
            m_on_report(report);
        }
        // A probe that takes longer than the interval delays the next one, so that probes do not accumulate.
        next_probe_time = std::max(next_probe_time + m_options.interval, std::chrono::steady_clock::now());
    }
}

asio::awaitable<probe_report> probe::probe_endpoint(probed_endpoint& endpoint)
{
    probe_report report;
    report.identity = endpoint.target.identity;
    report.sent_at = std::chrono::steady_clock::now();
    http::request request;
    try {
        request.target = "/health";
        const http::response health = co_await endpoint.client.send(request, m_options.timeout);
        read_health(health, report);
        request.target = "/load";
        const http::response load = co_await endpoint.client.send(request, m_options.timeout);
        read_load(load, report);
        report.is_reachable = true;
    } catch (const http::transport_error&) {
        report.is_healthy = false;
    }
    co_return report;
}

} // namespace quetzalspan::upstream
