// Tests of instance records, messages between instances, fleet membership and the decisions about requests.

#include "edge/fleet_membership.h"
#include "edge/peer_message.h"
#include "edge/request_rules.h"

#include "core/digest.h"
#include "core/findings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));

instance_record make_instance(const std::string& name, const std::string& region)
{
    instance_record result;
    result.instance = name;
    result.region = region;
    result.availability_zone = region + "-a";
    result.caller_address = {"127.0.0.1", 8000};
    result.peer_address = {"127.0.0.1", 8001};
    return result;
}

std::string join_names(const std::vector<instance_record>& records)
{
    std::string result;
    for (const instance_record& record : records) {
        result += record.instance + " ";
    }
    return result;
}

} // namespace

TEST_GROUP(instance_records){};

// Guards against accepting a malformed record, or one of another version, as an instance.
TEST(instance_records, records_round_trip_and_malformed_ones_are_rejected)
{
    instance_record record = make_instance("a", "savo");
    record.phase = instance_phase::leaving;
    CHECK(parse_instance_record(to_text(record), "test") == record);
    for (const char* text : {"", "{}", "[]", "{\"version\":1,\"instance\":7}", "no json"}) {
        CHECK_THROWS(core::findings_error, parse_instance_record(text, "test"));
    }
}

// Guards against a malformed datagram that changes the shares of a limit.
TEST(instance_records, messages_between_instances_round_trip_and_malformed_ones_are_rejected)
{
    const demand_report_message report{"a", {7, {{"harbour", 12.3}, {"mill", 0.1}}}};
    const demand_report_message parsed =
        std::get<demand_report_message>(parse_peer_message(to_text(report), "test"));
    CHECK_EQUAL(std::string("a"), parsed.instance);
    CHECK_EQUAL(7U, parsed.report.sequence);
    DOUBLES_EQUAL(12.3, parsed.report.rates.at("harbour"), 1e-9);

    const demand_sums_message sums{"b", 3, {7, 5, {{"mill", 40.5}}}, {"c", "d"}};
    const demand_sums_message answer =
        std::get<demand_sums_message>(parse_peer_message(to_text(sums), "test"));
    CHECK_EQUAL(std::string("b"), answer.instance);
    CHECK_EQUAL(3U, answer.sequence);
    CHECK_EQUAL(7U, answer.sums.acknowledged_sequence);
    CHECK_EQUAL(5U, answer.sums.reporter_count);
    DOUBLES_EQUAL(40.5, answer.sums.rates.at("mill"), 1e-9);
    CHECK(answer.silent == sums.silent);

    const token_request_message request = std::get<token_request_message>(
        parse_peer_message(to_text(token_request_message{"a", 9, "mill"}), "t"));
    CHECK_EQUAL(std::string("mill"), request.workspace);
    CHECK_EQUAL(9U, request.number);
    const token_answer_message token = std::get<token_answer_message>(
        parse_peer_message(to_text(token_answer_message{9, true, milliseconds(40)}), "t"));
    CHECK_EQUAL(9U, token.number);
    CHECK_TRUE(token.is_granted);
    CHECK(token.retry_after == milliseconds(40));
    const endpoint_token_request_message endpoint_request = std::get<endpoint_token_request_message>(
        parse_peer_message(to_text(endpoint_token_request_message{"a", 9, "i-1", 6.25}), "t"));
    CHECK_EQUAL(std::string("a"), endpoint_request.instance);
    CHECK_EQUAL(9U, endpoint_request.number);
    CHECK_EQUAL(std::string("i-1"), endpoint_request.endpoint);
    DOUBLES_EQUAL(6.25, endpoint_request.rate, 1e-9);

    for (const char* text : {"", "{}", "{\"method\":\"other\",\"params\":{}}",
                             "{\"method\":\"demand\",\"params\":{\"instance\":\"a\",\"sequence\":1,\"rates\":"
                             "{\"x\":-5}}}",
                             "{\"method\":\"demand_sums\",\"params\":{\"instance\":\"a\",\"sequence\":1,"
                             "\"acknowledged\":1,\"reporters\":0,\"rates\":{},\"silent\":{}}}"}) {
        CHECK_THROWS(core::findings_error, parse_peer_message(text, "test"));
    }
}

