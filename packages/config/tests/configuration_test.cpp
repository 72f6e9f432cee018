// Tests of reading the registry and rules files, of their JSON form and of differences between
// configurations.

#include "config/configuration_json.h"
#include "config/difference.h"
#include "config/validate.h"

#include <fstream>
#include <random>
#include <sstream>

// CppUTest redefines new, so its header comes after those of the libraries.
#include <CppUTest/TestHarness.h>

using namespace quetzalspan;

namespace
{

const std::string good_digest(64, 'a');

const std::string good_registry = "regions: [north, south]\n"
                                  "availability_zones:\n"
                                  "  - {name: north-a, region: north}\n"
                                  "  - {name: south-a, region: south}\n"
                                  "services:\n"
                                  "  - name: desk\n"
                                  "    endpoints:\n"
                                  "      - {id: d1, availability_zone: north-a, host: 10.0.0.1, port: 80}\n"
                                  "      - {id: d2, availability_zone: south-a, host: 10.0.0.2, port: 80}\n"
                                  "workspaces:\n"
                                  "  - {name: forge, rate_per_second: 10, burst: 5}\n"
                                  "keys:\n"
                                  "  - {digest: " +
                                  good_digest +
                                  ", workspace: forge}\n"
                                  "sites:\n"
                                  "  - {name: town, regions: [north]}\n"
                                  "client_blocks:\n"
                                  "  - {prefix: 10.1.0.0/16, site: town}\n";

const std::string good_rules =
    "routes:\n"
    "  - {path_prefix: /desk, service: desk}\n"
    "shift_caps:\n"
    "  - {from_region: north, to_region: south, rate_per_second: 5, burst: 2}\n"
    "link_caps:\n"
    "  - {from_region: north, to_region: south, bytes_per_second: 1000, burst_bytes: 100}\n"
    "planned_shifts:\n"
    "  - {service: desk, from_region: north, to_region: south, begin_fraction: 0, end_fraction: 0.5,\n"
    "     begin: 2027-01-01T00:00:00Z, end: 2027-01-01T01:00:00Z}\n"
    "drained_regions: []\n"
    "objectives:\n"
    "  - {service: desk, target: 0.99, latency_ms: 100}\n";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    CHECK_TRUE_TEXT(at != std::string::npos, ("the base text lacks: " + from).c_str());
    return text.replace(at, from.size(), to);
}

core::findings findings_of(const std::string& registry_text, const std::string& rules_text)
{
    core::findings found;
    config::configuration_from_yaml({"registry.yaml", registry_text}, {"rules.yaml", rules_text}, found);
    return found;
}

// An edit of a valid file, and the text that the finding about it must contain.
struct fault_case {
    const char* from;
    const char* to;
    const char* expected;
};

// Applies each edit alone and expects the findings to contain the expected text.
void expect_findings(const std::vector<fault_case>& cases, bool is_registry)
{
    for (const fault_case& entry : cases) {
        const std::string registry_text =
            is_registry ? replaced(good_registry, entry.from, entry.to) : good_registry;
        const std::string rules_text = is_registry ? good_rules : replaced(good_rules, entry.from, entry.to);
        const std::string text = findings_of(registry_text, rules_text).to_text();
        CHECK_TRUE_TEXT(text.find(entry.expected) != std::string::npos,
                        (std::string("expected: ") + entry.expected + "\nfound: " + text).c_str());
    }
}

