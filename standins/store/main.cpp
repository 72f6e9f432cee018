// The program standin_store: the store stand-in on two ports, for tests and the demo. It is not shipped. It
// prints the ports that it listens on and runs until SIGINT or SIGTERM.

#include "core/log_event.h"
#include "standins/store/store_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <log4cplus/initializer.h>

#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, host, "127.0.0.1", "numeric address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port of the store; 0 chooses a free one");
ABSL_FLAG(std::uint16_t, control_port, 0,
          "control port, open also while the store is down; 0 chooses a free one");
ABSL_FLAG(std::uint64_t, writes_per_second, 0, "writes accepted per second; 0 for no limit");
ABSL_FLAG(std::uint64_t, reads_per_second, 0, "reads accepted per second; 0 for no limit");
ABSL_FLAG(std::uint64_t, history, 10'000, "number of changes kept for watches");
ABSL_FLAG(std::uint64_t, instances_lag_ms, 2000, "age of the list of instances in milliseconds");

using namespace quetzalspan;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds lease_check_interval(50);

asio::awaitable<void> expire_leases_periodically(std::shared_ptr<standin_store::store_service> service)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        timer.expires_after(lease_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
        service->expire_leases();
    }
}

int run()
{
    standin_store::service_options options;
    options.writes_per_second = absl::GetFlag(FLAGS_writes_per_second);
    options.reads_per_second = absl::GetFlag(FLAGS_reads_per_second);
    options.state.history_limit = absl::GetFlag(FLAGS_history);
    options.state.instances_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_instances_lag_ms));

    asio::io_context context(1);
    const std::shared_ptr<standin_store::store_service> service =
        std::make_shared<standin_store::store_service>(options,
                                                       [] { return std::chrono::steady_clock::now(); });
    const std::shared_ptr<standin_store::store_server> server = standin_store::store_server::create(
        context.get_executor(), absl::GetFlag(FLAGS_host), absl::GetFlag(FLAGS_port),
        absl::GetFlag(FLAGS_control_port), service);
    server->start();
    asio::co_spawn(context, expire_leases_periodically(service), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });

    std::cout << "port=" << server->port() << "\ncontrol_port=" << server->control_port() << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const log4cplus::Initializer log_initializer;
    absl::SetProgramUsageMessage(
        "Stand-in for the platform's key-value store. Faults are set with POST /standin/...");
    absl::ParseCommandLine(argc, argv);
    try {
        core::configure_logging("info");
        return run();
    } catch (const std::exception& error) {
        core::error_event("standin_store_failed").with("error", error.what());
        return 1;
    }
}
