// Tests of how the entries of the store reach the request path.

#include "edge/control_feeds.h"
#include "scripted_store.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

deployment make_site()
{
    deployment result;
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
        placement::endpoint_record read;
        read.id = entry.key.substr(std::string("endpoints/").size());
        read.service = "mill";
        return std::optional<placement::endpoint_record>(read);
    };
    result.endpoint_id = [](const std::string& key) { return key.substr(std::string("endpoints/").size()); };
    return result;
}

instance_options make_options()
{
    instance_options result;
    result.instance = "own";
    result.store_pause = milliseconds(1);
    result.store_retry = milliseconds(1);
    return result;
}

std::string make_peer(const std::string& name)
{
    instance_record record;
    record.instance = name;
    record.callers = {"127.0.0.1", 8000};
    record.peers = {"127.0.0.1", 8001};
    return to_text(record);
}

} // namespace

TEST_GROUP(control_feeds)
{
    boost::asio::io_context context;
    std::shared_ptr<scripted_store> entries = std::make_shared<scripted_store>();
    burn::metrics_registry metrics;
    traffic_state state;
    roster instances{{"own", seconds(3), seconds(2)}};
    quota::fleet_quota limits{quota::quota_options{}};
    quota::shared_reserve reserve{quota::quota_options{}};
    upstreams endpoints{upstream_options{}, [] { return placement::fleet_position{}; }, metrics};
    std::shared_ptr<registration> own =
        registration::create(context.get_executor(), entries, instance_record{}, {});
    const deployment site = make_site();
    const instance_options options = make_options();
    int configured = 0;
    control_feeds feeds{context.get_executor(),
                        entries,
                        site,
                        options,
                        {state, endpoints, instances, limits, reserve, *own, [this] { ++configured; }}};

    // Runs the feeds until the condition holds; the bound only ends a test that hangs.
    bool run_until(const std::function<bool()>& is_reached)
    {
        const core::instant end = std::chrono::steady_clock::now() + seconds(10);
        while (!is_reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(milliseconds(5));
        }
        return is_reached();
    }

    void teardown() override
    {
        feeds.stop();
        context.restart();
        context.run_for(milliseconds(20));
    }
};

// Guards against a kind of entry that the common watch leaves out, at the start and later.
TEST(control_feeds, one_watch_brings_every_kind_of_entry)
{
    entries->put("operators/configuration", "3");
    entries->put("endpoints/e1", "");
    entries->put(std::string(instance_prefix) + "peer", make_peer("peer"));
    entries->put("another/kind", "no entry of ours");
    feeds.start();
    CHECK_TRUE(run_until([this] { return feeds.is_listed() && state.table() != nullptr; }));
    CHECK_EQUAL(1, configured);
    CHECK_EQUAL(1U, endpoints.size());
    CHECK_EQUAL(2U, instances.size());

    entries->put("operators/configuration", "4");
    entries->put("endpoints/e2", "");
    entries->remove(std::string(instance_prefix) + "peer");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 4; }));
    CHECK_TRUE(run_until([this] { return endpoints.size() == 2 && instances.size() == 1; }));
}

// Guards against a key that stays refused for the length of a whole watch after the store's return: the
// configuration is confirmed by the first answer.
TEST(control_feeds, the_first_watch_after_a_failure_does_not_wait)
{
    entries->put("operators/configuration", "3");
    feeds.start();
    CHECK_TRUE(run_until([this] { return !entries->waits().empty(); }));
    CHECK(entries->waits().back() == options.store_watch);
    entries->fail_calls(1);
    const std::size_t before = entries->waits().size();
    CHECK_TRUE(run_until([&] { return entries->waits().size() >= before + 3; }));
    const std::vector<core::duration> waits(entries->waits().begin() + static_cast<std::ptrdiff_t>(before),
                                            entries->waits().end());
    CHECK(waits[0] == options.store_watch);
    CHECK(waits[1] < milliseconds(50));
    CHECK(waits[2] == options.store_watch);
}

// Guards against an instance that stays behind after an outage because the changes since then are too many
// for one watch. Seen as an old configuration in force on the users' bench, six seconds after a path to the
// store healed.
TEST(control_feeds, entries_are_listed_when_watches_keep_failing)
{
    entries->put("operators/configuration", "3");
    feeds.start();
    CHECK_TRUE(run_until([this] { return state.table() != nullptr; }));
    entries->fail_watches();
    entries->put("operators/configuration", "9");
    CHECK_TRUE(run_until([this] { return state.table()->version() == 9; }));
}
