// Tests of the decisions about requests: routes, keys, limits, retries and planned stops.

#include "edge/request_rules.h"

#include "core/digest.h"

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

} // namespace

TEST_GROUP(request_rules)
{
    burn::metrics_registry metrics;
    traffic_state state;
    quota::fleet_quota limits{{}};
    endpoint_balancer balancer{{}, [] { return placement::fleet_view{1, {1}, 1}; }, metrics};
    boost::asio::io_context control_context;
    quarantine_exchange quarantine{
        control_context.get_executor(), "own", {}, make_quarantine_hooks(), metrics};
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
            options, state, balancer, limits, quarantine, [this](std::string) { return answer_token(); },
            [this](std::string, double) { return answer_endpoint_token(); }, [] { return 2U; }, metrics);
        hooks = rules->hooks();
    }

    static quarantine_exchange::hooks make_quarantine_hooks()
    {
        return {[](const std::string&) { return std::vector<std::optional<instance_record>>{std::nullopt}; },
                [] { return std::vector<instance_record>(); },
                [](const instance_record&, const std::string&) { return true; }};
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

    static placement::endpoint_record make_endpoint()
    {
        placement::endpoint_record result;
        result.id = "a";
        result.service = "orders";
        result.host = "127.0.0.1";
        result.port = 9;
        result.region = "savo";
        return result;
    }

    // Acquires an endpoint for a request on the public route.
    endpoint_balancer::acquire_result acquire_on_open_route()
    {
        const caller::admission admitted = admit("/open/a");
        const std::vector<std::string> tried;
        attempt_request wanted;
        wanted.request_id = "id";
        wanted.service = &admitted.service;
        wanted.route = &state.table()->source().routes[1];
        wanted.tried = &tried;
        return balancer.acquire(wanted, start);
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

// Guards against a request that ends the endpoints that process it and is sent to further ones, by the
// retries of the instance and of callers, each with an identifier of its own.
TEST(request_rules, a_request_under_which_endpoints_have_ended_is_rejected_at_once)
{
    configure(make_configuration(1), seconds(0));
    placement::endpoint_record record;
    record.id = "third";
    record.service = "orders";
    record.host = "127.0.0.1";
    record.port = 9;
    record.region = "savo";
    balancer.apply(record, true, start);
    const caller::admission admitted = admit("/open/a");
    caller::request_summary wanted = request("/open/a");
    wanted.fingerprint = 7;
    const std::function<std::optional<caller::rejection>()> try_acquire = [&] {
        boost::asio::io_context context;
        caller::wait_context wait;
        std::optional<caller::lease_result> acquired;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                acquired.emplace(co_await hooks.acquire_endpoint(wanted, admitted, {}, wait));
            },
            boost::asio::detached);
        context.run();
        const caller::rejection* rejected = std::get_if<caller::rejection>(&*acquired);
        return rejected == nullptr ? std::nullopt : std::optional<caller::rejection>(*rejected);
    };
    caller::attempt_result ended;
    ended.failure = dispatch::failure::response_lost;
    ended.has_endpoint_ended = true;
    hooks.on_attempt_finished(wanted, "first", ended);
    CHECK_FALSE(try_acquire().has_value());
    hooks.on_attempt_finished(wanted, "second", ended);
    wanted.request_id = "another";
    const std::optional<caller::rejection> rejected = try_acquire();
    CHECK_TRUE(rejected.has_value());
    CHECK(rejected->failure == dispatch::failure::request_quarantined);
    CHECK(rejected->retry_after > seconds(50));
    CHECK_EQUAL(503U, dispatch::outcome_rule_for(rejected->failure).status);
    wanted.fingerprint = 8;
    CHECK_FALSE(try_acquire().has_value());
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
    placement::endpoint_record record = make_endpoint();
    balancer.apply(record, true, start);
    CHECK_TRUE(std::holds_alternative<caller::endpoint_lease>(acquire_on_open_route()));
    record.phase = placement::endpoint_phase::draining;
    record.sequence = 1;
    balancer.apply(record, false, start);
    const endpoint_balancer::acquire_result refused = acquire_on_open_route();
    CHECK_TRUE(std::holds_alternative<caller::rejection>(refused));
    CHECK(std::get<caller::rejection>(refused).retry_after > core::duration(0));
}

// Guards against taking an endpoint out of use because it answers some callers with 429 on its own account:
// it works, though its refusal promises nothing.
TEST(request_rules, an_endpoint_that_limits_callers_is_not_ejected)
{
    configure(make_configuration(1), seconds(0));
    balancer.apply(make_endpoint(), true, start);
    constexpr int refusals = 5;
    for (int count = 0; count < refusals; ++count) {
        endpoint_balancer::acquire_result acquired = acquire_on_open_route();
        CHECK_TRUE(std::holds_alternative<caller::endpoint_lease>(acquired));
        caller::attempt_result result;
        result.was_contacted = true;
        result.failure = dispatch::failure::refusal_unstated;
        result.status = 429;
        std::get<caller::endpoint_lease>(acquired).release(result);
    }
    const burn::counter& ejections =
        metrics.get_counter("upstream_ejections_total", "Endpoints passed over after failures.");
    CHECK_EQUAL(0U, ejections.value());
}
