// Tests of how store entries are applied to the state that the request path reads.

#include "edge/confirmation_client.h"
#include "edge/store_watcher.h"
#include "scripted_store.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

deployment_adapter make_adapter()
{
    deployment_adapter result;
    result.operator_prefix = "operators/";
    result.is_configuration = [](const std::string& key) { return key == "operators/configuration"; };
    result.read_configuration = [](const store::store_entry& entry, core::findings&) {
        routing::configuration read;
        read.version = std::stoull(entry.value);
        return std::optional<routing::configuration>(read);
    };
    result.read_evacuation = [](const std::string& key) {
        const std::string prefix = "operators/evacuate/";
        return key.starts_with(prefix) ? std::optional<std::string>(key.substr(prefix.size())) : std::nullopt;
    };
    result.endpoint_prefix = "endpoints/";
    result.read_endpoint = [](const store::store_entry& entry, core::findings&) {
        if (entry.value == "odd") {
            throw std::out_of_range("an entry that the reader does not expect");
        }
        placement::endpoint_record read;
        read.id = entry.key.substr(std::string("endpoints/").size());
        read.service = "mill";
        read.host = "127.0.0.1";
        read.port = 9;
        read.availability_zone = "savo-a";
        return std::optional<placement::endpoint_record>(read);
    };
    result.endpoint_id = [](const std::string& key) { return key.substr(std::string("endpoints/").size()); };
    return result;
}

instance_options make_options()
{
    instance_options result;
    result.instance = "own";
    result.store_watch_pause = milliseconds(1);
    result.store_retry_pause = milliseconds(1);
    result.peer_ask_pause = milliseconds(1);
    return result;
}

std::string make_peer(const std::string& name)
{
    instance_record record;
    record.instance = name;
    record.caller_address = {"127.0.0.1", 8000};
    record.peer_address = {"127.0.0.1", 8001};
    return to_text(record);
}

} // namespace

TEST_GROUP(store_watcher)
{
    boost::asio::io_context context;
    std::shared_ptr<scripted_store> test_store = std::make_shared<scripted_store>();
    burn::metrics_registry metrics;
    traffic_state state;
    fleet_membership membership{{"own", seconds(3), seconds(2)}};
    quota::fleet_quota limits{quota::quota_options{}};
    quota::grantable_reserve reserve{quota::quota_options{}};
    endpoint_balancer balancer{balancer_options{}, [] { return placement::fleet_view{}; }, metrics};
    std::shared_ptr<registration> own_registration =
        registration::create(context.get_executor(), test_store, instance_record{}, {});
    const deployment_adapter adapter = make_adapter();
    const instance_options options = make_options();
    int configured_count = 0;
    // The mode and the answers of the peer that the watcher asks, and how often it has asked.
    store::watch_mode mode = store::watch_mode::own;
    std::optional<store::peer_confirmation> peer_answer;
    int ask_count = 0;
    store_watcher watcher{context.get_executor(),
                          test_store,
                          adapter,
                          options,
                          {state, balancer, membership, limits, reserve, *own_registration,
                           [this] { ++configured_count; }, [this] { return mode; },
                           [this] { return ask_peer(); }}};

    boost::asio::awaitable<std::optional<store::peer_confirmation>> ask_peer()
    {
        ++ask_count;
        co_return peer_answer;
    }

    // Runs the watcher until the condition holds. Returns whether it holds; the limit of 10 s only ends a
    // test that would hang.
    bool run_until(const std::function<bool()>& is_reached)
    {
        const core::instant end = std::chrono::steady_clock::now() + seconds(10);
        while (!is_reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(milliseconds(5));
        }
        return is_reached();
    }

    // Returns whether the balancer finds an endpoint for a request at the given time.
    bool takes_requests(core::instant now)
    {
        const std::string service = "mill";
        const std::vector<std::string> tried;
        const routing::route route;
        attempt_request wanted;
        wanted.request_id = "id";
        wanted.service = &service;
        wanted.route = &route;
        wanted.tried = &tried;
        return !std::holds_alternative<caller::rejection>(balancer.acquire(wanted, now));
    }

    // Lets a relay confirm the copy twice, with the given time between what it knew. Returns whether an
    // endpoint that is removed then is dropped at once.
    bool is_removed_at_once_after(core::duration gap)
    {
        mode = store::watch_mode::asking;
        test_store->put("operators/configuration", "3");
        for (const char* key : {"endpoints/e1", "endpoints/e2", "endpoints/e3"}) {
            test_store->put(key, "");
        }
        watcher.start();
        CHECK_TRUE(run_until([this] { return watcher.has_listed() && balancer.size() == 3; }));
        const core::boot_instant first = core::boot_clock::now() + seconds(1);
        for (const core::boot_instant as_of : {first, first + gap}) {
            peer_answer = store::peer_confirmation{0, watcher.confirmation()->revision, as_of};
            CHECK_TRUE(run_until([&] { return state.age(as_of) == core::boot_clock::duration(0); }));
        }
        test_store->remove("endpoints/e1");
        test_store->put("operators/configuration", "4");
        peer_answer.reset();
        CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
        return !balancer.knows("e1");
    }

    void teardown() override
    {
        watcher.stop();
        context.restart();
        context.run_for(milliseconds(20));
    }
};

