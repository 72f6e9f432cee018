// The rows of the outcome table, and the look-ups in it.

#include "dispatch/outcome.h"

#include "core/check.h"

#include <algorithm>
#include <array>

namespace quetzalspan::dispatch
{

namespace
{

// In the order of the enumeration, so that the value of a failure is the index of its row.
constexpr std::array<outcome_rule, 46> rules{{
    {failure::malformed_header, outcome::not_run, 400, "malformed-header", false, false},
    {failure::malformed_target, outcome::not_run, 400, "malformed-target", false, false},
    {failure::ambiguous_framing, outcome::not_run, 400, "ambiguous-framing", false, false},
    {failure::unsupported_transfer_coding, outcome::not_run, 400, "unsupported-transfer-coding", false,
     false},
    {failure::header_too_large, outcome::not_run, 431, "header-too-large", false, false},
    {failure::body_too_large, outcome::not_run, 413, "body-too-large", false, false},
    {failure::malformed_body, outcome::not_run, 400, "malformed-body", false, false},
    {failure::header_timeout, outcome::not_run, 408, "header-timeout", false, false},
    {failure::body_timeout, outcome::not_run, 408, "body-timeout", false, false},
    {failure::connection_limit, outcome::not_run, 503, "connection-limit", false, false},
    {failure::method_unsupported, outcome::not_run, 501, "method-unsupported", false, false},
    {failure::upgrade_unsupported, outcome::not_run, 501, "upgrade-unsupported", false, false},
    {failure::expectation_unsupported, outcome::not_run, 417, "expectation-unsupported", false, false},
    {failure::malformed_deadline, outcome::not_run, 400, "malformed-deadline", false, false},
    {failure::key_missing, outcome::not_run, 401, "key-missing", false, false},
    {failure::key_duplicated, outcome::not_run, 401, "key-duplicated", false, false},
    {failure::key_malformed, outcome::not_run, 401, "key-malformed", false, false},
    {failure::key_unknown, outcome::not_run, 401, "key-unknown", false, false},
    {failure::key_revoked, outcome::not_run, 401, "key-revoked", false, false},
    {failure::no_route, outcome::not_run, 404, "no-route", false, false},
    {failure::rate_limited, outcome::not_run, 429, "rate-limited", false, false},
    {failure::no_authority, outcome::not_run, 503, "no-authority", false, false},
    {failure::no_permit, outcome::not_run, 503, "no-permit", false, false},
    {failure::queue_full, outcome::not_run, 503, "queue-full", false, false},
    {failure::deadline_unreachable, outcome::not_run, 503, "deadline-unreachable", false, false},
    {failure::shift_capped, outcome::not_run, 503, "shift-capped", false, false},
    {failure::stopping, outcome::not_run, 503, "stopping", false, false},
    {failure::request_quarantined, outcome::not_run, 503, "request-quarantined", false, false},
    {failure::malformed_idempotency_key, outcome::not_run, 400, "malformed-idempotency-key", false, false},
    {failure::duplicate_request, outcome::unknown, 409, "duplicate-request", false, false},
    {failure::claim_unavailable, outcome::not_run, 503, "claim-unavailable", false, false},
    {failure::connect_failed, outcome::not_run, 502, "connect-failed", true, true},
    {failure::nothing_written, outcome::not_run, 502, "nothing-written", true, true},
    {failure::upstream_shed, outcome::not_run, 503, "upstream-shed", true, true},
    {failure::response_lost, outcome::unknown, 502, "response-lost", true, false},
    {failure::response_timeout, outcome::unknown, 504, "response-timeout", true, false},
    {failure::malformed_response, outcome::unknown, 502, "malformed-response", false, false},
    {failure::body_truncated, outcome::ran, 0, "body-truncated", false, false},
    {failure::response_incomplete, outcome::unknown, 502, "response-incomplete", true, false},
    {failure::response_unverified, outcome::unknown, 502, "response-unverified", true, false},
    {failure::refusal_unstated, outcome::unknown, 502, "refusal-unstated", true, false},
    {failure::misdirected_request, outcome::not_run, 503, "misdirected", true, true},
    {failure::upstream_error, outcome::ran, 502, "upstream-error", true, false},
    {failure::no_configuration, outcome::not_run, 503, "no-configuration", false, false},
    {failure::caller_disconnected, outcome::unknown, 0, "caller-left", false, false},
    {failure::internal_error, outcome::unknown, 500, "internal-error", false, false},
}};

constexpr bool is_ordered_by_failure()
{
    for (std::size_t index = 0; index < rules.size(); ++index) {
        if (static_cast<std::size_t>(rules[index].cause) != index) {
            return false;
        }
    }
    return true;
}

static_assert(is_ordered_by_failure(), "the index of each row must equal the value of its failure");
static_assert(static_cast<std::size_t>(failure::internal_error) + 1 == rules.size());

} // namespace

const outcome_rule& outcome_rule_for(failure cause)
{
    const std::size_t index = static_cast<std::size_t>(cause);
    core::check(index < rules.size(), "every failure must have a row in the outcome table");
    return rules[index];
}

bool allows_retry(failure cause, bool is_idempotent)
{
    const outcome_rule& rule = outcome_rule_for(cause);
    return is_idempotent ? rule.may_retry_idempotent : rule.may_retry_non_idempotent;
}

bool is_not_run_status(unsigned status)
{
    constexpr std::array<unsigned, 4> guarantees{408, 421, 429, 503};
    return std::find(guarantees.begin(), guarantees.end(), status) != guarantees.end();
}

bool is_idempotent_method(std::string_view method)
{
    constexpr std::array<std::string_view, 6> idempotent{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
    for (const std::string_view candidate : idempotent) {
        if (candidate == method) {
            return true;
        }
    }
    return false;
}

} // namespace quetzalspan::dispatch