TEST_GROUP(fleet_membership)
{
    fleet_membership membership{{"own", seconds(3), seconds(2)}};
    const instance_record own = make_instance("own", "savo");

    std::string look_up(const std::string& region, core::instant now = start)
    {
        return join_names(membership.look_up(region, own, now));
    }
};

// Guards against clients being directed to another region without need, against a region without instances
// getting an empty answer, and against lookups that return stopping, silent or removed instances.
TEST(fleet_membership, a_lookup_returns_the_usable_instances_of_the_region)
{
    membership.put(make_instance("b", "savo"), start);
    membership.put(make_instance("c", "uusimaa"), start);
    CHECK_EQUAL(std::string("own b "), look_up("savo"));
    CHECK_EQUAL(std::string("c "), look_up("uusimaa"));
    CHECK_EQUAL(std::string("own b c "), look_up("pohjanmaa"));
    membership.record_message_from("b", start);
    CHECK_EQUAL(std::string("own "), look_up("savo", start + seconds(4)));
    instance_record leaving = make_instance("c", "uusimaa");
    leaving.phase = instance_phase::leaving;
    membership.put(leaving, start);
    CHECK_EQUAL(std::string("own b "), look_up("uusimaa"));
    membership.remove("b", start);
    CHECK_EQUAL(std::string("own "), look_up("savo"));
    CHECK_EQUAL(2U, membership.size());
}

// Guards against reports being sent to a failed collector, and against instances choosing different
// collectors.
TEST(fleet_membership, instances_choose_the_same_collectors_and_skip_a_silent_one)
{
    const std::vector<std::string> all{"a", "b", "c", "d", "own"};
    for (const std::string& name : all) {
        membership.put(make_instance(name, "savo"), start);
    }
    const std::vector<instance_record> chosen = membership.collectors(start);
    for (const std::string& name : all) {
        fleet_membership other{{name, seconds(3), seconds(2)}};
        for (const std::string& member : all) {
            other.put(make_instance(member, "savo"), start);
        }
        std::set<std::string> both;
        for (const instance_record& record : other.collectors(start)) {
            both.insert(record.instance);
        }
        for (const instance_record& record : chosen) {
            CHECK_TRUE(record.instance == name || both.contains(record.instance));
        }
    }
    // All instances ask the same collector first for the reserve of a workspace.
    fleet_membership other{{"c", seconds(3), seconds(2)}};
    for (const std::string& member : all) {
        other.put(make_instance(member, "savo"), start);
    }
    for (const char* workspace : {"hat", "cap", "mill"}) {
        const std::optional<instance_record> here = membership.granters(workspace, start).front();
        const std::optional<instance_record> there = other.granters(workspace, start).front();
        CHECK_EQUAL(here ? here->instance : "own", there ? there->instance : "c");
    }
    const std::string first = chosen[0].instance;
    membership.record_message_from(first, start);
    for (const instance_record& record : membership.collectors(start + seconds(4))) {
        CHECK(record.instance != first);
    }
}