// Guards against a kind of entry that the shared watch does not deliver, either at startup or later.
TEST(store_watcher, one_watch_delivers_every_kind_of_entry)
{
    test_store->put("operators/configuration", "3");
    test_store->put("endpoints/e1", "");
    test_store->put(std::string(instance_prefix) + "peer", make_peer("peer"));
    test_store->put("another/kind", "entry of an unknown kind");
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && state.table() != nullptr; }));
    CHECK_EQUAL(1, configured_count);
    CHECK_EQUAL(1U, balancer.size());
    CHECK_EQUAL(2U, membership.size());

    test_store->put("operators/configuration", "4");
    test_store->put("endpoints/e2", "");
    test_store->remove(std::string(instance_prefix) + "peer");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    CHECK_TRUE(run_until([this] { return balancer.size() == 2 && membership.size() == 1; }));
}

// Guards against an odd entry of another writer that keeps the entries beside it from being applied, or the
// configuration from being confirmed.
TEST(store_watcher, an_entry_that_cannot_be_applied_leaves_the_others_in_force)
{
    test_store->put("operators/configuration", "3");
    test_store->put("endpoints/e1", "");
    test_store->put("endpoints/e2", "odd");
    test_store->put(std::string(instance_prefix) + "peer", make_peer("another"));
    test_store->put("endpoints/e3", "");
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && balancer.size() == 2; }));
    const core::boot_instant listed_at = core::boot_clock::now();
    test_store->put("endpoints/e1", "odd");
    test_store->put("operators/configuration", "4");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    CHECK_EQUAL(1U, balancer.size());
    CHECK_EQUAL(1U, membership.size());
    CHECK_TRUE(run_until([&] { return state.age(listed_at) <= core::boot_clock::duration(0); }));
}

// Guards against keys that are rejected for the timeout of a whole watch after an outage of the store, since
// the configuration is confirmed only by the first answer. The watch that follows a failed call must
// therefore answer at once.
TEST(store_watcher, the_first_watch_after_a_failure_does_not_wait)
{
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return !test_store->watch_timeouts().empty(); }));
    CHECK(test_store->watch_timeouts().back() == options.store_watch_timeout);
    test_store->fail_calls(1);
    const std::size_t before = test_store->watch_timeouts().size();
    CHECK_TRUE(run_until([&] { return test_store->watch_timeouts().size() >= before + 3; }));
    const std::vector<core::duration> timeouts(test_store->watch_timeouts().begin() +
                                                   static_cast<std::ptrdiff_t>(before),
                                               test_store->watch_timeouts().end());
    CHECK(timeouts[0] == options.store_watch_timeout);
    CHECK(timeouts[1] < milliseconds(50));
    CHECK(timeouts[2] == options.store_watch_timeout);
}

// Guards against an instance that keeps outdated entries after an outage because too many changes happened
// for one watch to return. This was seen on a test bench of users: an old configuration was still in force
// six seconds after the network path to the store was restored.
TEST(store_watcher, entries_are_listed_when_watches_keep_failing)
{
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    test_store->fail_watches();
    test_store->put("operators/configuration", "9");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 9; }));
}

// Guards against calls to the store that grow with the number of instances: 119 instances made 6,000 calls on
// a day on which little changed.
TEST(store_watcher, no_call_is_made_while_a_peer_confirms_the_copy)
{
    mode = store::watch_mode::asking;
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    const core::boot_instant as_of = core::boot_clock::now() + seconds(100);
    peer_answer = store::peer_confirmation{0, watcher.confirmation()->revision, as_of};
    const int asked_before = ask_count;
    CHECK_TRUE(run_until([&] { return ask_count >= asked_before + 2; }));
    const std::size_t calls = test_store->watch_timeouts().size();
    CHECK_TRUE(run_until([&] { return ask_count >= asked_before + 20; }));
    CHECK_EQUAL(calls, test_store->watch_timeouts().size());
    CHECK(state.age(as_of) == core::boot_clock::duration(0));
}

