// Tests of the claim on an Idempotency-Key against an in-memory store that can lose calls and responses or be
// unavailable: a request must run at most once.

#include "dispatch/idempotency_claim.h"

#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using dispatch::claim_action;
using dispatch::claim_phase;
using dispatch::idempotency_claim;
using dispatch::outcome;
using dispatch::store_result;

namespace
{

// How the store handles one call: lost_after_effect performs the call and loses the response,
// lost_without_effect loses the call.
enum class simulated_result { done, lost_after_effect, lost_without_effect, unavailable };

// A key-value store with compare-and-swap by revision.
class in_memory_store
{
public:
    // Performs the call that the claim needs next and reports its result to the claim.
    void perform(idempotency_claim& claim, simulated_result simulated)
    {
        if (simulated == simulated_result::unavailable ||
            simulated == simulated_result::lost_without_effect) {
            claim.process_result(simulated == simulated_result::unavailable ? store_result::unavailable
                                                                            : store_result::lost);
            return;
        }
        const std::map<std::string, stored>::iterator found = m_values.find(claim.key());
        const bool is_found = found != m_values.end();
        store_result result = store_result::done;
        std::uint64_t revision = 0;
        std::string text;
        if (claim.action() == claim_action::create) {
            result = is_found ? store_result::conflict : store_result::done;
            if (!is_found) {
                revision = ++m_revision;
                m_values[claim.key()] = {claim.value(), revision};
            }
        } else if (claim.action() == claim_action::read) {
            result = is_found ? store_result::done : store_result::absent;
            revision = is_found ? found->second.revision : 0;
            text = is_found ? found->second.text : "";
        } else if (!is_found || found->second.revision != claim.revision()) {
            result = store_result::conflict;
        } else if (claim.action() == claim_action::update) {
            revision = ++m_revision;
            found->second = {claim.value(), revision};
        } else {
            m_values.erase(found);
        }
        claim.process_result(simulated == simulated_result::lost_after_effect ? store_result::lost : result,
                             revision, text);
    }

    bool is_empty() const { return m_values.empty(); }

private:
    struct stored {
        std::string text;
        std::uint64_t revision = 0;
    };
    std::map<std::string, stored> m_values;
    std::uint64_t m_revision = 0;
};

// Performs calls until the claim needs none, with the given results for the first calls and done for the
// rest.
void run_to_completion(in_memory_store& store, idempotency_claim& claim,
                       std::vector<simulated_result> results = {})
{
    std::size_t calls = 0;
    while (claim.action() != claim_action::none) {
        CHECK(calls < 20);
        store.perform(claim, calls < results.size() ? results[calls] : simulated_result::done);
        ++calls;
    }
}

idempotency_claim make_claim(const std::string& nonce)
{
    return idempotency_claim::create("harbour", "deposit-7", nonce);
}

} // namespace

TEST_GROUP(claim)
{
    in_memory_store store;
};

// Guards against a request that runs twice because its caller sent it twice, and against a recorded outcome
// that is not returned for the duplicate.
TEST(claim, duplicate_receives_the_recorded_outcome)
{
    idempotency_claim first = make_claim("a");
    run_to_completion(store, first);
    CHECK(first.phase() == claim_phase::held);
    idempotency_claim second = make_claim("b");
    run_to_completion(store, second);
    CHECK(second.phase() == claim_phase::duplicate);
    CHECK(second.recorded_outcome() == outcome::unknown);
    first.settle(outcome::ran, 201);
    run_to_completion(store, first);
    idempotency_claim third = make_claim("c");
    run_to_completion(store, third);
    CHECK(third.phase() == claim_phase::duplicate);
    CHECK(third.recorded_outcome() == outcome::ran);
}

// Guards against a request that can never be sent again although it was not run.
TEST(claim, request_that_did_not_run_releases_its_claim)
{
    idempotency_claim first = make_claim("a");
    run_to_completion(store, first);
    first.settle(outcome::not_run, 503);
    run_to_completion(store, first);
    CHECK(store.is_empty());
    CHECK(first.phase() == claim_phase::settled);
}

// Guards against a claim that mistakes its own write, whose response was lost, for the write of another
// request.
TEST(claim, lost_responses_are_resolved_by_the_nonce)
{
    using enum simulated_result;
    struct lost_case {
        std::vector<simulated_result> results;
        claim_phase phase;
        bool is_empty;
    };
    const std::vector<lost_case> cases{
        {{lost_after_effect}, claim_phase::held, false},
        {{lost_without_effect}, claim_phase::held, false},
        {{lost_after_effect, lost_without_effect}, claim_phase::held, false},
        {{unavailable}, claim_phase::rejected, true},
        {{lost_without_effect, done, unavailable}, claim_phase::rejected, true},
        {{lost_after_effect, lost_after_effect, lost_after_effect}, claim_phase::rejected, false},
    };
    for (const lost_case& expected : cases) {
        in_memory_store local_store;
        idempotency_claim claim = make_claim("a");
        run_to_completion(local_store, claim, expected.results);
        CHECK(claim.phase() == expected.phase);
        CHECK_EQUAL(expected.is_empty, local_store.is_empty());
    }
}

// Guards against a second holder of a claim after a request that may have run, in any order of lost and
// unavailable calls.
TEST(claim, at_most_one_request_holds_the_claim)
{
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round) {
        in_memory_store local_store;
        int holders = 0;
        bool may_have_run = false;
        for (int request = 0; request < 4; ++request) {
            idempotency_claim claim = make_claim(std::to_string(request));
            while (claim.action() != claim_action::none) {
                local_store.perform(claim, static_cast<simulated_result>(random() % 4));
            }
            if (claim.phase() != claim_phase::held) {
                continue;
            }
            ++holders;
            CHECK_FALSE(may_have_run);
            const bool has_run = random() % 2 == 0;
            may_have_run = has_run;
            claim.settle(has_run ? outcome::ran : outcome::not_run, 200);
            while (claim.action() != claim_action::none) {
                local_store.perform(claim, static_cast<simulated_result>(random() % 4));
            }
        }
        CHECK(holders <= 4);
    }
}
