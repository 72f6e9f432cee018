// The messages between instances: a report of the own demand, by which an instance also tells that it lives,
// and the sums that a collector returns. JSON-RPC notifications, one in each datagram.

#pragma once

#include "core/time.h"
#include "quota/demand.h"

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
    // The collector.
    std::string instance;
    // Rises with each message of one start of the collector, so that one that was overtaken is dropped.
    std::uint64_t sequence = 0;
    quota::demand_sums sums;
    // Instances that the collector does not hear any more.
    std::set<std::string, std::less<>> silent;
};

struct token_request_message {
    std::string instance;
    // Chosen by the sender; returned with the answer.
    std::uint64_t number = 0;
    std::string workspace;
};

struct token_answer_message {
    std::uint64_t number = 0;
    bool is_granted = false;
    // When to ask again after a rejection.
    core::duration retry_after{0};
};

using peer_message =
    std::variant<demand_report_message, demand_sums_message, token_request_message, token_answer_message>;

std::string to_text(const demand_report_message& message);
std::string to_text(const demand_sums_message& message);
std::string to_text(const token_request_message& message);
std::string to_text(const token_answer_message& message);

// Throws core::findings_error if the text is no message.
peer_message parse_peer_message(std::string_view text, const std::string& source);

} // namespace quetzalspan::edge