std::string file_text(const std::string& name)
{
    std::ifstream file(std::string(QUETZALSPAN_EXAMPLES) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(configuration){};

// Guards against checks that reject a correct configuration.
TEST(configuration, correct_files_have_no_findings)
{
    STRCMP_EQUAL("", findings_of(good_registry, good_rules).to_text().c_str());
}

// Guards against example configurations that the checks no longer accept.
TEST(configuration, examples_have_no_findings)
{
    for (const std::string site : {"tuuliviiri", "westrail"}) {
        const std::string registry_text = file_text(site + "/registry.yaml");
        CHECK_FALSE(registry_text.empty());
        STRCMP_EQUAL("", findings_of(registry_text, file_text(site + "/rules.yaml")).to_text().c_str());
    }
}

// Guards against a registry fault that is missed or reported at another place.
TEST(configuration, registry_faults_are_found_at_their_place)
{
    expect_findings(
        {
            {"regions: [north, south]", "regions: [north, south, south]",
             ":1:25: error: registry.regions[2]: reg"},
            {"regions: [north, south]", "regions: [north, South]", "registry.yaml:1:18: error"},
            {"regions: [north, south]", "regions: north",
             "registry.yaml:1:10: error: registry.regions: must be a"},
            {"region: north}", "region: west}",
             "registry.yaml:3:29: error: registry.availability_zones[0].region"},
            {"{name: south-a,", "{name: north-a,", "registry.yaml:4:12: error"},
            {"{name: south-a,", "{name: south-a, color: red,", "registry.yaml:4:21: error: registry.avail"},
            {"{name: south-a,", "{name: south-a, name: south-b,", "registry.yaml:4:21: error"},
            {"zone: south-a, host", "zone: west-a, host", "there is no availability zone \"west-a\""},
            {"id: d2", "id: d1",
             "endpoint \"d1\" is given twice (first at registry.services[0].endpoints[0].id)"},
            {"host: 10.0.0.2", "host: 10.0.0.1", "another endpoint has the same host and port"},
            {"host: 10.0.0.2", "host: desk.example", "endpoints[1].host: must be a numeric address"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 65536", "must be a whole number from 0 to 65535"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 0", "endpoints[1].port: must be from 1"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 80, slots: 0", "endpoints[1].slots: must be from 1"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 80, connections: 2", "must not be less than slots"},
            {"10.0.0.2, port: 80", "10.0.0.2",
             "registry.yaml:9:9: error: registry.services[0].endpoints[1].port: is"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: \"80\"", "endpoints[1].port: must be a whole number"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 080", "endpoints[1].port: must be a whole number"},
            {"10.0.0.2, port: 80", "10.0.0.2, port: 80, draining: yes", "must be true or false"},
            {"rate_per_second: 10", "rate_per_second: -1", "registry.yaml:11:36: error"},
            {"rate_per_second: 10", "rate_per_second: .nan", "rate_per_second: must be a number"},
            {"burst: 5", "burst: 0",
             "registry.yaml:11:47: error: registry.workspaces[0].burst: must be from 1"},
            {"workspace: forge", "workspace: mill", "there is no workspace \"mill\""},
            {"workspace: forge", "workspace: forge, revoked: true", "has no key in force"},
            {"regions: [north]}", "regions: [north, north]}",
             "sites[0].regions[1]: region \"north\" is given twice"},
            {"regions: [north]}", "regions: []}", "must name at least one region"},
            {"10.1.0.0/16", "10.1.2.0/16", "write 10.1.0.0/16"},
            {"10.1.0.0/16", "10.1.0.0/33", "must be an address prefix"},
            {"10.1.0.0/16", "10.1.0.0", "must be an address prefix"},
            {"site: town}", "site: city}", "there is no site \"city\""},
            {"regions: [north, south]", "regions: [north, south", "registry.yaml:"},
            {"regions: [north, south]", "--- {}\n--- {}", "must hold exactly one YAML document"},
        },
        true);
}

// Guards against accepting a service without endpoints, which could serve no request.
TEST(configuration, a_service_without_endpoints_is_found)
{
    const std::string text =
        findings_of(replaced(good_registry, "workspaces:", "  - {name: empty, endpoints: []}\nworkspaces:"),
                    good_rules)
            .to_text();
    STRCMP_EQUAL("registry.yaml:10:30: error: registry.services[1].endpoints: service \"empty\" has no "
                 "endpoint\n",
                 text.c_str());
}

// Guards against a rules fault that is missed or reported at another place.
TEST(configuration, rules_faults_are_found_at_their_place)
{
    expect_findings(
        {
            {"path_prefix: /desk", "path_prefix: desk",
             "rules.yaml:2:19: error: rules.routes[0].path_prefix: must b"},
            {"path_prefix: /desk", "path_prefix: /a//b", "may not have empty"},
            {"path_prefix: /desk", "path_prefix: /a/../b", "may not have empty"},
            {"path_prefix: /desk", "path_prefix: /a%2fb", "may not have spaces"},
            {"path_prefix: /desk, service: desk}", "path_prefix: /desk, service: mill}",
             "no service \"mill\""},
            {"service: desk}\n", "service: desk}\n  - {path_prefix: /desk/, service: desk, public: true}\n",
             "differs from another route at most in a final \"/\" (first at rules.routes[0].path_prefix)"},
            {"service: desk}\n", "service: desk}\n  - {path_prefix: /desk/x, service: desk}\n",
             "rules.yaml:3:5: warning: rules.routes[1]: has no effect"},
            {"service: desk}\n", "service: desk}\n  - {path_prefix: /desktop, service: desk, public: true}\n",
             "within a segment"},
            {"rate_per_second: 5, burst: 2", "rate_per_second: 5, burst: 0", "admits nothing"},
            {"rate_per_second: 5, burst: 2", "rate_per_second: 0, burst: 2", "never refills"},
            {"rate_per_second: 5, burst: 2", "rate_per_second: 0, burst: 0", "a shift needs one"},
            {"to_region: south, rate", "to_region: north, rate", "must differ from from_region"},
            {"to_region: south, bytes", "to_region: west, bytes", "there is no region \"west\""},
            {"bytes_per_second: 1000", "bytes_per_second: 0", "bytes_per_second: must be from 1"},
            {"end_fraction: 0.5", "end_fraction: 1.5", "must be from 0 to 1"},
            {"end: 2027-01-01T01", "end: 2026-01-01T01", "must be after begin"},
            {"begin: 2027-01-01T00:00:00Z", "begin: tomorrow", "must be a time such as"},
            {"drained_regions: []", "drained_regions: [south]",
             "warning: rules.planned_shifts[0].to_region: region \"south\" is drained"},
            {"drained_regions: []", "drained_regions: [north, south]", "leaves no region to serve"},
            {"drained_regions: []", "drained_regions: [west]", "there is no region \"west\""},
            {"target: 0.99", "target: 1", "must be above 0 and below 1"},
            {"target: 0.99", "target: 99%", "target: must be a number"},
            {"latency_ms: 100", "latency_ms: 0", "latency_ms: must be from 1"},
            {"latency_ms: 100}\n", "latency_ms: 100}\nextra: 1\n", "rules: unknown member \"extra\""},
        },
        false);
}

// Guards against a reader that stops at the first finding, and against findings that are not in the order of
// files and lines.
TEST(configuration, findings_of_both_files_are_reported_together_in_order)
{
    const core::findings found =
        findings_of(replaced(replaced(good_registry, "burst: 5", "burst: x"), "site: town}", "site: city}"),
                    replaced(good_rules, "target: 0.99", "target: 2"));
    LONGS_EQUAL(3, found.entries().size());
    LONGS_EQUAL(11, found.entries()[0].where.line);
    LONGS_EQUAL(17, found.entries()[1].where.line);
    STRCMP_EQUAL("rules.yaml", found.entries()[2].where.source.c_str());
}

// Guards against a finding that contains a plaintext key, whichever part of a key entry the key was written
// to.
TEST(configuration, plaintext_keys_are_rejected_without_printing_them)
{
    const std::string secret = "qz-live-5517-secret";
    const std::string entry = "{digest: " + good_digest + ", workspace: forge}";
    for (const std::string& text : std::vector<std::string>{
             "{key: " + secret + ", workspace: forge}", "{digest: " + secret + ", workspace: forge}",
             "{" + secret + ": forge}", secret, "{digest: [" + secret + "], workspace: forge}",
             "{digest: *" + secret + ", workspace: forge}"}) {
        const core::findings found = findings_of(replaced(good_registry, entry, text), good_rules);
        CHECK_TRUE(found.has_errors());
        CHECK_TRUE_TEXT(found.to_text().find("5517") == std::string::npos, found.to_text().c_str());
    }
    const std::string refused =
        findings_of(replaced(good_registry, entry, "{key: k, workspace: forge}"), good_rules).to_text();
    CHECK_TRUE(refused.find("quetzalctl digest-key") != std::string::npos);
}

// Guards against random edits of the files that crash the reader, and against a configuration that is
// accepted from files but changed or rejected after it was stored as JSON.
TEST(configuration, damaged_files_are_rejected_or_survive_a_json_round_trip)
{
    std::mt19937 random(20270302);
    const std::string symbols = "{}[]:,-#&*!|>'\"%@` \n\t0aZ\x01\xff";
    int accepted = 0;
    for (int trial = 0; trial < 1000; ++trial) {
        std::string registry_text = good_registry;
        std::string rules_text = good_rules;
        std::string& text = trial % 2 == 0 ? registry_text : rules_text;
        const std::size_t edits = random() % 4 == 0 ? 3 : 1;
        for (std::size_t edit = 0; edit < edits; ++edit) {
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = symbols[random() % symbols.size()];
                break;
            case 1:
                text.erase(at, 1 + random() % 20);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 20));
                break;
            }
        }
        core::findings found;
        config::configuration value = config::configuration_from_yaml({"registry.yaml", registry_text},
                                                                      {"rules.yaml", rules_text}, found);
        if (found.has_errors()) {
            continue;
        }
        ++accepted;
        value.revision = 1;
        const config::configuration copy = config::configuration_from_json(config::to_json(value), "store");
        CHECK_FALSE(config::validate(copy, "store").has_errors());
        CHECK_TRUE(config::difference(value, copy).empty());
    }
    // Some edits only change names or numbers and must be accepted. Without this check a reader that rejects
    // everything would pass the test.
    CHECK_TRUE(accepted > 10);
}