// Guards against one instance that grants the tokens of the whole fleet, against instances that ask different
// granters, and against a leaving instance that goes on granting while others have taken over.
TEST(fleet_membership, workspaces_are_spread_over_the_granters)
{
    constexpr int instances = 119;
    constexpr int workspaces = 190;
    fleet_membership other{{"i7", seconds(3), seconds(2)}};
    for (int index = 0; index < instances; ++index) {
        const std::string name = index == 0 ? "own" : "i" + std::to_string(index);
        membership.put(make_instance(name, "savo"), start);
        other.put(make_instance(name, "savo"), start);
    }
    std::map<std::string, int> granted;
    std::string own_workspace;
    for (int index = 0; index < workspaces; ++index) {
        const std::string workspace = "w" + std::to_string(index);
        const std::vector<std::optional<instance_record>> here = membership.granters(workspace, start);
        const std::vector<std::optional<instance_record>> there = other.granters(workspace, start);
        CHECK_EQUAL(2U, here.size());
        CHECK_EQUAL(2U, there.size());
        for (std::size_t position = 0; position < 2; ++position) {
            const std::string name = here[position] ? here[position]->instance : "own";
            CHECK_EQUAL(name, there[position] ? there[position]->instance : "i7");
            ++granted[name];
            own_workspace = name == "own" && position == 0 ? workspace : own_workspace;
        }
    }
    for (const auto& [name, count] : granted) {
        CHECK(count <= 13);
    }
    CHECK_FALSE(own_workspace.empty());
    instance_record leaving = make_instance("own", "savo");
    leaving.phase = instance_phase::leaving;
    membership.put(leaving, start);
    for (const std::optional<instance_record>& granter : membership.granters(own_workspace, start)) {
        CHECK_TRUE(granter.has_value());
    }
}

// Guards against instances that ask different granters for the tokens of an endpoint, each of which would
// grant the whole rate: after a network partition some instances take others for silent longer than the rest.
TEST(fleet_membership, an_endpoint_has_one_granter)
{
    fleet_membership other{{"b", seconds(3), seconds(2)}};
    for (const char* name : {"own", "b", "c"}) {
        membership.put(make_instance(name, "savo"), start);
        other.put(make_instance(name, "savo"), start);
    }
    for (const char* collector : {"own", "b", "c"}) {
        other.record_silence_report(collector, {"own"}, start);
    }
    for (int index = 0; index < 20; ++index) {
        const std::string endpoint = std::to_string(index);
        const designated_instance here = membership.find_endpoint_granter(endpoint);
        const designated_instance there = other.find_endpoint_granter(endpoint);
        CHECK(here.is_own != here.other.has_value());
        CHECK_EQUAL(here.is_own ? "own" : here.other->instance, there.is_own ? "b" : there.other->instance);
    }
}

// Guards against instances of a region that ask different relays, against a relay in a region that is too
// small for one, and against a relay that has fallen silent.
TEST(fleet_membership, a_region_has_one_relay)
{
    const std::vector<std::string> all{"a", "b", "c", "d", "own"};
    for (const std::string& name : all) {
        membership.put(make_instance(name, "savo"), start);
    }
    for (const char* name : {"e", "f", "g"}) {
        membership.put(make_instance(name, "uusimaa"), start);
    }
    const designated_instance here = membership.find_relay("savo", start);
    const std::string relay = here.is_own ? "own" : here.other->instance;
    for (const std::string& name : all) {
        fleet_membership other{{name, seconds(3), seconds(2)}};
        for (const std::string& member : all) {
            other.put(make_instance(member, "savo"), start);
        }
        const designated_instance there = other.find_relay("savo", start);
        CHECK_EQUAL(name == relay, there.is_own);
        CHECK_TRUE(there.is_own || there.other->instance == relay);
    }
    const designated_instance none = membership.find_relay("uusimaa", start);
    CHECK_FALSE(none.is_own);
    CHECK_FALSE(none.other.has_value());
    if (!here.is_own) {
        membership.record_silence_report("e", {relay}, start);
        const designated_instance next = membership.find_relay("savo", start);
        CHECK_TRUE(next.is_own || next.other->instance != relay);
    }
}

// Guards against lookups that return an instance from which no collector receives messages, and against
// excluding an instance because a single network path failed.
TEST(fleet_membership, an_instance_reported_silent_by_all_collectors_is_left_out_of_lookups)
{
    for (const char* name : {"b", "c", "d"}) {
        membership.put(make_instance(name, "savo"), start);
    }
    membership.record_silence_report("c", {"b"}, start);
    CHECK_EQUAL(std::string("own c d "), look_up("savo"));
    membership.record_silence_report("d", {}, start);
    CHECK_EQUAL(std::string("own b c d "), look_up("savo"));
    membership.record_silence_report("d", {"b"}, start);
    CHECK_EQUAL(std::string("own c d "), look_up("savo"));
    CHECK_EQUAL(std::string("own b c d "), look_up("savo", start + seconds(2)));
}

