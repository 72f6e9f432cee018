// Sends reports and notices about requests under which endpoints end, and applies those of other instances.

#include "edge/quarantine_exchange.h"

#include "core/log_event.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace quetzalspan::edge
{

namespace asio = boost::asio;
using dispatch::quarantine_change;
using dispatch::quarantine_notice;
using dispatch::request_fingerprint;
using dispatch::success_effect;

namespace
{

// Requests are divided into this many groups, each with coordinators of its own.
constexpr request_fingerprint coordinator_groups = 16;
constexpr core::duration repeat_interval = std::chrono::seconds(5);
// When an endpoint ends, each of its requests is logged.
constexpr double end_lines_per_second = 20;

} // namespace

quarantine_exchange::quarantine_exchange(asio::any_io_executor executor, std::string own_instance,
                                         dispatch::quarantine_options options, hooks callbacks,
                                         burn::metrics_registry& metrics)
    : m_executor(std::move(executor)),
      m_own_instance(std::move(own_instance)),
      m_hooks(std::move(callbacks)),
      m_quarantine(options),
      m_ends(metrics.get_counter("endpoint_ends_total",
                                 "Requests under which an endpoint ended, as this instance saw.")),
      m_begun(metrics.get_counter("quarantines_total", "Requests that were put into quarantine.")),
      m_lifted(metrics.get_counter("quarantines_lifted_total",
                                   "Suspicions and quarantines that a success of the request ended.")),
      m_end_lines(end_lines_per_second)
{
}

std::vector<std::optional<instance_record>>
quarantine_exchange::find_coordinators(request_fingerprint request) const
{
    return m_hooks.coordinators("quarantine " + std::to_string(request % coordinator_groups));
}

void quarantine_exchange::record_end(request_fingerprint request, const std::string& endpoint,
                                     std::string_view request_id, std::string_view target, core::instant now)
{
    m_ends.add();
    const quarantine_change change = m_quarantine.record_end(request, endpoint, now);
    if (const std::optional<std::uint64_t> skipped = m_end_lines.try_take(now)) {
        core::warning_event("endpoint_ended")
            .with("request_id", request_id)
            .with("target", target)
            .with("fingerprint", request)
            .with("endpoint", endpoint)
            .with("lines_skipped", *skipped);
    }
    asio::post(m_executor, [this, request, endpoint, change, now] {
        send_to_coordinators(request, to_text(endpoint_end_message{m_own_instance, request, endpoint}));
        handle_change(change, request, now);
    });
}

void quarantine_exchange::send_to_coordinators(request_fingerprint request, const std::string& text) const
{
    for (const std::optional<instance_record>& coordinator : find_coordinators(request)) {
        if (coordinator) {
            m_hooks.send(*coordinator, text);
        }
    }
}

bool quarantine_exchange::is_coordinator(request_fingerprint request) const
{
    const std::vector<std::optional<instance_record>> coordinators = find_coordinators(request);
    return std::find(coordinators.begin(), coordinators.end(), std::nullopt) != coordinators.end();
}

void quarantine_exchange::handle_change(quarantine_change change, request_fingerprint request,
                                        core::instant now)
{
    if (change == quarantine_change::begun) {
        m_begun.add();
        const quarantine_notice notice = m_quarantine.notice_of(request, now);
        core::warning_event("request_quarantined")
            .with("fingerprint", request)
            .with("for_ms", core::to_milliseconds(notice.remaining))
            .with("first_end_ms", core::to_milliseconds(notice.since_first_end));
        announce(notice);
    }
}

void quarantine_exchange::record_success(request_fingerprint request, core::instant now)
{
    const success_effect effect = m_quarantine.record_success(request, now);
    if (effect == success_effect::none) {
        return;
    }
    m_lifted.add();
    asio::post(m_executor, [this, request, effect] {
        if (effect == success_effect::quarantine_lifted) {
            announce_lifted(request, "success");
        } else {
            // Only the coordinators know of the suspicion.
            send_to_coordinators(request, to_text(quarantine_message{m_own_instance, {request, {}, {}}}));
        }
    });
}

void quarantine_exchange::announce_lifted(request_fingerprint request, const char* cause) const
{
    core::info_event("quarantine_lifted").with("fingerprint", request).with("cause", cause);
    announce({request, core::duration(0), core::duration(0)});
}

void quarantine_exchange::announce(const quarantine_notice& notice) const
{
    const std::string text = to_text(quarantine_message{m_own_instance, notice});
    for (const instance_record& other : m_hooks.others()) {
        m_hooks.send(other, text);
    }
}

void quarantine_exchange::handle_end(const endpoint_end_message& message, core::instant now)
{
    const quarantine_change change = m_quarantine.record_end(message.request, message.endpoint, now);
    handle_change(change, message.request, now);
    if (change != quarantine_change::in_force) {
        return;
    }
    // The sender has missed the notice.
    for (const instance_record& other : m_hooks.others()) {
        if (other.instance == message.instance) {
            m_hooks.send(other, to_text(quarantine_message{m_own_instance,
                                                           m_quarantine.notice_of(message.request, now)}));
        }
    }
}

void quarantine_exchange::handle_notice(const quarantine_message& message, core::instant now)
{
    const request_fingerprint request = message.notice.request;
    const bool was_quarantined = m_quarantine.find_remaining(request, now).has_value();
    if (!m_quarantine.apply(message.notice, now)) {
        m_lifted.add();
        announce_lifted(request, "success-since-first-end");
        return;
    }
    const bool is_quarantined = m_quarantine.find_remaining(request, now).has_value();
    if (was_quarantined == is_quarantined) {
        return;
    }
    core::info_event("quarantine_notice")
        .with("peer", message.instance)
        .with("fingerprint", request)
        .with("for_ms", core::to_milliseconds(message.notice.remaining));
    if (!is_quarantined && is_coordinator(request)) {
        // The sender may have known only of a suspicion, and has then told nobody else.
        announce_lifted(request, "notice");
    }
}

void quarantine_exchange::repeat_notices(core::instant now)
{
    if (now - m_repeated_at < repeat_interval) {
        return;
    }
    m_repeated_at = now;
    for (const quarantine_notice& notice : m_quarantine.notices(now)) {
        if (is_coordinator(notice.request)) {
            announce(notice);
        }
    }
}

} // namespace quetzalspan::edge
