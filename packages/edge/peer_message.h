// The messages between instances, each a JSON-RPC notification in a datagram of its own:
// - demand reports, which also serve as heartbeats, and the sums that a collector returns;
// - requests for tokens of the rate limits of workspaces and endpoints, with their answers;
// - questions whether a copy of the store is up to date, with their answers;
// - reports of requests under which endpoints end, with their quarantines;
// - the load of endpoints.

#pragma once

#include "core/name_table.h"
#include "core/time.h"
#include "dispatch/request_quarantine.h"
#include "placement/load_report.h"
#include "quota/demand.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalspan::edge
{

struct demand_report_message {
    std::string instance;
    quota::demand_report report;
};

struct demand_sums_message {
    // The collector that sends the message.
    std::string instance;
    // Increases with each message of the collector, so that receivers drop messages that arrive out of order.
    std::uint64_t sequence = 0;
    quota::demand_sums sums;
    // Instances that have stopped sending messages to the collector.
    std::set<std::string, std::less<>> silent;
};

struct token_request_message {
    std::string instance;
    // Identifies the request; chosen by the sender and returned in the answer.
    std::uint64_t number = 0;
    std::string workspace;
};

// Asks for a token of the rate limit that an endpoint has named. A token_answer_message answers it.
struct endpoint_token_request_message {
    std::string instance;
    // Identifies the request; chosen by the sender and returned in the answer.
    std::uint64_t number = 0;
    std::string endpoint;
    // The limit in requests per second.
    double rate = 0;
};

struct token_answer_message {
    // The number of the request.
    std::uint64_t number = 0;
    bool is_granted = false;
    // How long to wait after a rejection before another request; zero if unknown.
    core::duration retry_after{0};
};

// Asks an instance up to when it knows all changes of the store.
struct confirmation_request_message {
    std::string instance;
    // Identifies the question; chosen by the sender and returned in the answer.
    std::uint64_t number = 0;
};

struct confirmation_message {
    // The number of the question.
    std::uint64_t number = 0;
    // The store's epoch and revision that the copy of the sender has reached.
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    // How long before this message was sent the copy contained every change.
    core::duration age{0};
};

// Tells that an endpoint ended while it processed a request.
struct endpoint_end_message {
    std::string instance;
    dispatch::request_fingerprint request = 0;
    std::string endpoint;
};

// Tells that a request must not be sent to endpoints any more, or that it may be sent again.
struct quarantine_message {
    std::string instance;
    dispatch::quarantine_notice notice;
};

// Who sends load reports to whom.
enum class load_scope {
    // An instance sends the reports that it received from endpoints to the collector of its zone.
    instance,
    // The collector of a zone sends those of its zone to the collectors of the other zones.
    zone,
    // A collector sends those of all zones to the instances of its zone.
    fleet,
};

inline constexpr core::name_table load_scope_names{std::array<core::named_value<load_scope>, 3>{{
    {load_scope::instance, "instance"},
    {load_scope::zone, "zone"},
    {load_scope::fleet, "fleet"},
}}};

struct shared_load {
    placement::load_report report;
    // How long before this message was sent the endpoint sent the report.
    core::duration age{0};
};

// Tells the load of endpoints that an instance has learnt from their responses.
struct endpoint_loads_message {
    std::string instance;
    load_scope scope = load_scope::instance;
    // By the id of the endpoint; at most max_shared_loads.
    std::map<std::string, shared_load> loads;
};

// The loads that fit into one datagram, with ids of up to 36 characters.
inline constexpr std::size_t max_shared_loads = 200;

using peer_message =
    std::variant<demand_report_message, demand_sums_message, token_request_message,
                 endpoint_token_request_message, token_answer_message, confirmation_request_message,
                 confirmation_message, endpoint_end_message, quarantine_message, endpoint_loads_message>;

// Return the message as the JSON text of a datagram.
std::string to_text(const demand_report_message& message);
std::string to_text(const demand_sums_message& message);
std::string to_text(const token_request_message& message);
std::string to_text(const endpoint_token_request_message& message);
std::string to_text(const token_answer_message& message);
std::string to_text(const confirmation_request_message& message);
std::string to_text(const confirmation_message& message);
std::string to_text(const endpoint_end_message& message);
std::string to_text(const quarantine_message& message);
std::string to_text(const endpoint_loads_message& message);

// Parses a datagram; the source names the sender in errors. Throws core::findings_error if the text is not a
// valid message.
peer_message parse_peer_message(std::string_view text, const std::string& source);

} // namespace quetzalspan::edge
