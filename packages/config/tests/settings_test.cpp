// Tests of reading, overriding, checking and printing an instance's settings.

#include "config/settings_table.h"
#include "config/settings_yaml.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace quetzalspan;

namespace
{

const std::string good_settings = "instance: north-1\n"
                                  "availability_zone: north-a\n"
                                  "region: north\n"
                                  "host: 127.0.0.1\n"
                                  "platform: [\"127.0.0.1:2379\", \"[::1]:2379\"]\n"
                                  "shared_secret: 0123456789abcdef\n";

std::string findings_of(const std::string& text)
{
    core::findings found;
    config::source_map positions;
    const config::settings value = config::settings_from_yaml(text, "d.yaml", found, &positions);
    config::check_settings(value, "d.yaml", found, positions);
    return found.to_text();
}

} // namespace

TEST_GROUP(settings){};

// Guards against defaults that contradict each other, and against values in the file that are not read.
TEST(settings, correct_file_has_no_findings)
{
    STRCMP_EQUAL("", findings_of(good_settings).c_str());
    core::findings found;
    const config::settings value = config::settings_from_yaml(good_settings, "d.yaml", found);
    LONGS_EQUAL(2, value.store_addresses.size());
    STRCMP_EQUAL("[::1]:2379", config::to_text(value.store_addresses[1]).c_str());
    LONGS_EQUAL(10000, value.isolation_limit.count());
}

// Guards against example settings that the checks no longer accept.
TEST(settings, examples_have_no_findings)
{
    for (const std::string site : {"tuuliviiri", "westrail"}) {
        std::ifstream file(std::string(QUETZALSPAN_EXAMPLES) + "/" + site + "/quetzald.yaml");
        std::stringstream text;
        text << file.rdbuf();
        core::findings found;
        config::settings value = config::settings_from_yaml(text.str(), site, found);
        config::resolve_shared_secret(
            value, [](const std::string&) { return "0123456789abcdef\n"; }, found);
        config::check_settings(value, site, found);
        STRCMP_EQUAL("", found.to_text().c_str());
        STRCMP_EQUAL("0123456789abcdef", value.shared_secret.c_str());
    }
}

// Guards against a fault in a settings file that is missed or reported at another place.
TEST(settings, faults_are_found)
{
    struct fault_case {
        const char* line;
        const char* expected;
    };
    const std::vector<fault_case> cases{
        {"speed: 3", "d.yaml:7:1: error: settings: unknown member \"speed\""},
        {"region: south", "d.yaml:7:1: error: settings.region: is given more than once"},
        {"threads: 0", "d.yaml:7:10: error: settings.threads: must be from 1 to 256"},
        {"threads: many", "settings.threads: must be a whole number"},
        {"threads: [1, 2]", "settings.threads: must be a single value"},
        {"caller_port: 70000", "settings.caller_port: must be from 0 to 65535"},
        {"caller_port: 8081", "must differ"},
        {"idle_timeout_ms: 5s", "settings.idle_timeout_ms: must be a whole number of milliseconds"},
        {"retry_budget_fraction: 1.5", "must be from 0 to 1"},
        {"fellows: 127.0.0.1:1", "settings.fellows: must be a list"},
        {"fellows: [localhost:1]", "must be a list of numeric addresses"},
        {"idempotency: sometimes", "must be claim, require or pass"},
        {"log_level: loud", "must be debug, info, warn or error"},
        {"key_header: \"Quetzal Key\"", "must be the name of an HTTP header"},
        {"isolation_limit_ms: 2000", "authority_lifetime_ms: must not be more than isolation_limit_ms"},
        {"heartbeat_interval_ms: 3000", "must be less than authority_lifetime_ms"},
        {"lease_time_ms: 2000", "must be less than lease_time_ms"},
        {"authority_lifetime_ms: 10001",
         "d.yaml:7:24: error: settings.authority_lifetime_ms: must not be more"},
        {"autonomy_limit_ms: 9000", "must be less than autonomy_limit_ms"},
    };
    for (const fault_case& entry : cases) {
        const std::string text = findings_of(good_settings + entry.line + "\n");
        CHECK_TRUE_TEXT(text.find(entry.expected) != std::string::npos,
                        (std::string("expected: ") + entry.expected + "\nfound: " + text).c_str());
    }
    const std::string empty_file_findings = findings_of("{}");
    for (const char* name :
         {"instance", "availability_zone", "region", "host", "platform", "shared_secret"}) {
        CHECK_TRUE(empty_file_findings.find("settings." + std::string(name) + ": is missing") !=
                   std::string::npos);
    }
}

// Guards against an override that is parsed differently from the file, and against printing the shared
// secret.
TEST(settings, overrides_and_printing_cover_every_setting)
{
    core::findings found;
    const config::settings origin = config::settings_from_yaml(good_settings, "d.yaml", found);
    config::settings copy;
    for (const config::setting_entry& entry : config::setting_entries()) {
        config::apply_override(copy, entry.name, config::value_text(origin, entry), found);
    }
    STRCMP_EQUAL("", found.to_text().c_str());
    const std::string text = config::to_text(copy);
    STRCMP_EQUAL(config::to_text(origin).c_str(), text.c_str());
    CHECK_TRUE(text.find("0123456789abcdef") == std::string::npos);
    CHECK_TRUE(text.find("shared_secret: (hidden)") != std::string::npos);

    config::apply_override(copy, "threads", "x", found);
    config::apply_override(copy, "speed", "1", found);
    LONGS_EQUAL(2, found.entries().size());
    LONGS_EQUAL(4, copy.threads);
}

// Guards against an instance whose availability zone the registry lacks or has in another region.
TEST(settings, availability_zone_and_region_must_match_the_registry)
{
    config::registry inventory;
    inventory.availability_zones = {{"north-a", "south"}};
    config::settings value;
    value.availability_zone = "north-a";
    value.region = "north";
    core::findings found;
    config::check_settings_against(value, inventory, "d.yaml", found);
    value.availability_zone = "north-b";
    config::check_settings_against(value, inventory, "d.yaml", found);
    LONGS_EQUAL(2, found.entries().size());
}