// Guards against shares of a limit that grow because an outage of the store made the records of running
// instances expire.
TEST(fleet_membership, instances_whose_records_expired_count_until_the_grace_period_is_over)
{
    membership.put(make_instance("b", "savo"), start);
    membership.put(make_instance("c", "savo"), start);
    membership.begin_removal_grace_period(start);
    membership.remove("b", start);
    membership.remove("c", start);
    CHECK_EQUAL(3U, membership.view().size);
    CHECK_FALSE(membership.remove_missing(start + seconds(1)));
    membership.put(make_instance("b", "savo"), start + seconds(1));
    CHECK_TRUE(membership.remove_missing(start + seconds(2)));
    CHECK_EQUAL(2U, membership.view().size);
}

TEST_GROUP(request_rules)
{
    burn::metrics_registry metrics;
    traffic_state state;
    quota::fleet_quota limits{{}};
    endpoint_balancer balancer{{}, [] { return placement::fleet_view{1, {1}, 1}; }, metrics};
    request_rule_options options;
    std::unique_ptr<request_rules> rules;
    caller::proxy_hooks hooks;
    const std::string digest = core::sha256_hex("secret");

    void setup() override
    {
        options.max_configuration_age_for_keys = seconds(4);
        options.max_configuration_age_for_denials = seconds(2);
        options.retry_budget_fraction = 0.2;
        options.retry_budget_slack = 10;
        rules = std::make_unique<request_rules>(
            options, state, balancer, limits, [this](std::string) { return answer_token(); },
            [this](std::string, double) { return answer_endpoint_token(); }, [] { return 2U; }, metrics);
        hooks = rules->hooks();
    }

    static routing::configuration make_configuration(std::uint64_t version)
    {
        routing::route keyed;
        keyed.name = "keyed";
        keyed.host = "desk.example";
        keyed.prefix = "/keyed/";
        keyed.services = {{"orders", 1}};
        keyed.attempt_limit = 2;
        keyed.time_limit = milliseconds(800);
        routing::route open = keyed;
        open.name = "open";
        open.prefix = "/open/";
        open.is_public = true;
        open.is_repeatable = true;
        routing::workspace harbour;
        harbour.name = "harbour";
        harbour.key_digests = {core::sha256_hex("secret")};
        routing::configuration result;
        result.version = version;
        result.routes = {keyed, open};
        result.workspaces = {harbour};
        return result;
    }

    void configure(const routing::configuration& source, core::duration age)
    {
        state.publish(routing::route_table::create(source));
        state.confirm(core::boot_clock::now() - age);
        balancer.set_table(state.table());
    }

    caller::request_summary request(std::string_view target) const
    {
        caller::request_summary result;
        result.host = "desk.example";
        result.target = target;
        result.request_id = "id";
        result.key_digest = digest;
        return result;
    }

    // Returns the failure of a rejection; no value if the request is admitted.
    std::optional<dispatch::failure> begin(const caller::request_summary& wanted) const
    {
        const caller::admission_result result = hooks.route_request(wanted, start);
        const caller::rejection* rejected = std::get_if<caller::rejection>(&result);
        return rejected == nullptr ? std::nullopt : std::optional<dispatch::failure>(rejected->failure);
    }

    // Whether the fleet grants the tokens that are asked for.
    bool is_token_granted = false;

    boost::asio::awaitable<quota::quota_decision> answer_token() const
    {
        quota::quota_decision result;
        result.is_admitted = is_token_granted;
        result.retry_after = milliseconds(70);
        co_return result;
    }

    // What the granter of an endpoint answers; without a value it does not answer.
    std::optional<core::duration> endpoint_token_wait;
    int endpoint_token_requests = 0;

    boost::asio::awaitable<std::optional<core::duration>> answer_endpoint_token()
    {
        ++endpoint_token_requests;
        co_return endpoint_token_wait;
    }

    caller::admission admit(std::string_view target) const
    {
        return std::get<caller::admission>(hooks.route_request(request(target), start));
    }
};

