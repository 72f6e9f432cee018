// The state transitions of a claim on an Idempotency-Key, and the text format of its stored value.

#include "dispatch/idempotency_claim.h"

#include "core/check.h"
#include "core/digest.h"

#include <utility>

namespace quetzalspan::dispatch
{

namespace
{

// Each lost call makes the caller wait for one timeout of the store.
constexpr unsigned max_lost_calls = 3;

// Returns the stored form of a claim, "<nonce> <outcome> <status>". None of the three parts contains a space.
std::string format_claim(std::string_view nonce, outcome result, unsigned status)
{
    return std::string(nonce) + " " + std::string(outcome_names.name(result)) + " " + std::to_string(status);
}

// Returns the text before the first space and the text after it, which is empty if there is no space.
std::pair<std::string_view, std::string_view> split_at_space(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, space), text.substr(space + 1)};
}

} // namespace

idempotency_claim idempotency_claim::create(std::string_view workspace, std::string_view idempotency_key,
                                            std::string nonce)
{
    idempotency_claim result;
    result.m_key = "claims/" + std::string(workspace) + "/" + core::sha256_hex(idempotency_key);
    result.m_nonce = std::move(nonce);
    result.m_value = format_claim(result.m_nonce, outcome::unknown, 0);
    return result;
}

void idempotency_claim::finish(claim_phase phase)
{
    m_phase = phase;
    m_action = claim_action::none;
}

void idempotency_claim::process_result(store_result result, std::uint64_t revision, std::string_view text)
{
    switch (m_action) {
    case claim_action::none:
        core::unreachable("a result was reported to a claim that needs no call to the store");
    case claim_action::create:
        report_create(result, revision);
        return;
    case claim_action::read:
        report_read(result, revision, text);
        return;
    case claim_action::update:
    case claim_action::remove:
        report_update_or_remove(result);
        return;
    }
}

void idempotency_claim::report_create(store_result result, std::uint64_t revision)
{
    switch (result) {
    case store_result::done:
        m_revision = revision;
        finish(claim_phase::held);
        return;
    case store_result::conflict:
        // The value may be this claim's own, written by an earlier create whose response was lost.
        m_action = claim_action::read;
        return;
    case store_result::lost:
        ++m_lost_calls;
        m_action = claim_action::read;
        return;
    case store_result::absent:
    case store_result::unavailable:
        if (m_lost_calls == 0) {
            finish(claim_phase::rejected);
            return;
        }
        m_is_abandoned = true;
        m_action = claim_action::read;
        return;
    }
}

void idempotency_claim::report_read(store_result result, std::uint64_t revision, std::string_view text)
{
    switch (result) {
    case store_result::done: {
        const std::pair<std::string_view, std::string_view> parts = split_at_space(text);
        if (parts.first != m_nonce) {
            m_recorded =
                outcome_names.find_value(split_at_space(parts.second).first).value_or(outcome::unknown);
            finish(m_is_abandoned ? claim_phase::rejected : claim_phase::duplicate);
            return;
        }
        m_revision = revision;
        if (m_is_abandoned) {
            m_action = claim_action::remove;
            return;
        }
        finish(claim_phase::held);
        return;
    }
    case store_result::absent:
        // The lost create may still reach the store. Creating again with the same nonce is safe, since at
        // most one of the two creates takes effect.
        if (m_is_abandoned || m_lost_calls >= max_lost_calls) {
            finish(claim_phase::rejected);
            return;
        }
        m_action = claim_action::create;
        return;
    case store_result::lost:
    case store_result::conflict:
    case store_result::unavailable:
        ++m_lost_calls;
        if (m_is_abandoned || m_lost_calls >= max_lost_calls) {
            finish(claim_phase::rejected);
        }
        return;
    }
}

void idempotency_claim::settle(outcome result, unsigned status)
{
    core::check(m_phase == claim_phase::held, "only a held claim can be settled");
    m_phase = claim_phase::settling;
    m_lost_calls = 0;
    if (result == outcome::not_run) {
        m_action = claim_action::remove;
        return;
    }
    m_value = format_claim(m_nonce, result, status);
    m_action = claim_action::update;
}

void idempotency_claim::report_update_or_remove(store_result result)
{
    if (m_is_abandoned) {
        finish(claim_phase::rejected);
        return;
    }
    const bool is_unresolved = result == store_result::lost || result == store_result::unavailable;
    // Repeating the call is safe: both calls expect the revision that only this claim's own value has. A
    // conflict on the repeated call means that the lost call took effect.
    if (is_unresolved && ++m_lost_calls < max_lost_calls) {
        return;
    }
    finish(claim_phase::settled);
}

} // namespace quetzalspan::dispatch
