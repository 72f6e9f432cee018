// The outcome table: for each way in which a request can fail, whether an upstream ran the request, the
// status that the caller gets, a machine-readable reason, and whether the request may be retried.

#pragma once

#include "core/name_table.h"

#include <string_view>

namespace quetzalspan::dispatch
{

// What is known about whether an upstream executed a request.
enum class outcome { not_run, ran, unknown };

inline constexpr core::name_table outcome_names{std::array<core::named_value<outcome>, 3>{{
    {outcome::not_run, "not-run"},
    {outcome::ran, "ran"},
    {outcome::unknown, "unknown"},
}}};

// Why a request failed.
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
    // The configuration of this instance is too old to decide about the key or the route.
    no_authority,
    // No endpoint could take the request.
    no_permit,
    queue_full,
    // The request would probably wait beyond its deadline.
    deadline_unreachable,
    // Another region has room, but the limit on traffic shifted between regions or on their link is used up.
    shift_capped,
    // This instance is shutting down.
    stopping,
    // Endpoints have ended while they processed the same request.
    request_quarantined,
    malformed_idempotency_key,
    duplicate_request,
    // The claim on the Idempotency-Key could not be obtained.
    claim_unavailable,
    connect_failed,
    // The connection failed before a byte of the request was written.
    nothing_written,
    // The upstream answered that it did not run the request.
    upstream_shed,
    // The connection failed after a part of the request was written.
    response_lost,
    response_timeout,
    malformed_response,
    body_truncated,
    // The response ended early and nothing of it was relayed.
    response_incomplete,
    // A response that cannot be shown to be the endpoint's answer to this request, for example a 2xx response
    // without the signature that the profile requires.
    response_unverified,
    // The upstream sent a status that callers take for the guarantee that the request was not run, without
    // stating that it did not run it.
    refusal_unstated,
    // The address now belongs to another endpoint, which did not run the request.
    misdirected_request,
    // The upstream answered with a server error (5xx), and another endpoint may succeed.
    upstream_error,
    // This instance has not received a configuration yet.
    no_configuration,
    // The caller closed its connection.
    caller_disconnected,
    internal_error,
};

// One row of the outcome table.
struct outcome_rule {
    failure cause;
    outcome result;
    // The status of the generated response; 0 if none can be sent.
    unsigned status;
    // The value of Quetzal-Reason, and the name of the failure in logs and metrics.
    std::string_view reason;
    // Whether the request may be sent to an upstream again, for idempotent and for other requests.
    bool may_retry_idempotent;
    bool may_retry_non_idempotent;
};

// Returns the row of the outcome table for a failure.
const outcome_rule& outcome_rule_for(failure cause);

// Returns whether the outcome table allows another attempt. A request that cannot be repeated safely, because
// its method is not idempotent, is only retried if it certainly was not run.
bool allows_retry(failure cause, bool is_idempotent);

// Returns whether callers of a deployment whose statuses are guarantees take the status for the guarantee
// that the request was not run: 408, 421, 429 or 503.
bool is_not_run_status(unsigned status);

// Returns whether executing the method several times has the same effect as executing it once (RFC
// 9110, 9.2.2).
bool is_idempotent_method(std::string_view method);

} // namespace quetzalspan::dispatch