// Guards against permanent rejections by an instance that has no configuration yet.
TEST(request_rules, without_a_configuration_callers_are_told_to_retry_later)
{
    CHECK(begin(request("/keyed/a")) == dispatch::failure::no_configuration);
}

// Guards against permanent rejections that are based on an outdated configuration, and against an instance
// that goes on accepting keys while it cannot reach the store.
TEST(request_rules, the_age_of_the_configuration_decides_what_may_be_rejected_and_served)
{
    struct test_case {
        core::duration age;
        std::optional<dispatch::failure> unknown_route;
        std::optional<dispatch::failure> unknown_key;
        std::optional<dispatch::failure> known_key;
    };
    using dispatch::failure;
    const std::vector<test_case> cases{
        {seconds(0), failure::no_route, failure::key_unknown, std::nullopt},
        {seconds(3), failure::no_authority, failure::no_authority, std::nullopt},
        {seconds(5), failure::no_authority, failure::no_authority, failure::no_authority},
    };
    state.publish(routing::route_table::create(make_configuration(1)));
    for (std::vector<test_case>::const_reverse_iterator entry = cases.rbegin(); entry != cases.rend();
         ++entry) {
        state.confirm(core::boot_clock::now() - entry->age);
        caller::request_summary unknown = request("/keyed/a");
        unknown.key_digest = "none";
        CHECK(begin(request("/nowhere/")) == entry->unknown_route);
        CHECK(begin(unknown) == entry->unknown_key);
        CHECK(begin(request("/keyed/a")) == entry->known_key);
        CHECK(begin(request("/open/a")) == std::nullopt);
    }
}

// Guards against sending a request whose key was revoked, or moved to another workspace, while the request
// was waiting.
TEST(request_rules, a_key_is_checked_again_before_the_request_is_sent)
{
    configure(make_configuration(1), seconds(0));
    const caller::admission admitted = admit("/keyed/a");
    CHECK_FALSE(hooks.recheck_authorization(request("/keyed/a"), admitted, start).has_value());
    routing::configuration without = make_configuration(2);
    without.workspaces.front().key_digests.clear();
    configure(without, seconds(0));
    CHECK(hooks.recheck_authorization(request("/keyed/a"), admitted, start)->failure ==
          dispatch::failure::key_revoked);
    routing::configuration moved = make_configuration(3);
    moved.workspaces.front().name = "mill";
    configure(moved, seconds(0));
    CHECK(hooks.recheck_authorization(request("/keyed/a"), admitted, start)->failure ==
          dispatch::failure::key_revoked);
}

// Guards against reverting to an older configuration.
TEST(request_rules, an_older_configuration_is_never_published)
{
    configure(make_configuration(7), seconds(0));
    CHECK_FALSE(state.publish(routing::route_table::create(make_configuration(6))));
    CHECK_EQUAL(7U, state.table()->version());
}

