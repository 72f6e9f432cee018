// Implements the probes of endpoints.

#include "upstream/probe.h"

#include "core/log_event.h"
#include "core/stable_hash.h"

#include <json/reader.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>
#include <sstream>

namespace quetzalspan::upstream
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t report_limit_bytes = 16 * 1024;

// Returns null for a text that is no JSON object.
Json::Value parse_object(const std::string& text)
{
    Json::Value value;
    std::istringstream input(text);
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), input, &value, &errors) || !value.isObject()) {
        return {};
    }
    return value;
}

void read_health(const http::response& answer, probe_report& report)
{
    const Json::Value body = parse_object(answer.body);
    const bool is_said_unhealthy =
        body.isMember("healthy") && body["healthy"].isBool() && !body["healthy"].asBool();
    report.is_healthy = answer.status == 200 && !is_said_unhealthy;
    report.is_draining = body.isMember("draining") && body["draining"].isBool() && body["draining"].asBool();
}

void read_load(const http::response& answer, probe_report& report)
{
    const Json::Value body = parse_object(answer.body);
    if (answer.status != 200 || !body.isMember("load") || !body["load"].isNumeric()) {
        return;
    }
    const double load = body["load"].asDouble();
    if (std::isfinite(load) && load >= 0) {
        report.load = load;
    }
}

} // namespace

struct probe::watched_endpoint {
    watched_endpoint(const asio::any_io_executor& executor, probe_target the_target)
        : target(std::move(the_target)),
          timer(executor),
          client(executor, target.host, target.port, http::client_options{report_limit_bytes})
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
    std::map<std::string, std::shared_ptr<watched_endpoint>> next;
    for (const probe_target& target : targets) {
        const std::map<std::string, std::shared_ptr<watched_endpoint>>::iterator found =
            m_endpoints.find(target.identity);
        const bool is_kept = found != m_endpoints.end() && found->second->target.host == target.host &&
                             found->second->target.port == target.port;
        if (is_kept) {
            next[target.identity] = found->second;
            m_endpoints.erase(found);
            continue;
        }
        std::shared_ptr<watched_endpoint> added;
        try {
            added = std::make_shared<watched_endpoint>(m_strand, target);
        } catch (const boost::system::system_error& error) {
            core::error_event("probe_target_rejected")
                .with("endpoint", target.identity)
                .with("error", error.what());
            continue;
        }
        next[target.identity] = added;
        asio::co_spawn(
            m_strand, [self = shared_from_this(), added] { return self->watch(added); }, asio::detached);
    }
    for (const std::pair<const std::string, std::shared_ptr<watched_endpoint>>& entry : m_endpoints) {
        entry.second->is_stopped = true;
        entry.second->timer.cancel();
    }
    m_endpoints = std::move(next);
}

asio::awaitable<void> probe::watch(std::shared_ptr<watched_endpoint> endpoint)
{
    const std::uint64_t hash = core::stable_hash(endpoint->target.identity);
    core::instant due = std::chrono::steady_clock::now() +
                        core::duration(static_cast<std::int64_t>(
                            hash % static_cast<std::uint64_t>(m_options.interval.count())));
    while (!endpoint->is_stopped) {
        endpoint->timer.expires_at(due);
        boost::system::error_code ignored;
        co_await endpoint->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (endpoint->is_stopped) {
            co_return;
        }
        const probe_report report = co_await ask(*endpoint);
        if (!endpoint->is_stopped) {
            m_on_report(report);
        }
        // A slow probe delays the next one instead of making them pile up.
        due = std::max(due + m_options.interval, std::chrono::steady_clock::now());
    }
}

asio::awaitable<probe_report> probe::ask(watched_endpoint& endpoint)
{
    probe_report report;
    report.identity = endpoint.target.identity;
    report.sent = std::chrono::steady_clock::now();
    http::request question;
    try {
        question.target = "/health";
        const http::response health = co_await endpoint.client.send(question, m_options.timeout);
        read_health(health, report);
        question.target = "/load";
        const http::response load = co_await endpoint.client.send(question, m_options.timeout);
        read_load(load, report);
        report.is_reachable = true;
    } catch (const http::transport_error&) {
        report.is_healthy = false;
    }
    co_return report;
}

} // namespace quetzalspan::upstream
