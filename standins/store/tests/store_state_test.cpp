// Tests of the state of the store stand-in. The time is a variable of the test.

#include "standins/store/store_state.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace standin_store;

TEST_GROUP(store_state)
{
    core::instant now{std::chrono::seconds(100)};
    store_state state;

    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t expected = 0,
                      std::uint64_t lease = 0)
    {
        return state.put(key, value, expected, lease, now).revision;
    }
};

// Guards against lost updates: of two writers that read the same revision, only the first may succeed.
TEST(store_state, only_one_of_two_racing_writers_wins)
{
    const std::uint64_t read = put("k", "first");
    CHECK_TRUE(state.put("k", "a", read, 0, now).status == write_status::applied);
    const write_result loser = state.put("k", "b", read, 0, now);
    CHECK_TRUE(loser.status == write_status::conflict);
    STRCMP_EQUAL("a", loser.current->value.c_str());
    CHECK_TRUE(state.put("k", "c", 0, 0, now).status == write_status::conflict);
    CHECK_TRUE(state.erase("k", read, now).status == write_status::conflict);
}

// Guards against a creation revision that changes with each write: whether one instance may fence another
// depends on the creation revision of its member record.
TEST(store_state, creation_revision_stays_until_deletion)
{
    const std::uint64_t created = put("k", "1");
    const std::uint64_t changed = put("k", "2", created);
    UNSIGNED_LONGS_EQUAL(created, state.find_entry("k")->created_revision);
    UNSIGNED_LONGS_EQUAL(changed, state.find_entry("k")->revision);
    state.erase("k", changed, now);
    const std::uint64_t again = put("k", "3");
    UNSIGNED_LONGS_EQUAL(again, state.find_entry("k")->created_revision);
}

// Guards against keys that outlive their lease, and against an expired lease that becomes valid again.
TEST(store_state, keys_are_deleted_with_their_lease)
{
    const std::uint64_t lease = state.create_lease(std::chrono::seconds(6), now);
    put("alive/a", "x", 0, lease);
    now += std::chrono::seconds(5);
    CHECK_TRUE(state.keep_alive(lease, now));
    now += std::chrono::seconds(5);
    CHECK_FALSE(state.expire_leases(now));
    now += std::chrono::seconds(1);
    CHECK_TRUE(state.expire_leases(now));
    CHECK_FALSE(state.find_entry("alive/a").has_value());
    CHECK_FALSE(state.keep_alive(lease, now));
    CHECK_TRUE(state.put("alive/a", "x", 0, lease, now).status == write_status::unknown_lease);
}

// Guards against a watch that skips discarded changes without telling the client.
TEST(store_state, discarded_history_is_reported)
{
    state = store_state({2, std::chrono::seconds(0)});
    for (int index = 0; index < 4; ++index) {
        put("k" + std::to_string(index), "v");
    }
    CHECK_TRUE(state.changes_after("k", 1).is_discarded);
    CHECK_FALSE(state.changes_after("k", 2).is_discarded);
    UNSIGNED_LONGS_EQUAL(2, state.changes_after("k", 2).changes.size());
}

// Guards against a restore of a snapshot that watches do not notice, although the revision goes back.
TEST(store_state, restore_goes_back_to_the_revision_of_the_snapshot)
{
    const std::uint64_t first = put("k", "1");
    state.take_snapshot("s");
    const std::uint64_t second = put("k", "2", first);
    CHECK_TRUE(state.restore_snapshot("s", now));
    UNSIGNED_LONGS_EQUAL(first, state.revision());
    STRCMP_EQUAL("1", state.find_entry("k")->value.c_str());
    CHECK_TRUE(state.changes_after("k", second).is_discarded);
    CHECK_FALSE(state.restore_snapshot("missing", now));
}

// Guards against a list of instances that is up to date at once, which would hide faults of readers that rely
// on that.
TEST(store_state, list_of_instances_lags)
{
    const std::uint64_t revision = put("members/a.1", R"({"state":"serving"})");
    put("members/b.1", "no record");
    CHECK_TRUE(state.instances(now).empty());
    now += std::chrono::seconds(2);
    UNSIGNED_LONGS_EQUAL(1, state.instances(now).size());
    put("members/a.1", R"({"state":"leaving"})", revision);
    STRCMP_EQUAL("serving", state.instances(now)[0].state.c_str());
    now += std::chrono::seconds(2);
    STRCMP_EQUAL("leaving", state.instances(now)[0].state.c_str());
}