// Guards against a request that reaches more endpoints than its route allows, against repeating a request
// that must not run twice, and against retries beyond the fleet-wide budget.
TEST(request_rules, retries_stay_within_the_route_limit_and_the_budget)
{
    configure(make_configuration(1), seconds(0));
    const caller::admission once = admit("/keyed/a");
    const caller::admission repeatable = admit("/open/a");
    using dispatch::failure;
    const auto retry = [&](const caller::admission& admitted, std::uint32_t sends, bool is_repeatable,
                           failure at) {
        const dispatch::attempt_state attempt{sends, is_repeatable, true, start + seconds(1), sends};
        return hooks.grant_retry(request("/"), admitted, attempt, at, start);
    };
    CHECK_FALSE(retry(once, 1, false, failure::response_lost));
    CHECK_TRUE(retry(once, 1, false, failure::upstream_shed));
    CHECK_FALSE(retry(once, 2, false, failure::upstream_shed));
    CHECK_TRUE(retry(repeatable, 1, true, failure::response_lost));
    // The budget is 80% of a slack of 10, divided between two instances: four retries, two of which were used
    // above.
    int granted = 0;
    for (int count = 0; count < 20; ++count) {
        granted += retry(repeatable, 1, true, failure::response_lost) ? 1 : 0;
    }
    CHECK_EQUAL(2, granted);
    // No earlier attempt was sent, so this is not a retry and needs no budget.
    CHECK_TRUE(retry(repeatable, 0, true, failure::connect_failed));
}

// Guards against accepting new requests on an instance that is stopping.
TEST(request_rules, a_stopping_instance_refuses_new_requests)
{
    configure(make_configuration(1), seconds(0));
    state.is_rejecting_requests = true;
    CHECK(begin(request("/open/a")) == dispatch::failure::stopping);
}

// Guards against a request that is taken late in a planned stop and cut at its end without an answer.
TEST(request_rules, a_stopping_instance_refuses_requests_that_may_outlast_it)
{
    configure(make_configuration(1), seconds(0));
    caller::request_summary wanted = request("/keyed/a");
    wanted.received_at = start;
    wanted.deadline = start + seconds(5);
    CHECK_FALSE(begin(wanted).has_value());
    // The route allows 800 ms, whatever the caller does.
    state.set_last_deadline(start + milliseconds(799));
    CHECK(begin(wanted) == dispatch::failure::stopping);
    state.set_last_deadline(start + milliseconds(800));
    CHECK_FALSE(begin(wanted).has_value());
    wanted.deadline = start + milliseconds(100);
    state.set_last_deadline(start + milliseconds(200));
    CHECK_FALSE(begin(wanted).has_value());
}

// Guards against rejecting a request although the fleet has a token left, and against serving a request
// without a token.
TEST(request_rules, a_request_without_a_token_asks_the_fleet)
{
    configure(make_configuration(1), milliseconds(0));
    limits.set_limits({{"harbour", 0.001, 0}}, start);
    const caller::admission admitted = admit("/keyed/a");
    const std::function<std::optional<caller::rejection>()> decide = [&] {
        boost::asio::io_context context;
        caller::wait_context wait;
        std::future<std::optional<caller::rejection>> result =
            boost::asio::co_spawn(context, hooks.enforce_rate_limit(admitted, wait), boost::asio::use_future);
        context.run();
        return result.get();
    };
    const std::optional<caller::rejection> rejected = decide();
    CHECK_TRUE(rejected.has_value());
    CHECK(rejected->failure == dispatch::failure::rate_limited);
    is_token_granted = true;
    CHECK_FALSE(decide().has_value());
    // A limit whose burst is below two tokens is not divided between two instances, so only the granter's
    // answer, 70 ms, tells when the next token is expected. One of three requests was admitted so far, which
    // adds to the wait, and half of the wait is spread over the callers.
    limits.set_fleet_size(2, start);
    is_token_granted = false;
    const core::duration wait = decide()->retry_after;
    CHECK(wait >= milliseconds(35 + 120) && wait <= milliseconds(70 + 330));
}