// Guards against a revoked key that stays valid because a peer confirms a copy that lacks the newest change:
// what the peer knows and this copy does not is read from the store, and confirms nothing before that.
TEST(store_watcher, a_newer_revision_of_a_peer_is_read_from_the_store)
{
    mode = store::watch_mode::asking;
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    test_store->put("operators/configuration", "4");
    test_store->fail_calls(3);
    const core::boot_instant as_of = core::boot_clock::now() + seconds(100);
    peer_answer = store::peer_confirmation{0, watcher.confirmation()->revision + 1, as_of};
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    CHECK(test_store->watch_timeouts().back() < milliseconds(50));
}

// Guards against an instance that waits for a relay that has failed.
TEST(store_watcher, the_store_is_watched_while_the_peer_does_not_answer)
{
    mode = store::watch_mode::asking;
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    test_store->put("operators/configuration", "4");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    CHECK(ask_count > 0);
}

// Guards against a relay whose own knowledge is too old to be of use for those that ask it.
TEST(store_watcher, a_relay_watches_at_shorter_intervals)
{
    mode = store::watch_mode::serving;
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return test_store->watch_timeouts().size() >= 2; }));
    CHECK(test_store->watch_timeouts().back() < options.store_watch_timeout);
    CHECK_EQUAL(0, ask_count);
}

// Guards against a change that is missed because the revisions of a restored store have reached those of the
// copy again before the next watch: the routes that were added meanwhile were unknown.
TEST(store_watcher, a_restored_store_whose_revisions_have_caught_up_is_listed_again)
{
    test_store->put("operators/configuration", "3");
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && state.table() != nullptr; }));
    test_store->take_copy();
    test_store->put("endpoints/e1", "");
    test_store->put("endpoints/e2", "");
    CHECK_TRUE(run_until([this] { return balancer.size() == 2; }));
    test_store->restore();
    test_store->put("operators/configuration", "5");
    test_store->put("endpoints/e2", "");
    test_store->put("endpoints/e1", "");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 5; }));
    CHECK_EQUAL(2U, balancer.size());
}

// Guards against a copy from before a restore that a relay confirms because its revision is above those of
// the restored store.
TEST(store_watcher, a_peer_that_knows_of_a_restore_does_not_confirm_an_older_copy)
{
    test_store->put("operators/configuration", "3");
    test_store->take_copy();
    test_store->put("endpoints/e1", "");
    test_store->put("endpoints/e2", "");
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && state.table() != nullptr; }));
    test_store->restore();
    test_store->put("operators/configuration", "4");
    mode = store::watch_mode::asking;
    peer_answer = store::peer_confirmation{1, watcher.confirmation()->revision - 1, core::boot_clock::now()};
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    // A peer that does not know of the restore yet confirms nothing either.
    peer_answer = store::peer_confirmation{0, 100, core::boot_clock::now()};
    const std::size_t watches = test_store->watch_timeouts().size();
    CHECK_TRUE(run_until([&] { return test_store->watch_timeouts().size() > watches; }));
}

// Guards against endpoints and instances that had left before a restore and are used again because the older
// copy still lists them, and against the loss of those that the copy does not list yet.
TEST(store_watcher, entries_that_a_restore_brings_back_are_not_used)
{
    test_store->put("operators/configuration", "3");
    test_store->put("endpoints/gone", "");
    test_store->put("endpoints/kept", "");
    test_store->put(std::string(instance_prefix) + "gone", make_peer("gone"));
    test_store->take_copy();
    watcher.start();
    CHECK_TRUE(run_until([this] { return balancer.size() == 2 && membership.is_member("gone"); }));
    test_store->remove("endpoints/gone");
    test_store->remove(std::string(instance_prefix) + "gone");
    test_store->put("endpoints/joined", "");
    CHECK_TRUE(run_until([this] { return balancer.knows("joined") && !membership.is_member("gone"); }));
    CHECK_FALSE(balancer.knows("gone"));
    test_store->restore();
    const std::size_t watches = test_store->watch_timeouts().size();
    CHECK_TRUE(run_until([&] { return test_store->watch_timeouts().size() > watches + 3; }));
    CHECK_FALSE(balancer.knows("gone"));
    CHECK_FALSE(membership.is_member("gone"));
    CHECK_TRUE(balancer.knows("kept"));
    CHECK_TRUE(balancer.knows("joined"));
    // It is used when it is written again.
    test_store->put("endpoints/gone", "");
    CHECK_TRUE(run_until([this] { return balancer.knows("gone"); }));
}

