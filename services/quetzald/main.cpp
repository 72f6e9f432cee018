// The program quetzald: parses flags, loads the settings and runs an entry instance.

#include "config/settings_yaml.h"
#include "core/control_signals.h"
#include "core/findings.h"
#include "core/log_event.h"
#include "platform/adapter.h"
#include "quetzald/daemon.h"
#include "quetzald/settings_loader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/configurator.h>

#include <cstdio>
#include <iostream>

#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

ABSL_FLAG(std::string, settings, "quetzald.yaml", "File with the settings of this instance.");
ABSL_FLAG(std::vector<std::string>, set, {}, "Settings that override the file: name=value,name=value.");
ABSL_FLAG(std::string, deployment, "registry",
          "Source of settings and configuration: registry (a settings file and the product's registry) or "
          "platform (the users' platform).");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");
ABSL_FLAG(bool, print_settings, false, "Print the settings in force, without the secret, and exit.");

namespace
{

constexpr int exit_findings = 1;
constexpr int exit_failure = 2;

// Runs an instance on the users' platform, which passes the settings in a file with its own format.
int run_on_platform()
{
    const quetzalspan::platform::platform_settings settings = quetzalspan::platform::load_platform_settings();
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "settings are valid\n";
        return 0;
    }
    try {
        return quetzalspan::platform::run_instance(settings);
    } catch (const std::exception& error) {
        quetzalspan::core::error_event("start_failed").with("error", error.what());
        return exit_failure;
    }
}

int run(const quetzalspan::config::settings& settings)
{
    try {
        quetzalspan::core::configure_logging(settings.log_level);
        const std::shared_ptr<quetzalspan::quetzald::daemon> daemon =
            quetzalspan::quetzald::daemon::create(settings);
        return daemon->run();
    } catch (const std::exception& error) {
        quetzalspan::core::error_event("start_failed").with("error", error.what());
        return exit_failure;
    }
}

// Runs the program with the flags given. Returns the exit code.
int run_with_flags()
{
    try {
        const std::string deployment = absl::GetFlag(FLAGS_deployment);
        if (deployment == "platform") {
            return run_on_platform();
        }
        if (deployment != "registry") {
            std::cerr << "--deployment: unknown value " << deployment << "; use registry or platform\n";
            return exit_findings;
        }
        const quetzalspan::config::settings settings =
            quetzalspan::quetzald::load_settings(absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_set));
        if (absl::GetFlag(FLAGS_print_settings)) {
            std::cout << quetzalspan::config::to_text(settings);
            return 0;
        }
        if (absl::GetFlag(FLAGS_check)) {
            std::cout << "settings are valid\n";
            return 0;
        }
        return run(settings);
    } catch (const quetzalspan::core::findings_error& error) {
        std::cerr << error.what();
        return exit_findings;
    }
}

// Writes the lines logged so far and ends the process without the destructors of static objects and of
// log4cplus. log4cplus creates a thread pool when it is loaded, and its shutdown waits for the threads of
// that pool without a time limit, although nothing uses them.
[[noreturn]] void end_process(int exit_code)
{
    quetzalspan::core::close_log();
    std::cout.flush();
    std::fflush(nullptr);
#ifdef __SANITIZE_ADDRESS__
    __lsan_do_leak_check();
#endif
    // Unlike std::quick_exit(), _exit() lets the thread sanitizer turn its findings into an exit code.
    ::_exit(exit_code);
}

} // namespace

int main(int argc, char** argv)
{
    quetzalspan::core::block_control_signals();
    absl::SetProgramUsageMessage(
        "quetzald --settings=FILE [--set=name=value,...] [--check] [--print_settings]");
    absl::ParseCommandLine(argc, argv);
    log4cplus::initialize();
    end_process(run_with_flags());
}