// Guards against an instance that goes on using its share after its lease has ended: the others have divided
// it, so only a granter may admit the request. An instance that the store turns away keeps a confirmed
// configuration by the relay of its region.
TEST(request_rules, a_share_is_not_used_without_a_lease)
{
    configure(make_configuration(1), milliseconds(0));
    // So many that a token is there at once.
    limits.set_limits({{"harbour", 1e9, 1e9}}, start);
    const caller::admission admitted = admit("/keyed/a");
    const std::function<bool()> is_admitted = [&] {
        boost::asio::io_context context;
        caller::wait_context wait;
        std::future<std::optional<caller::rejection>> result =
            boost::asio::co_spawn(context, hooks.enforce_rate_limit(admitted, wait), boost::asio::use_future);
        context.run();
        return !result.get().has_value();
    };
    is_token_granted = false;
    CHECK_TRUE(is_admitted());
    state.confirm_membership(core::boot_clock::now());
    CHECK_FALSE(is_admitted());
    is_token_granted = true;
    CHECK_TRUE(is_admitted());
    is_token_granted = false;
    state.confirm_membership(core::boot_clock::now() + seconds(60));
    CHECK_TRUE(is_admitted());
}

// Guards against an endpoint that has named a limit and receives requests without a token, and against a
// request that is rejected although another endpoint takes it.
TEST(request_rules, an_endpoint_with_a_limit_receives_only_requests_with_a_token)
{
    configure(make_configuration(1), seconds(0));
    for (const char* id : {"a", "b"}) {
        placement::endpoint_record record;
        record.id = id;
        record.service = "orders";
        record.host = "127.0.0.1";
        record.port = 9;
        record.region = "savo";
        balancer.apply(record, true, start);
    }
    const caller::admission admitted = admit("/keyed/a");
    const std::function<std::string()> acquire = [&] {
        boost::asio::io_context context;
        caller::wait_context wait;
        const std::vector<std::string> tried;
        std::optional<caller::lease_result> acquired;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                acquired.emplace(co_await hooks.acquire_endpoint(request("/keyed/a"), admitted, tried, wait));
            },
            boost::asio::detached);
        context.run();
        caller::endpoint_lease* lease = std::get_if<caller::endpoint_lease>(&*acquired);
        if (lease == nullptr) {
            return std::string("rejected");
        }
        caller::attempt_result answered;
        answered.was_contacted = true;
        answered.status = 200;
        answered.rate_limit = 6;
        const std::string id = lease->identity();
        lease->release(answered);
        return id;
    };
    const std::string preferred = acquire();
    CHECK_EQUAL(0, endpoint_token_requests);
    endpoint_token_wait = core::duration(0);
    CHECK_EQUAL(preferred, acquire());
    CHECK_EQUAL(1, endpoint_token_requests);
    endpoint_token_wait = milliseconds(200);
    const std::string other = acquire();
    CHECK(other != preferred);
    CHECK(other != "rejected");
    // Both endpoints have named a limit now, and neither has a token left.
    CHECK_EQUAL(std::string("rejected"), acquire());
    const int asked = endpoint_token_requests;
    CHECK_EQUAL(std::string("rejected"), acquire());
    CHECK_EQUAL(asked, endpoint_token_requests);
}

// Guards against sending a request to a draining endpoint, and against a rejection without a retry-after
// time.
TEST(request_rules, a_draining_endpoint_receives_nothing)
{
    configure(make_configuration(1), seconds(0));
    placement::endpoint_record record;
    record.id = "a";
    record.service = "orders";
    record.host = "127.0.0.1";
    record.port = 9;
    record.region = "savo";
    balancer.apply(record, true, start);
    const caller::admission admitted = admit("/open/a");
    const std::vector<std::string> tried;
    attempt_request wanted;
    wanted.request_id = "id";
    wanted.service = &admitted.service;
    const routing::route& route = state.table()->source().routes[1];
    wanted.route = &route;
    wanted.tried = &tried;
    CHECK_TRUE(std::holds_alternative<caller::endpoint_lease>(balancer.acquire(wanted, start)));
    record.phase = placement::endpoint_phase::draining;
    record.sequence = 1;
    balancer.apply(record, false, start);
    const endpoint_balancer::acquire_result refused = balancer.acquire(wanted, start);
    CHECK_TRUE(std::holds_alternative<caller::rejection>(refused));
    CHECK(std::get<caller::rejection>(refused).retry_after > core::duration(0));
}
