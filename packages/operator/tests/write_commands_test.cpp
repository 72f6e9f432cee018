// Tests of the commands that write, with races, lost responses and an unreachable store.

#include "operator/tests/sample.h"
#include "operator/write_commands.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using admin::exit_code;
using admin::write_fault;

namespace
{

struct fixture : admin::fake_environment {
    admin::command_result apply(admin::apply_options options = {})
    {
        const admin::command_environment environment = hooks();
        return admin::run_catching_errors(
            [&] { return admin::run_apply(environment, "registry.yaml", "rules.yaml", options); });
    }

    admin::command_result revoke(const std::string& digest)
    {
        const admin::command_environment environment = hooks();
        return admin::run_catching_errors([&] { return admin::run_revoke_key(environment, digest); });
    }

    admin::command_result drain(admin::drain_kind kind, const std::string& name, bool ends_drain)
    {
        const admin::command_environment environment = hooks();
        return admin::run_catching_errors(
            [&] { return admin::run_drain(environment, kind, name, ends_drain); });
    }

    // Writes a change of the configuration in the store, as another operator.
    void write_as_other(const std::string& nonce, std::uint32_t burst)
    {
        config::configuration value = stored();
        value.history.insert(value.history.begin(), {value.revision, value.author, value.nonce});
        value.revision += 1;
        value.author = "other";
        value.nonce = nonce;
        value.inventory.workspaces[0].burst = burst;
        store.put(config::to_json(value));
    }

