// The outcome table: for each point at which a request can fail, whether it ran, the status that the caller
// gets, a machine-readable reason and whether the request may be tried again.

#pragma once

#include "core/name_table.h"

#include <string_view>

namespace quetzalspan::dispatch
{

// What is known about the execution of a request by an upstream.
enum class outcome { not_run, ran, unknown };

inline constexpr core::name_table outcome_names{std::array<core::named_value<outcome>, 3>{{
    {outcome::not_run, "not-run"},
    {outcome::ran, "ran"},
    {outcome::unknown, "unknown"},
}}};

// The point at which a request failed.
enum class failure {
    malformed_header,
    malformed_target,
    ambiguous_framing,
    unsupported_transfer_coding,
    header_too_large,
    body_too_large,
    malformed_body,
    header_timeout,
    body_timeout,
    connection_limit,
    method_unsupported,
    upgrade_unsupported,
    expectation_unsupported,
    malformed_deadline,
    key_missing,
    key_duplicated,
    key_malformed,
    key_unknown,
    key_revoked,
    no_route,
    rate_limited,
    no_authority,
    no_permit,
    queue_full,
    deadline_unreachable,
    shift_capped,
    stopping,
    malformed_idempotency_key,
    duplicate_request,
    claim_unavailable,
    connect_failed,
    nothing_written,
    upstream_shed,
    response_lost,
    response_timeout,
    malformed_response,
    body_truncated,
    // The response ended early and nothing of it was relayed.
    response_incomplete,
    // A success that lacks the proof that it is the endpoint's whole answer.
    response_unverified,
    // Another endpoint has the address and did not run the request.
    misdirected,
    // The upstream answered with a server error that another endpoint may not have.
    upstream_error,
    // No configuration is known yet.
    no_configuration,
    caller_left,
    internal_error,
};

struct outcome_rule {
    failure at;
    outcome result;
    // The status of the generated response; 0 if none can be sent.
    unsigned status;
    // The value of Quetzal-Reason, and the name of the failure in logs and metrics.
    std::string_view reason;
    // Whether the request may be sent to an upstream again.
    bool is_retried_if_idempotent;
    bool is_retried_otherwise;
};

// Returns the row of a failure.
const outcome_rule& rule_of(failure at);

// Returns whether the table allows another attempt. A request without a safe repetition is one whose method
// is not idempotent.
bool allows_retry(failure at, bool is_idempotent);

// Returns whether executing the method several times has the effect of executing it once (RFC 9110, 9.2.2).
bool is_idempotent_method(std::string_view method);

} // namespace quetzalspan::dispatch
