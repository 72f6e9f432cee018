// Tests of transfers: duplicate and repeated messages, changes of the epoch, and retained grants.

#include "allowance/scaling.h"
#include "allowance/transfers.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::allowance;

namespace
{

const core::instant start{std::chrono::seconds(1)};

// One party to a transfer: a share table with a single limit, and the transfers of that table.
struct transfer_party {
    share_table table;
    transfers protocol;

    explicit transfer_party(const std::string& id) : protocol(id, table)
    {
        table.apply({1, {{"limit", limit_kind::rate, 70 * micro_per_token, 35 * micro_per_token, ""}}}, start,
                    [](const std::string&, const amount*, const amount*) {});
        protocol.set_time(start);
        protocol.enter_epoch({5, 1});
    }

    share& limit_share() const { return *table.find("limit")->value; }
};

const transfers::grant_hook give_all = [](const std::string&, const amount& wanted) { return wanted; };
const std::function<void(const limit_amount&)> no_credit = [](const limit_amount&) {};

} // namespace

TEST_GROUP(transfers)
{
    transfer_party granter{"a.1"};
    transfer_party requester{"b.1"};
    share_request request;

    void setup() override
    {
        granter.limit_share().credit({10 * micro_per_token, 10 * micro_per_token, 10 * micro_per_token},
                                     start);
        request = requester.protocol.open_request(
            "a.1", false, {{"limit", {4 * micro_per_token, 4 * micro_per_token, 4 * micro_per_token}}},
            start);
    }

    void expect_rates(std::int64_t granter_rate, std::int64_t requester_rate)
    {
        LONGS_EQUAL(granter_rate * micro_per_token, granter.limit_share().rate_micro());
        LONGS_EQUAL(requester_rate * micro_per_token, requester.limit_share().rate_micro());
    }
};

// Guards against a repeated request that is granted twice and a duplicate grant that is applied twice: a
// receiver must apply each transfer at most once.
TEST(transfers, duplicates_move_an_amount_once)
{
    const share_grant first = granter.protocol.answer_request("b.1", request, start, give_all);
    const share_grant repeated = granter.protocol.answer_request("b.1", request, start, give_all);
    CHECK_TRUE(first.granted.front().value == repeated.granted.front().value);
    CHECK_TRUE(requester.protocol.apply_grant(first, no_credit).is_applied);
    CHECK_TRUE(requester.protocol.apply_grant(repeated, no_credit).is_applied);
    expect_rates(6, 4);
}

// Guards against a late copy of a request that is granted again after the first grant was acknowledged.
TEST(transfers, a_late_copy_of_an_acknowledged_request_gets_nothing)
{
    const share_grant grant = granter.protocol.answer_request("b.1", request, start, give_all);
    granter.protocol.apply_acknowledgement("b.1", requester.protocol.apply_grant(grant, no_credit));
    CHECK_TRUE(granter.protocol.is_idle());
    CHECK_TRUE(granter.protocol.answer_request("b.1", request, start, give_all).granted.empty());
    expect_rates(6, 4);
}

// Guards against a grant that is applied in another epoch than the one it was sent in: it would be in no
// report of the round, which would grant it again.
TEST(transfers, a_grant_of_another_epoch_is_rejected_and_credited_back)
{
    for (const epoch next : {epoch{6, 1}, epoch{5, 2}}) {
        transfer_party receiver{"c.1"};
        const share_request asked = receiver.protocol.open_request(
            "a.1", false, {{"limit", {micro_per_token, micro_per_token, 0}}}, start);
        const share_grant grant = granter.protocol.answer_request("c.1", asked, start, give_all);
        receiver.protocol.enter_epoch(next);
        const grant_acknowledgement acknowledgement = receiver.protocol.apply_grant(grant, no_credit);
        CHECK_FALSE(acknowledgement.is_applied);
        LONGS_EQUAL(0, receiver.limit_share().rate_micro());
        granter.protocol.apply_acknowledgement("c.1", acknowledgement);
        LONGS_EQUAL(10 * micro_per_token, granter.limit_share().rate_micro());
        // A duplicate must get the same acknowledgement, and the granter must not credit the amount twice.
        CHECK_FALSE(receiver.protocol.apply_grant(grant, no_credit).is_applied);
        granter.protocol.apply_acknowledgement("c.1", acknowledgement);
        LONGS_EQUAL(10 * micro_per_token, granter.limit_share().rate_micro());
    }
}

// Guards against an offer that is rejected in one epoch and applied on a repetition in a later one.
TEST(transfers, an_offer_is_decided_once)
{
    const auto offers =
        granter.protocol.open_offer("b.1", {{"limit", {4 * micro_per_token, 4 * micro_per_token, 0}}}, start);
    const share_offer offer = offers.front().offer;
    requester.protocol.enter_epoch({4, 1});
    CHECK_FALSE(requester.protocol.apply_offer("a.1", offer).is_applied);
    requester.protocol.enter_epoch({5, 1});
    CHECK_FALSE(requester.protocol.apply_offer("a.1", offer).is_applied);
    expect_rates(6, 0);
}

// Guards against a report that omits unacknowledged grants, which the round would then grant again.
TEST(transfers, holdings_include_unacknowledged_grants_as_scaled)
{
    const share_grant grant = granter.protocol.answer_request("b.1", request, start, give_all);
    LONGS_EQUAL(10 * micro_per_token, granter.protocol.holdings().front().value.rate_micro);
    const amount old_limit{70 * micro_per_token, 35 * micro_per_token, 0};
    const amount new_limit{35 * micro_per_token, 35 * micro_per_token, 0};
    granter.protocol.rescale("limit", &old_limit, &new_limit);
    LONGS_EQUAL(8 * micro_per_token, granter.protocol.holdings().front().value.rate_micro);
    granter.protocol.apply_acknowledgement("b.1", {grant.id, true});
    LONGS_EQUAL(6 * micro_per_token, granter.protocol.holdings().front().value.rate_micro);
}

// Guards against a grant whose message was lost and whose amount then stays on neither side.
TEST(transfers, an_unacknowledged_grant_is_sent_again_as_an_offer)
{
    granter.protocol.answer_request("b.1", request, start, give_all);
    CHECK_TRUE(granter.protocol.take_due_offers(start + std::chrono::milliseconds(100)).empty());
    const auto due = granter.protocol.take_due_offers(start + transfers::retry_interval);
    LONGS_EQUAL(1, due.size());
    const grant_acknowledgement acknowledgement = requester.protocol.apply_offer("a.1", due.front().offer);
    CHECK_TRUE(acknowledgement.is_applied);
    granter.protocol.apply_acknowledgement("b.1", acknowledgement);
    CHECK_TRUE(granter.protocol.is_idle());
    expect_rates(6, 4);
}

// Guards against crediting back tokens that a fenced receiver may have spent.
TEST(transfers, unacknowledged_grants_to_a_fenced_member_return_without_tokens)
{
    granter.protocol.answer_request("b.1", request, start, give_all);
    granter.protocol.reclaim({"x.1"});
    LONGS_EQUAL(6 * micro_per_token, granter.limit_share().rate_micro());
    granter.protocol.reclaim({"b.1"});
    LONGS_EQUAL(10 * micro_per_token, granter.limit_share().rate_micro());
    LONGS_EQUAL(6 * micro_per_token, granter.limit_share().tokens_micro());
}