    void change_files()
    {
        files["registry.yaml"] = admin::replaced(admin::sample_registry, "burst: 5", "burst: 7");
    }
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(write_commands){};

// Guards against a write that instances ignore because they have a higher revision in force.
TEST(write_commands, revisions_exceed_store_and_instances)
{
    fixture fleet;
    LONGS_EQUAL(0, static_cast<int>(fleet.apply().code));
    LONGS_EQUAL(1, fleet.stored().revision);
    fleet.add_instance("a.1", 9);
    fleet.add_instance("b.1", 4);
    // The content is the same, but the instances have a higher revision than the store.
    STRCMP_EQUAL("applied", fleet.apply().value["status"].asCString());
    LONGS_EQUAL(10, fleet.stored().revision);
    STRCMP_EQUAL("me", fleet.stored().author.c_str());
    STRCMP_EQUAL("mine-1", fleet.stored().history.at(0).nonce.c_str());
    fleet.is_member_list_down = true;
    CHECK_TRUE(exit_code::unreachable == fleet.apply().code);
    fleet.is_member_list_down = false;
    const int writes = fleet.store.writes;
    STRCMP_EQUAL("unchanged", fleet.apply().value["status"].asCString());
    LONGS_EQUAL(writes, fleet.store.writes);
}

// Guards against an exit code that reports failure although the write took effect, or success although it did
// not.
TEST(write_commands, exit_code_matches_the_stored_configuration)
{
    struct fault_case {
        const char* name;
        std::deque<write_fault> faults;
        int failing_reads_after_write;
        exit_code expected;
        bool is_in_force;
    };
    const std::vector<fault_case> cases{
        {"no fault", {}, 0, exit_code::success, true},
        {"response lost", {write_fault::response_lost}, 0, exit_code::success, true},
        {"response lost, store away for a while", {write_fault::response_lost}, 3, exit_code::success, true},
        {"request lost once", {write_fault::request_lost}, 0, exit_code::success, true},
        {"request lost, then response lost",
         {write_fault::request_lost, write_fault::response_lost},
         0,
         exit_code::success,
         true},
        {"refused", {write_fault::refused}, 0, exit_code::unreachable, false},
        {"request lost, then refused",
         {write_fault::request_lost, write_fault::refused},
         0,
         exit_code::success,
         true},
        {"response lost, store away for good",
         {write_fault::response_lost},
         1000,
         exit_code::unreachable,
         true},
    };
    for (const fault_case& entry : cases) {
        fixture fleet;
        fleet.store.put(config::to_json(admin::sample_configuration(3, "base")));
        fleet.change_files();
        fleet.store.write_faults = entry.faults;
        fleet.store.before_write = [&] { fleet.store.failing_reads = entry.failing_reads_after_write; };
        const admin::command_result result = fleet.apply();
        CHECK_TRUE_TEXT(entry.expected == result.code, (entry.name + (": " + result.diagnostics)).c_str());
        CHECK_TRUE_TEXT(entry.is_in_force == (fleet.stored().nonce == "mine-1"), entry.name);
        LONGS_EQUAL(entry.is_in_force ? 7 : 5, fleet.stored().inventory.workspaces[0].burst);
    }
}

// Guards against a lost race that does not report the other author and the changes, and against one that
// overwrites the other write.
TEST(write_commands, a_lost_race_reports_the_other_author_and_the_changes)
{
    fixture fleet;
    fleet.store.put(config::to_json(admin::sample_configuration(3, "base")));
    fleet.change_files();
    fleet.store.before_write = [&] { fleet.write_as_other("theirs", 9); };
    const admin::command_result result = fleet.apply();
    CHECK_TRUE(exit_code::race_lost == result.code);
    STRCMP_EQUAL("race lost: other wrote revision 4 first; nothing of yours was written\n"
                 "changed by them:\n"
                 "changed workspace forge: burst 5 -> 9\n"
                 "changed by you:\n"
                 "changed workspace forge: burst 5 -> 7\n"
                 "changed by both in different ways:\n"
                 "changed workspace forge: burst 5 -> 7\n"
                 "Merge their changes into your files and apply again\n",
                 result.diagnostics.c_str());
    LONGS_EQUAL(1, result.value["conflicts"].size());
    STRCMP_EQUAL("theirs", fleet.stored().nonce.c_str());
}

// Guards against an apply that overwrites changes made since its base revision.
TEST(write_commands, another_base_revision_is_a_lost_race)
{
    fixture fleet;
    fleet.store.put(config::to_json(admin::sample_configuration(3, "base")));
    fleet.change_files();
    CHECK_TRUE(exit_code::race_lost == fleet.apply({2, false}).code);
    LONGS_EQUAL(0, fleet.store.writes);
    CHECK_TRUE(exit_code::success == fleet.apply({3, false}).code);
}

// Guards against a wrong result when the response is lost and others write before the store is read again.
TEST(write_commands, a_lost_response_followed_by_other_writes_is_resolved_from_the_history)
{
    struct history_case {
        write_fault fault;
        int later_writes;
        exit_code expected;
    };
    const std::vector<history_case> cases{
        {write_fault::response_lost, 1, exit_code::success},
        {write_fault::response_lost, 5, exit_code::success},
        // The write under test was lost, so the other writes follow the base.
        {write_fault::request_lost, 1, exit_code::race_lost},
        {write_fault::request_lost, 5, exit_code::race_lost},
        // The history no longer reaches back to the write under test, so the outcome is unknown.
        {write_fault::response_lost, 40, exit_code::unreachable},
        {write_fault::request_lost, 40, exit_code::unreachable},
    };
    for (const history_case& entry : cases) {
        fixture fleet;
        fleet.store.put(config::to_json(admin::sample_configuration(3, "base")));
        fleet.change_files();
        fleet.store.write_faults = {entry.fault};
        fleet.store.before_write = [&] {
            fleet.store.before_read = [&] {
                for (int index = 0; index < entry.later_writes; ++index) {
                    fleet.write_as_other("theirs-" + std::to_string(index), 20);
                    config::configuration cut = fleet.stored();
                    cut.history.resize(std::min<std::size_t>(cut.history.size(), 16));
                    fleet.store.current->text = config::to_json(cut);
                }
            };
        };
        const admin::command_result result = fleet.apply();
        CHECK_TRUE_TEXT(entry.expected == result.code, result.diagnostics.c_str());
        LONGS_EQUAL(20, fleet.stored().inventory.workspaces[0].burst);
    }
}

// Guards against a revocation that gives up after lost races or undoes the edits that came first.
TEST(write_commands, a_revocation_is_retried_after_races_and_keeps_the_other_edits)
{
    fixture fleet;
    fleet.store.put(config::to_json(admin::sample_configuration(3, "base")));
    int races = 0;
    std::function<void()> race = [&] {
        if (++races <= 25) {
            fleet.write_as_other("theirs-" + std::to_string(races), 100 + static_cast<std::uint32_t>(races));
            fleet.store.before_write = race;
        }
    };
    fleet.store.before_write = race;
    const admin::command_result result = fleet.revoke(admin::key_digest.substr(0, 12));
    CHECK_TRUE_TEXT(exit_code::success == result.code, result.diagnostics.c_str());
    CHECK_TRUE(fleet.stored().inventory.keys[0].is_revoked);
    LONGS_EQUAL(125, fleet.stored().inventory.workspaces[0].burst);
    LONGS_EQUAL(26, result.value["writes"].asInt());
    STRCMP_EQUAL("unchanged", fleet.revoke(admin::key_digest).value["status"].asCString());
}

// Guards against an older copy of the registry file that lets a revoked key work again.
TEST(write_commands, apply_does_not_reinstate_a_revoked_key_by_default)
{
    fixture fleet;
    fleet.apply();
    fleet.revoke(admin::key_digest);
    const admin::command_result refused = fleet.apply();
    CHECK_TRUE(exit_code::findings == refused.code);
    CHECK_TRUE(contains(refused.diagnostics, "--reinstate_keys"));
    CHECK_TRUE(fleet.stored().inventory.keys[0].is_revoked);
    CHECK_TRUE(exit_code::success == fleet.apply({std::nullopt, true}).code);
    CHECK_FALSE(fleet.stored().inventory.keys[0].is_revoked);
}

// Guards against an error message that shows a key given in place of its digest.
TEST(write_commands, revocation_errors_do_not_repeat_the_key)
{
    fixture fleet;
    fleet.apply();
    for (const char* text : {"qz-live-5517-secret", "aaaa", "bbbbbbbbbbbbbbbb"}) {
        const admin::command_result result = fleet.revoke(text);
        CHECK_TRUE(exit_code::findings == result.code);
        CHECK_FALSE(contains(result.diagnostics, "5517"));
    }
    fleet.standard_input = "some-key-nobody-has\n";
    CHECK_TRUE(exit_code::findings == fleet.revoke("").code);
}

// Guards against a drain that changes another region or endpoint or cannot be undone.
TEST(write_commands, drains_change_only_the_named_target_and_can_be_undone)
{
    fixture fleet;
    fleet.apply();
    CHECK_TRUE(exit_code::success == fleet.drain(admin::drain_kind::endpoint, "desk/d2", false).code);
    CHECK_TRUE(fleet.stored().inventory.services[0].endpoints[1].is_draining);
    CHECK_FALSE(fleet.stored().inventory.services[0].endpoints[0].is_draining);
    CHECK_TRUE(exit_code::success == fleet.drain(admin::drain_kind::endpoint, "desk/d2", true).code);
    CHECK_FALSE(fleet.stored().inventory.services[0].endpoints[1].is_draining);
    CHECK_TRUE(exit_code::success == fleet.drain(admin::drain_kind::region, "south", false).code);
    STRCMP_EQUAL("south", fleet.stored().policy.drained_regions.at(0).c_str());
    // Draining the last region would leave no endpoint in service.
    CHECK_TRUE(exit_code::findings == fleet.drain(admin::drain_kind::region, "north", false).code);
    CHECK_TRUE(exit_code::success == fleet.drain(admin::drain_kind::region, "south", true).code);
    CHECK_TRUE(fleet.stored().policy.drained_regions.empty());
    for (const char* name : {"west", "desk/d9", "d1"}) {
        CHECK_TRUE(exit_code::findings == fleet.drain(admin::drain_kind::region, name, false).code);
        CHECK_TRUE(exit_code::findings == fleet.drain(admin::drain_kind::endpoint, name, false).code);
    }
}

// Guards against a planned traffic shift that keeps operators from draining a region in an emergency.
TEST(write_commands, a_region_is_drained_although_a_shift_to_it_is_planned)
{
    fixture fleet;
    fleet.files["rules.yaml"] =
        admin::sample_rules +
        "shift_caps: [{from_region: north, to_region: south, rate_per_second: 5, burst: 2}]\n"
        "planned_shifts:\n"
        "  - {service: desk, from_region: north, to_region: south, begin_fraction: 0, end_fraction: 1,\n"
        "     begin: 2027-01-01T00:00:00Z, end: 2027-01-01T01:00:00Z}\n";
    fleet.apply();
    const admin::command_result result = fleet.drain(admin::drain_kind::region, "south", false);
    CHECK_TRUE(exit_code::success == result.code);
    CHECK_TRUE(contains(result.diagnostics, "warning: rules.planned_shifts[0].to_region"));
}

// Guards against an invalid configuration in the store that can neither be read nor replaced.
TEST(write_commands, a_damaged_configuration_is_replaced_with_a_higher_revision)
{
    fixture fleet;
    fleet.store.put("{\"revision\": 12, \"registry\": 3}");
    CHECK_TRUE(exit_code::success == fleet.apply().code);
    LONGS_EQUAL(13, fleet.stored().revision);
    fleet.store.put(std::string(5000, '['));
    CHECK_TRUE(exit_code::success == fleet.apply().code);
}
