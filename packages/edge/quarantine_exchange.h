// Shares with the fleet which requests end the endpoints that process them. Each instance sees only the ends
// under its own requests, so it reports them to coordinators, which are chosen by the request. A coordinator,
// or an instance that has seen enough ends itself, tells all others of the quarantine.

#pragma once

#include "burn/metrics_registry.h"
#include "core/log_throttle.h"
#include "dispatch/request_quarantine.h"
#include "edge/instance_record.h"
#include "edge/peer_message.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::edge
{

// The functions record_*() and find_remaining() are thread-safe. The others, and all hooks, run on the given
// executor, which must be single-threaded or a strand.
class quarantine_exchange
{
public:
    struct hooks {
        // Returns the instances that coordinate what the key names. An element without a record stands for
        // this instance.
        std::function<std::vector<std::optional<instance_record>>(const std::string& key)> coordinators;
        // Returns all other instances of the fleet.
        std::function<std::vector<instance_record>()> others;
        // Sends a message. Returns whether it was handed to the network.
        std::function<bool(const instance_record& target, const std::string& text)> send;
    };

    quarantine_exchange(boost::asio::any_io_executor executor, std::string own_instance,
                        dispatch::quarantine_options options, hooks callbacks,
                        burn::metrics_registry& metrics);

    quarantine_exchange(const quarantine_exchange&) = delete;
    quarantine_exchange& operator=(const quarantine_exchange&) = delete;

    // Returns the time for which the request must not be sent; no value if it may be.
    std::optional<core::duration> find_remaining(dispatch::request_fingerprint request,
                                                 core::instant now) const
    {
        return m_quarantine.find_remaining(request, now);
    }

    // Records that an endpoint ended under a request of this instance.
    void record_end(dispatch::request_fingerprint request, const std::string& endpoint,
                    std::string_view request_id, std::string_view target, core::instant now);
    // Records that an endpoint has answered a request of this instance.
    void record_success(dispatch::request_fingerprint request, core::instant now);

    void handle_end(const endpoint_end_message& message, core::instant now);
    void handle_notice(const quarantine_message& message, core::instant now);

    // Tells the others again of the quarantines that this instance coordinates, for those that have started
    // or missed a message since. Called periodically.
    void repeat_notices(core::instant now);

private:
    std::vector<std::optional<instance_record>>
    find_coordinators(dispatch::request_fingerprint request) const;
    void handle_change(dispatch::quarantine_change change, dispatch::request_fingerprint request,
                       core::instant now);
    // Tells all others.
    void announce(const dispatch::quarantine_notice& notice) const;
    // Tells all others that the request may be sent.
    void announce_lifted(dispatch::request_fingerprint request, const char* cause) const;
    bool is_coordinator(dispatch::request_fingerprint request) const;
    void send_to_coordinators(dispatch::request_fingerprint request, const std::string& text) const;

    boost::asio::any_io_executor m_executor;
    std::string m_own_instance;
    hooks m_hooks;
    dispatch::request_quarantine m_quarantine;
    burn::counter& m_ends;
    burn::counter& m_begun;
    burn::counter& m_lifted;
    core::log_throttle m_end_lines;
    // When repeat_notices() last sent them.
    core::instant m_repeated_at;
};

} // namespace quetzalspan::edge
