// A claim on an Idempotency-Key, which keeps a non-idempotent request with that key from running twice. The
// claim is created in the key-value store by compare-and-swap before the request is dispatched, and records
// the outcome of the request afterwards. The code here decides on calls to the store and does not make them.

#pragma once

#include "core/name_table.h"
#include "dispatch/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalspan::dispatch
{

// The call to the store that the claim needs next.
enum class claim_action {
    // No call is needed; phase() holds the result.
    none,
    // Write value() under key() if the key does not exist.
    create,
    // Read key().
    read,
    // Write value() under key() if the stored revision still equals revision().
    update,
    // Delete key() if the stored revision still equals revision().
    remove,
};

// How a call to the store ended.
enum class store_result {
    // A write took effect, or a read found a value.
    done,
    // A write found another revision than expected, or a create found a value.
    conflict,
    // A read found no value.
    absent,
    // No response was received: the call may have taken effect or may do so later.
    lost,
    // The store rejected the call; it has not taken effect.
    unavailable,
};

enum class claim_phase {
    // The claim is being created, or read to find out whether a create took effect.
    creating,
    // This request holds the claim and may be dispatched.
    held,
    // Another request holds or held the claim on the same key; recorded_outcome() returns its outcome.
    duplicate,
    // The claim could not be obtained; the request must not be dispatched.
    rejected,
    // The outcome is being recorded or the claim released.
    settling,
    // No further call follows. The outcome may be missing from the store if the store did not respond.
    settled,
};

// The state machine of one claim. Its user makes the call to the store that action() names, passes the result
// to process_result(), and repeats this until the action is none.
class idempotency_claim
{
public:
    // Begins a claim. The nonce must be unique among the requests of all instances and contain no space: it
    // distinguishes this claim from another request's after a lost response. The caller's Idempotency-Key is
    // stored as a SHA-256 digest only.
    static idempotency_claim create(std::string_view workspace, std::string_view idempotency_key,
                                    std::string nonce);

    claim_phase phase() const { return m_phase; }
    claim_action action() const { return m_action; }
    const std::string& key() const { return m_key; }
    const std::string& value() const { return m_value; }
    std::uint64_t revision() const { return m_revision; }

    // Processes the result of the call that action() named, which must not be none. For done, pass the
    // revision of the stored value, and after a read also its text.
    void process_result(store_result result, std::uint64_t revision = 0, std::string_view text = {});

    // Begins to settle a claim, which must be held: deletes it if the request was certainly not run, records
    // the outcome and the status of the response otherwise. If the store does not respond, the stored claim
    // stays unchanged: repetitions of the request are then rejected, which is the safe side.
    void settle(outcome result, unsigned status);

    // Returns, for a duplicate, the outcome of the request that made the claim; outcome::unknown while that
    // request is in progress.
    outcome recorded_outcome() const { return m_recorded; }

private:
    idempotency_claim() = default;

    void report_create(store_result result, std::uint64_t revision);
    void report_read(store_result result, std::uint64_t revision, std::string_view text);
    void report_update_or_remove(store_result result);
    void finish(claim_phase phase);

    claim_phase m_phase = claim_phase::creating;
    claim_action m_action = claim_action::create;
    std::string m_key;
    std::string m_nonce;
    std::string m_value;
    std::uint64_t m_revision = 0;
    outcome m_recorded = outcome::unknown;
    // Calls without a usable response, counted anew when settling begins. The claim gives up at a limit.
    unsigned m_lost_calls = 0;
    // Whether the claim is given up although a create whose response was lost may have written it. A value
    // that a read then finds is deleted.
    bool m_is_abandoned = false;
};

} // namespace quetzalspan::dispatch