// Guards against an evacuated zone that receives requests again because the older copy of a restored store
// does not list its evacuation yet.
TEST(store_watcher, an_evacuation_that_a_restore_has_lost_stays_in_force)
{
    test_store->put("operators/configuration", "3");
    test_store->put("endpoints/e1", "");
    test_store->take_copy();
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && balancer.size() == 1; }));
    test_store->put("operators/evacuate/savo-a", "");
    const std::function<bool()> takes_requests_now = [this] {
        return takes_requests(std::chrono::steady_clock::now());
    };
    CHECK_TRUE(run_until([&] { return !takes_requests_now(); }));
    test_store->restore();
    const std::size_t watches = test_store->watch_timeouts().size();
    CHECK_TRUE(run_until([&] { return test_store->watch_timeouts().size() > watches + 3; }));
    CHECK_FALSE(takes_requests_now());
}

// Guards against requests to an endpoint beyond the grace period for its missing record, in the time up to
// the next periodic update of the balancer.
TEST(store_watcher, a_missing_endpoint_is_not_chosen_after_the_grace_period)
{
    test_store->put("operators/configuration", "3");
    test_store->put("endpoints/e1", "");
    watcher.start();
    CHECK_TRUE(run_until([this] { return watcher.has_listed() && balancer.size() == 1; }));
    const core::instant now = std::chrono::steady_clock::now();
    balancer.begin_removal_grace_period(now);
    balancer.remove("e1", now);
    const core::duration grace_period = placement::catalog_options().removal_grace_period;
    CHECK_TRUE(takes_requests(now + grace_period - milliseconds(1)));
    CHECK_FALSE(takes_requests(now + grace_period));
}

// Guards against an outage of the store that is missed because a relay went on confirming its older copy for
// a part of it: endpoints whose records had expired were removed before they could write them again.
TEST(store_watcher, an_outage_is_measured_from_what_the_relay_knew)
{
    CHECK_FALSE(is_removed_at_once_after(milliseconds(2500)));
}

// Guards against a removed endpoint that is kept for the grace period of an outage because a relay has
// failed: the instance was without knowledge of the store for 1.7 s, and the store was in order.
TEST(store_watcher, a_relay_that_fails_is_no_outage_of_the_store)
{
    // The watches of these tests do not pause, so the interval is shorter by the usual pause.
    CHECK_TRUE(is_removed_at_once_after(milliseconds(1700) - instance_options().store_watch_pause));
}

// Guards against an instance that follows a change too late because its relay has lost the store: with a
// pause of 0.9 s after a confirmation that was 1.1 s old, it used the former configuration for over 2 s.
TEST(store_watcher, a_relay_that_has_lost_the_store_does_not_hide_a_change)
{
    confirmation_client::hooks hooks;
    instance_record relay;
    relay.instance = "relay";
    // The relay has lost the store at this time and goes on telling what it knew.
    const core::boot_instant lost_at = core::boot_clock::now();
    std::uint64_t relay_revision = 0;
    confirmation_client* asked = nullptr;
    hooks.relay = [&] { return std::optional<instance_record>(relay); };
    hooks.send = [&](const instance_record&, const std::string& text) {
        confirmation_message answer;
        answer.number = std::get<confirmation_request_message>(parse_peer_message(text, "test")).number;
        answer.revision = relay_revision;
        answer.age = core::boot_clock::now() - lost_at;
        boost::asio::post(context, [answer, asked] { asked->handle_answer(answer); });
        return true;
    };
    confirmation_client client(context.get_executor(), "own", hooks);
    asked = &client;
    instance_options platform_options;
    platform_options.instance = "own";
    store_watcher follower(context.get_executor(), test_store, adapter, platform_options,
                           {state,
                            balancer,
                            membership,
                            limits,
                            reserve,
                            *own_registration,
                            {},
                            [] { return store::watch_mode::asking; },
                            [&] { return client.ask(); }});
    test_store->put("operators/configuration", "3");
    // The listing begins so late that the first question meets a confirmation that is just young enough.
    run_until([&] { return core::boot_clock::now() - lost_at >= milliseconds(1100); });
    follower.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    relay_revision = follower.confirmation()->revision;
    test_store->put("operators/configuration", "4");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    // The bound is the time in which a configuration must be in force.
    CHECK(core::boot_clock::now() - lost_at < seconds(2));
    follower.stop();
    context.restart();
    context.run_for(milliseconds(20));
}