// Guards against members that are lost or changed in the JSON form.
TEST(configuration, json_round_trip_preserves_every_member)
{
    core::findings found;
    config::configuration before = config::configuration_from_yaml(
        {"r", file_text("westrail/registry.yaml")}, {"p", file_text("westrail/rules.yaml")}, found);
    before.revision = 9;
    before.nonce = "n";
    const config::configuration after = config::configuration_from_json(config::to_json(before), "store");
    STRCMP_EQUAL(config::to_json(before).c_str(), config::to_json(after).c_str());
    CHECK_TRUE(config::difference(before, after).empty());
    CHECK_TRUE(config::validate(after, "store").is_empty());
}

// Guards against a change that is missing from the difference or has a wrong name, and against conflicts that
// are missed or reported for equal changes.
TEST(configuration, differences_name_each_part_and_member)
{
    core::findings found;
    const config::configuration before =
        config::configuration_from_yaml({"r", good_registry}, {"p", good_rules}, found);
    config::configuration after = before;
    after.inventory.workspaces[0].burst = 7;
    after.inventory.services[0].endpoints[1].is_draining = true;
    after.inventory.keys.clear();
    after.policy.drained_regions = {"south"};
    const std::vector<config::change> changes = config::difference(before, after);
    const std::string expected = "changed endpoint desk/d2: draining false -> true\n"
                                 "changed workspace forge: burst 5 -> 7\n"
                                 "removed key " +
                                 good_digest +
                                 ": revoked false, workspace \"forge\"\n"
                                 "added drained_region south\n";
    STRCMP_EQUAL(expected.c_str(), config::to_text(changes).c_str());

    config::configuration theirs = before;
    theirs.inventory.workspaces[0].burst = 9;
    theirs.policy.drained_regions = {"south"};
    const std::vector<config::change> conflicts =
        config::conflicting_changes(changes, config::difference(before, theirs));
    STRCMP_EQUAL("changed workspace forge: burst 5 -> 7\n", config::to_text(conflicts).c_str());
}
