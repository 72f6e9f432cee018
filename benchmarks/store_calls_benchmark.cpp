// Counts the calls to the store stand-in that idle instances make at their default intervals, by kind of
// call. Usage: store_calls_benchmark [instances] [seconds]; the defaults are 1 instance and 30 s.

#include "core/log_event.h"
#include "standins/store/store_server.h"
#include "store/configuration_source.h"
#include "store/ledger_watch.h"
#include "store/member_registration.h"
#include "store/membership_watch.h"

#include <boost/asio/io_context.hpp>
#include <log4cplus/initializer.h>

#include <cstdlib>
#include <iostream>

using namespace quetzalspan;

namespace
{

// The components of one instance that call the store while it serves no requests.
struct idle_instance {
    std::shared_ptr<store::store_client> client;
    std::shared_ptr<store::member_registration> registration;
    std::shared_ptr<store::membership_watch> members;
    std::shared_ptr<store::ledger_watch> ledger;
    std::shared_ptr<store::configuration_source> configuration;
};

idle_instance start_instance(boost::asio::io_context& context, std::uint16_t port, int index)
{
    idle_instance started;
    store::store_options options;
    options.addresses = {{"127.0.0.1", port}};
    started.client = std::make_shared<store::store_client>(context.get_executor(), options);

    membership::member record;
    record.instance = "entry-" + std::to_string(index);
    record.id = record.instance + ".1";
    store::registration_hooks hooks;
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.on_confirmed = [](core::instant) {};
    hooks.on_fenced = [](store::fence_reason) { std::cout << "fenced\n"; };
    started.registration =
        store::member_registration::create(context.get_executor(), started.client, record, {}, hooks);

    store::membership_hooks member_hooks;
    member_hooks.on_view = [](const store::membership_view&) {};
    started.members =
        store::membership_watch::create(context.get_executor(), started.client, {}, member_hooks);
    store::ledger_hooks ledger_hooks;
    ledger_hooks.on_view = [](const store::ledger_view&) {};
    started.ledger = store::ledger_watch::create(context.get_executor(), started.client, {}, ledger_hooks);
    store::configuration_hooks configuration_hooks;
    configuration_hooks.on_new_configuration = [](const config::configuration&, const std::string&) {};
    started.configuration =
        store::configuration_source::create(context.get_executor(), started.client, {}, configuration_hooks);
    started.registration->start();
    started.members->start();
    started.ledger->start();
    started.configuration->start();
    return started;
}

} // namespace

int main(int argc, char** argv)
{
    const log4cplus::Initializer log_initializer;
    core::configure_logging("error");
    const int instance_count = argc > 1 ? std::atoi(argv[1]) : 1;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 30;
    boost::asio::io_context context(1);
    const std::shared_ptr<standin_store::store_service> service =
        std::make_shared<standin_store::store_service>(standin_store::service_options(),
                                                       [] { return std::chrono::steady_clock::now(); });
    const std::shared_ptr<standin_store::store_server> server =
        standin_store::store_server::create(context.get_executor(), "127.0.0.1", 0, 0, service);
    server->start();
    std::vector<idle_instance> fleet;
    for (int index = 0; index < instance_count; ++index) {
        fleet.push_back(start_instance(context, server->port(), index));
    }
    // Joining takes additional calls, which are not counted.
    context.run_for(std::chrono::seconds(3));
    const standin_store::call_counters before = service->counters();
    context.run_for(std::chrono::seconds(seconds));
    double total_rate = 0;
    for (const auto& [kind, count] : service->counters()) {
        const auto earlier = before.find(kind);
        const double calls = static_cast<double>(count - (earlier == before.end() ? 0 : earlier->second));
        const double rate = calls / seconds / instance_count;
        total_rate += rate;
        std::cout << kind << " " << rate << " calls per second per instance\n";
    }
    std::cout << "all " << total_rate << " calls per second per instance, " << total_rate * instance_count
              << " calls per second for all instances\n";
    return 0;
}
