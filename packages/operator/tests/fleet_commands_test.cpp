// Tests of the commands that write nothing: status, wait, report, validate, diff and digest-key.

#include "burn/burn_report.h"
#include "operator/file_commands.h"
#include "operator/fleet_commands.h"
#include "operator/tests/sample.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using admin::exit_code;

namespace
{

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(fleet_commands){};

// Guards against a wait that ends too early, lists the wrong instances or waits for dead ones.
TEST(fleet_commands, wait_counts_live_instances_and_lists_lagging_ones)
{
    admin::fake_environment fleet;
    fleet.store.put(config::to_json(admin::sample_configuration(5, "n")));
    fleet.add_instance("a.1", 5);
    fleet.add_instance("b.1", 4);
    fleet.add_instance("dead.1", 1, false);
    fleet.bodies.erase("dead.1");
    const admin::command_environment environment = fleet.hooks();
    const admin::command_result late = admin::run_wait(environment, std::nullopt, std::chrono::seconds(3));
    CHECK_TRUE(exit_code::timeout == late.code);
    LONGS_EQUAL(1, late.value["lagging"].size());
    STRCMP_EQUAL("b.1", late.value["lagging"][0]["name"].asCString());
    CHECK_TRUE(contains(late.diagnostics, "lags: b.1"));

    int sleeps = 0;
    fleet.on_sleep = [&] {
        if (++sleeps == 4) {
            fleet.set_revision("b.1", 6, "n");
        }
    };
    CHECK_TRUE(exit_code::success ==
               admin::run_wait(environment, std::nullopt, std::chrono::seconds(30)).code);
    LONGS_EQUAL(4, sleeps);
}

// Guards against a wait that succeeds although a live instance gives no valid status, no instance exists, or
// the instances cannot be listed.
TEST(fleet_commands, wait_does_not_succeed_without_answers)
{
    admin::fake_environment fleet;
    const admin::command_environment environment = fleet.hooks();
    CHECK_TRUE(exit_code::timeout == admin::run_wait(environment, 5, std::chrono::seconds(1)).code);
    fleet.add_instance("a.1", 5);
    for (const std::string& malformed : {std::string("{\"revision\": 5}"), std::string(5000, '[')}) {
        fleet.bodies["a.1"] = malformed;
        CHECK_TRUE(exit_code::timeout == admin::run_wait(environment, 5, std::chrono::seconds(1)).code);
    }
    fleet.is_member_list_down = true;
    CHECK_TRUE(exit_code::unreachable == admin::run_wait(environment, 5, std::chrono::seconds(1)).code);
    CHECK_TRUE(exit_code::usage == admin::run_wait(environment, std::nullopt, std::chrono::seconds(1)).code);
}

// Guards against a status that hides two configurations of one revision in force, and against a status that
// shows no instances while the store does not answer.
TEST(fleet_commands, status_reports_conflicts_and_works_without_the_store)
{
    admin::fake_environment fleet;
    fleet.store.put(config::to_json(admin::sample_configuration(5, "n")));
    fleet.add_instance("a.1", 5);
    fleet.add_instance("b.1", 5);
    fleet.set_revision("b.1", 5, "m");
    const admin::command_environment environment = fleet.hooks();
    const admin::command_result split = admin::run_status(environment);
    CHECK_TRUE(exit_code::success == split.code);
    LONGS_EQUAL(5, split.value["conflicting_revision"].asInt());
    CHECK_TRUE(contains(split.diagnostics, "apply again"));
    fleet.store.failing_reads = 1;
    const admin::command_result away = admin::run_status(environment);
    CHECK_TRUE(exit_code::unreachable == away.code);
    LONGS_EQUAL(2, away.value["instances"].size());
}

// Guards against sums that leave out an instance without listing it as missing.
TEST(fleet_commands, report_sums_instances_and_lists_missing_ones)
{
    admin::fake_environment fleet;
    burn::burn_report one;
    one.rows.push_back(
        {"forge", "desk", {0.99, std::chrono::milliseconds(100)}, {90, 10, 0, 0}, {90, 10, 0, 0}, {}});
    const std::string body = Json::writeString(Json::StreamWriterBuilder(), burn::to_json_value(one));
    const admin::command_environment environment = fleet.hooks();
    for (const char* name : {"a.1", "b.1", "c.1"}) {
        fleet.add_instance(name, 1);
        fleet.bodies[name] = body;
    }
    for (const std::string& malformed : {std::string("not JSON"), std::string(5000, '[')}) {
        fleet.bodies["c.1"] = malformed;
        const admin::command_result result = admin::run_report(environment);
        CHECK_TRUE(exit_code::success == result.code);
        LONGS_EQUAL(180, result.value["rows"][0]["window_5m"]["good"].asInt());
        DOUBLES_EQUAL(10, result.value["rows"][0]["window_1h"]["burn_rate"].asDouble(), 1e-9);
        STRCMP_EQUAL("c.1", result.value["missing"][0].asCString());
    }
    fleet.bodies.clear();
    CHECK_TRUE(exit_code::unreachable == admin::run_report(environment).code);
}

// Guards against a digest that includes the line ending and so does not match the key in a header, and
// against errors that show the key.
TEST(fleet_commands, digest_ignores_the_line_ending)
{
    admin::fake_environment fleet;
    const admin::command_environment environment = fleet.hooks();
    fleet.standard_input = "example-key-of-takomo\r\n";
    STRCMP_EQUAL("2b5afcdc852c2870cc5e74a9c6bac72a0a6ff749ae39d4b2c71ad502c413d337\n",
                 admin::run_digest_key(environment).text.c_str());
    for (const char* text :
         {"", "\n", "short-5517", "with space 5517 inside", "two-lines-5517-a\ntwo-lines-b"}) {
        fleet.standard_input = text;
        const admin::command_result result =
            admin::run_catching_errors([&] { return admin::run_digest_key(environment); });
        CHECK_TRUE(exit_code::findings == result.code);
        CHECK_FALSE(contains(result.diagnostics + result.value.toStyledString(), "5517"));
    }
}

// Guards against settings that do not match the registry, and against findings without file, line and column.
TEST(fleet_commands, validate_checks_settings_against_the_registry)
{
    admin::fake_environment fleet;
    const admin::command_environment environment = fleet.hooks();
    fleet.files["d.yaml"] = "instance: a\navailability_zone: west-a\nregion: north\nhost: 127.0.0.1\n"
                            "platform: [\"127.0.0.1:1\"]\nshared_secret_file: secret\n";
    const admin::command_result result =
        admin::run_validate(environment, "registry.yaml", "rules.yaml", {"d.yaml"});
    CHECK_TRUE(exit_code::findings == result.code);
    STRCMP_EQUAL("d.yaml:2:20: error: settings.availability_zone: the registry has no availability zone "
                 "\"west-a\"\n",
                 result.diagnostics.c_str());
    CHECK_FALSE(result.value["valid"].asBool());
    fleet.files["rules.yaml"] = "routes: [{path_prefix: /desk, service: mill}]\n";
    const admin::command_result broken = admin::run_validate(environment, "registry.yaml", "rules.yaml", {});
    LONGS_EQUAL(1, broken.value["findings"][0]["line"].asInt());
    LONGS_EQUAL(40, broken.value["findings"][0]["column"].asInt());
}

// Guards against a difference that is shown from the files to the store.
TEST(fleet_commands, diff_shows_changes_from_the_store_to_the_files)
{
    admin::fake_environment fleet;
    const admin::command_environment environment = fleet.hooks();
    fleet.store.put(config::to_json(admin::sample_configuration(5, "n")));
    CHECK_TRUE(contains(admin::run_diff(environment, "registry.yaml", "rules.yaml").text, "no differences"));
    fleet.files["registry.yaml"] = admin::replaced(admin::sample_registry, "burst: 5", "burst: 7");
    CHECK_TRUE(contains(admin::run_diff(environment, "registry.yaml", "rules.yaml").text,
                        "changed workspace forge: burst 5 -> 7"));
}
