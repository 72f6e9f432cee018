// Sample configuration files and a fake command environment for tests of the commands.

#pragma once

#include "config/configuration_json.h"
#include "config/validate.h"
#include "operator/command.h"
#include "operator/instance_status.h"
#include "operator/tests/fake_store.h"

#include <json/json.h>

#include <map>
#include <string>

namespace quetzalspan::admin
{

inline const std::string key_digest(64, 'a');

inline const std::string sample_registry =
    "regions: [north, south]\n"
    "availability_zones: [{name: north-a, region: north}, {name: south-a, region: south}]\n"
    "services:\n"
    "  - name: desk\n"
    "    endpoints:\n"
    "      - {id: d1, availability_zone: north-a, host: 10.0.0.1, port: 80}\n"
    "      - {id: d2, availability_zone: south-a, host: 10.0.0.2, port: 80}\n"
    "workspaces: [{name: forge, rate_per_second: 10, burst: 5}]\n"
    "keys: [{digest: " +
    key_digest + ", workspace: forge}]\n";

inline const std::string sample_rules = "routes: [{path_prefix: /desk, service: desk}]\n";

inline std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

// Returns the sample configuration with the author "other".
inline config::configuration sample_configuration(std::uint64_t revision, const std::string& nonce)
{
    core::findings found;
    config::configuration value =
        config::configuration_from_yaml({"r", sample_registry}, {"p", sample_rules}, found);
    value.revision = revision;
    value.author = "other";
    value.nonce = nonce;
    return value;
}

// A command environment with a fake store, virtual time and instances that reply with the bodies set by the
// test.
struct fake_environment {
    fake_store store;
    std::map<std::string, std::string> files{{"registry.yaml", sample_registry},
                                             {"rules.yaml", sample_rules}};
    std::string standard_input;
    std::vector<instance_address> instances;
    // Reply bodies by the name of the instance. An instance without a body does not answer.
    std::map<std::string, std::string> bodies;
    // Makes find_instances throw store_error.
    bool is_member_list_down = false;
    core::instant time;
    std::function<void()> on_sleep;
    int nonces = 0;

    void add_instance(const std::string& name, std::uint64_t revision, bool is_live = true)
    {
        instances.push_back({name, {"127.0.0.1", 1}, is_live});
        set_revision(name, revision, "n");
    }

    void set_revision(const std::string& name, std::uint64_t revision, const std::string& nonce)
    {
        instance_status status;
        status.member = name;
        status.revision = revision;
        status.nonce = nonce;
        bodies[name] = Json::writeString(Json::StreamWriterBuilder(), to_json_value(status));
    }

    config::configuration stored() const
    {
        return config::configuration_from_json(store.current->text, "store");
    }

    command_environment hooks()
    {
        command_environment environment;
        environment.store = store.hooks();
        environment.find_instances = [this](core::findings&) {
            if (is_member_list_down) {
                throw store_error("the store does not answer");
            }
            return instances;
        };
        environment.query_instances = [this](const std::vector<instance_address>& queried,
                                             const std::string&) {
            std::vector<instance_reply> replies;
            for (const instance_address& address : queried) {
                const auto body = bodies.find(address.name);
                replies.push_back(body == bodies.end() ? instance_reply{address, std::nullopt, "refused"}
                                                       : instance_reply{address, body->second, ""});
            }
            return replies;
        };
        environment.read_file = [this](const std::string& path) { return files.at(path); };
        environment.read_standard_input = [this] { return standard_input; };
        environment.make_nonce = [this] { return "mine-" + std::to_string(++nonces); };
        environment.now = [this] { return time; };
        environment.sleep_for = [this](core::duration passed) {
            time += passed;
            if (on_sleep) {
                on_sleep();
            }
        };
        environment.author = "me";
        return environment;
    }
};

} // namespace quetzalspan::admin
