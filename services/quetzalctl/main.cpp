// The program quetzalctl, the command line for operators: parses flags, creates the environment of the
// commands and prints their results.

#include "core/digest.h"
#include "operator/file_commands.h"
#include "operator/fleet_commands.h"
#include "operator/write_commands.h"
#include "quetzalctl/arguments.h"

#include "config/numbers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>
#include <json/json.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, output, "text", "output format: text or json");
ABSL_FLAG(std::vector<std::string>, store, {}, "addresses of the store, host:port; repeatable");
ABSL_FLAG(std::vector<std::string>, instances, {}, "admin addresses of instances, host:port; repeatable");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "wait: longest time to wait, such as 30s");
ABSL_FLAG(absl::Duration, store_timeout, absl::Seconds(2), "timeout of one request to the store");
ABSL_FLAG(absl::Duration, instance_timeout, absl::Seconds(2), "timeout of one request to an instance");
ABSL_FLAG(std::string, author, "", "recorded as the author of the write; user@host by default");
ABSL_FLAG(std::string, base_revision, "", "apply: the revision that the files started from");
ABSL_FLAG(bool, reinstate_keys, false, "apply: let keys work again that are revoked in the store");
ABSL_FLAG(bool, undo, false, "drain: end the drain");

namespace quetzalspan::quetzalctl
{

namespace
{

using admin::command_result;
using admin::exit_code;

constexpr const char* help_text =
    "quetzalctl [flags] command [arguments]\n"
    "\n"
    "  validate REGISTRY RULES [SETTINGS...]   check files and report all findings\n"
    "  diff REGISTRY RULES                     compare the store with the files\n"
    "  apply REGISTRY RULES                    put the files in force\n"
    "  status                                  show the store and each instance\n"
    "  wait [REVISION]                         wait until a revision is in force on all live instances\n"
    "  drain region NAME | endpoint SERVICE/ID send no new requests there; --undo ends it\n"
    "  revoke-key [DIGEST]                     revoke a key; without argument the key is read from standard "
    "input\n"
    "  digest-key                              read a key from standard input, print its digest\n"
    "  report                                  show the service-level burn summed over all instances\n"
    "  help                                    show this text\n"
    "\n"
    "  --store=HOST:PORT        store address; repeatable or comma separated\n"
    "  --instances=HOST:PORT    admin addresses, when the store is down; repeatable or comma separated\n"
    "  --output=text|json       output format\n"
    "  --timeout=30s            wait: longest time to wait\n"
    "  --store_timeout=2s, --instance_timeout=2s   timeout of one request\n"
    "  --author=NAME            recorded as the author, shown to whoever loses a race\n"
    "  --base_revision=N        apply: fail with code 3 unless the store holds this revision\n"
    "  --reinstate_keys         apply: let keys work again that are revoked in the store\n"
    "  --undo                   drain: end the drain\n"
    "\n"
    "Exit codes: 0 done, 1 findings in the input, 2 usage, 3 race lost, 4 store unreachable or outcome "
    "unknown,\n"
    "5 timeout.\n";

core::duration to_duration(absl::Duration value)
{
    return std::chrono::milliseconds(absl::ToInt64Milliseconds(value));
}

std::string read_all(std::istream& input)
{
    return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw std::runtime_error("cannot open " + path);
    }
    std::string text = read_all(file);
    if (file.bad()) {
        throw std::runtime_error("cannot read " + path);
    }
    return text;
}

std::string default_author()
{
    std::array<char, 256> host{};
    if (gethostname(host.data(), host.size() - 1) != 0) {
        host[0] = '\0';
    }
    const char* user = std::getenv("USER");
    return std::string(user == nullptr ? "unknown" : user) + "@" + host.data();
}

// Thrown for malformed command lines.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::vector<config::host_port> parse_addresses(const std::vector<std::string>& texts, const char* flag)
{
    std::vector<config::host_port> addresses;
    for (const std::string& text : texts) {
        const std::optional<config::host_port> address = config::parse_host_port(text);
        if (!address) {
            throw usage_error(std::string("bad value of flag --") + flag + ": \"" + text +
                              "\" is not a numeric address with port");
        }
        addresses.push_back(*address);
    }
    return addresses;
}

std::uint64_t parse_revision(const std::string& text)
{
    const std::optional<std::uint64_t> revision = config::parse_whole_number(text);
    if (!revision) {
        throw usage_error("\"" + text + "\" is not a revision");
    }
    return *revision;
}

// Throws usage_error if the command needs the address of the store or of instances and the flags give none.
void check_required_addresses(const std::vector<std::string>& positional)
{
    constexpr std::array<std::string_view, 4> store_commands{"diff", "apply", "drain", "revoke-key"};
    constexpr std::array<std::string_view, 3> fleet_commands{"status", "wait", "report"};
    const std::string& command = positional.front();
    const bool has_store = !absl::GetFlag(FLAGS_store).empty();
    const bool needs_store =
        std::find(store_commands.begin(), store_commands.end(), command) != store_commands.end() ||
        (command == "wait" && positional.size() == 1);
    if (needs_store && !has_store) {
        throw usage_error("\"" + command + "\" needs --store=host:port");
    }
    const bool needs_store_or_instances =
        std::find(fleet_commands.begin(), fleet_commands.end(), command) != fleet_commands.end();
    if (needs_store_or_instances && !has_store && absl::GetFlag(FLAGS_instances).empty()) {
        throw usage_error("\"" + command + "\" needs --store=host:port or --instances=host:adminport");
    }
}

// Returns the environment of the commands. The connection to the store may be null if the command does not
// need it.
admin::command_environment make_environment(admin::store_connection* connection)
{
    admin::command_environment environment;
    if (connection != nullptr) {
        environment.store = connection->make_configuration_store();
    }
    const std::vector<config::host_port> named_addresses =
        parse_addresses(absl::GetFlag(FLAGS_instances), "instances");
    environment.find_instances = [connection, named_addresses](core::findings& found) {
        if (named_addresses.empty()) {
            return admin::find_instances(*connection, found);
        }
        std::vector<admin::instance_address> instances;
        for (const config::host_port& address : named_addresses) {
            instances.push_back({config::to_text(address), address, true});
        }
        return instances;
    };
    const core::duration instance_timeout = to_duration(absl::GetFlag(FLAGS_instance_timeout));
    environment.query_instances = [instance_timeout](const std::vector<admin::instance_address>& instances,
                                                     const std::string& target) {
        return admin::query_instances(instances, target, instance_timeout);
    };
    environment.read_file = read_file;
    environment.read_standard_input = [] { return read_all(std::cin); };
    environment.make_nonce = [] { return core::random_hex(16); };
    environment.now = [] { return std::chrono::steady_clock::now(); };
    environment.sleep_for = [](core::duration time) { std::this_thread::sleep_for(time); };
    environment.author = absl::GetFlag(FLAGS_author).empty() ? default_author() : absl::GetFlag(FLAGS_author);
    return environment;
}

void check_argument_count(const std::vector<std::string>& positional, std::size_t min_count,
                          std::size_t max_count)
{
    if (positional.size() < min_count || positional.size() > max_count) {
        throw usage_error("wrong number of arguments of \"" + positional.front() + "\"");
    }
}

command_result run_drain_command(const admin::command_environment& environment,
                                 const std::vector<std::string>& positional)
{
    check_argument_count(positional, 3, 3);
    const bool ends_drain = absl::GetFlag(FLAGS_undo);
    if (positional[1] == "region") {
        return run_drain(environment, admin::drain_kind::region, positional[2], ends_drain);
    }
    if (positional[1] == "endpoint") {
        return run_drain(environment, admin::drain_kind::endpoint, positional[2], ends_drain);
    }
    throw usage_error("the first argument of drain must be region or endpoint");
}

command_result run_command(const admin::command_environment& environment,
                           const std::vector<std::string>& positional)
{
    const std::string& command = positional.front();
    if (command == "validate") {
        check_argument_count(positional, 3, 64);
        return run_validate(environment, positional[1], positional[2],
                            {positional.begin() + 3, positional.end()});
    }
    if (command == "diff") {
        check_argument_count(positional, 3, 3);
        return run_diff(environment, positional[1], positional[2]);
    }
    if (command == "apply") {
        check_argument_count(positional, 3, 3);
        admin::apply_options options;
        options.may_reinstate_keys = absl::GetFlag(FLAGS_reinstate_keys);
        if (!absl::GetFlag(FLAGS_base_revision).empty()) {
            options.base_revision = parse_revision(absl::GetFlag(FLAGS_base_revision));
        }
        return run_apply(environment, positional[1], positional[2], options);
    }
    if (command == "status") {
        check_argument_count(positional, 1, 1);
        return run_status(environment);
    }
    if (command == "wait") {
        check_argument_count(positional, 1, 2);
        std::optional<std::uint64_t> revision;
        if (positional.size() == 2) {
            revision = parse_revision(positional[1]);
        }
        return run_wait(environment, revision, to_duration(absl::GetFlag(FLAGS_timeout)));
    }
    if (command == "drain") {
        return run_drain_command(environment, positional);
    }
    if (command == "revoke-key") {
        check_argument_count(positional, 1, 2);
        return run_revoke_key(environment, positional.size() == 2 ? positional[1] : std::string());
    }
    if (command == "digest-key") {
        // The key must not be an argument: other users of the machine can read command lines.
        check_argument_count(positional, 1, 1);
        return run_digest_key(environment);
    }
    if (command == "report") {
        check_argument_count(positional, 1, 1);
        return run_report(environment);
    }
    throw usage_error("unknown command \"" + command + "\"");
}

int print_result(command_result result)
{
    if (absl::GetFlag(FLAGS_output) == "json") {
        result.value["exit_code"] = static_cast<int>(result.code);
        if (!result.diagnostics.empty()) {
            result.value["notes"] = result.diagnostics;
        }
        std::cout << result.value << "\n";
    } else {
        std::cout << result.text;
        std::cerr << result.diagnostics;
    }
    std::cout.flush();
    return static_cast<int>(result.code);
}

int print_usage_error(const std::string& message)
{
    return print_result(admin::fail(exit_code::usage, message + "; see \"quetzalctl help\""));
}

int run(const std::vector<std::string>& positional)
{
    if (absl::GetFlag(FLAGS_output) != "text" && absl::GetFlag(FLAGS_output) != "json") {
        return print_usage_error("bad value of flag --output: must be text or json");
    }
    if (positional.empty()) {
        return print_usage_error("no command was given");
    }
    try {
        check_required_addresses(positional);
        const std::vector<config::host_port> addresses = parse_addresses(absl::GetFlag(FLAGS_store), "store");
        std::unique_ptr<admin::store_connection> connection;
        if (!addresses.empty()) {
            connection = std::make_unique<admin::store_connection>(
                addresses, to_duration(absl::GetFlag(FLAGS_store_timeout)));
        }
        const admin::command_environment environment = make_environment(connection.get());
        std::optional<std::string> usage_message;
        command_result result = admin::run_catching_errors([&] {
            try {
                return run_command(environment, positional);
            } catch (const usage_error& error) {
                usage_message = error.what();
                return command_result{};
            }
        });
        return usage_message ? print_usage_error(*usage_message) : print_result(std::move(result));
    } catch (const usage_error& error) {
        return print_usage_error(error.what());
    }
}

} // namespace

} // namespace quetzalspan::quetzalctl

int main(int argc, char** argv)
{
    using namespace quetzalspan;
    const std::vector<std::string> command_line(argv, argv + argc);
    const quetzalctl::checked_arguments checked =
        quetzalctl::check_arguments(command_line, {"store", "instances"});
    if (!checked.error.empty()) {
        return quetzalctl::print_usage_error(checked.error);
    }
    std::vector<char*> pointers;
    std::vector<std::string> values = checked.values;
    std::transform(values.begin(), values.end(), std::back_inserter(pointers),
                   [](std::string& value) { return value.data(); });
    const std::vector<char*> remaining =
        absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    const std::vector<std::string> positional(remaining.begin() + 1, remaining.end());
    if (checked.wants_help || (!positional.empty() && positional.front() == "help")) {
        std::cout << quetzalctl::help_text;
        return 0;
    }
    return quetzalctl::run(positional);
}
