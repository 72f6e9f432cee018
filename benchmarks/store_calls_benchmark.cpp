// Counts the calls to the store that idle instances make with their default intervals.
// Usage: store_calls_benchmark [instances] [seconds]

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

// The parts of one idle instance that call the store.
struct idle_instance {
    std::shared_ptr<store::store_client> client;
    std::shared_ptr<store::member_registration> registration;
    std::shared_ptr<store::membership_watch> members;
    std::shared_ptr<store::ledger_watch> ledger;
    std::shared_ptr<store::configuration_source> configuration;
};

idle_instance start_instance(boost::asio::io_context& context, std::uint16_t port, int index)
{
    idle_instance result;
    store::store_options options;
    options.addresses = {{"127.0.0.1", port}};
    result.client = std::make_shared<store::store_client>(context.get_executor(), options);

    membership::member record;
    record.instance = "entry-" + std::to_string(index);
    record.id = record.instance + ".1";
    store::registration_hooks hooks;
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.on_confirmed = [](core::instant) {};
    hooks.on_fenced = [](store::fence_reason) { std::cout << "fenced\n"; };
    result.registration =
        store::member_registration::create(context.get_executor(), result.client, record, {}, hooks);

    store::membership_hooks member_hooks;
    member_hooks.on_view = [](const store::membership_view&) {};
    result.members = store::membership_watch::create(context.get_executor(), result.client, {}, member_hooks);
    store::ledger_hooks ledger_hooks;
    ledger_hooks.on_view = [](const store::ledger_view&) {};
    result.ledger = store::ledger_watch::create(context.get_executor(), result.client, {}, ledger_hooks);
    store::configuration_hooks configuration_hooks;
    configuration_hooks.on_newer = [](const config::configuration&, const std::string&) {};
    result.configuration =
        store::configuration_source::create(context.get_executor(), result.client, {}, configuration_hooks);
    result.registration->start();
    result.members->start();
    result.ledger->start();
    result.configuration->start();
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    const log4cplus::Initializer log_initializer;
    core::configure_logging("error");
    const int instances = argc > 1 ? std::atoi(argv[1]) : 1;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 30;
    boost::asio::io_context context(1);
    const std::shared_ptr<standin_store::store_service> service =
        std::make_shared<standin_store::store_service>(standin_store::service_options(),
                                                       [] { return std::chrono::steady_clock::now(); });
    const std::shared_ptr<standin_store::store_server> server =
        standin_store::store_server::create(context.get_executor(), "127.0.0.1", 0, 0, service);
    server->start();
    std::vector<idle_instance> fleet;
    for (int index = 0; index < instances; ++index) {
        fleet.push_back(start_instance(context, server->port(), index));
    }
    // Calls while the instances join are not counted.
    context.run_for(std::chrono::seconds(3));
    const standin_store::call_counters before = service->counters();
    context.run_for(std::chrono::seconds(seconds));
    double total = 0;
    for (const auto& [kind, count] : service->counters()) {
        const auto begin = before.find(kind);
        const double calls = static_cast<double>(count - (begin == before.end() ? 0 : begin->second));
        const double rate = calls / seconds / instances;
        total += rate;
        std::cout << kind << " " << rate << " per second and instance\n";
    }
    std::cout << "all " << total << " per second and instance, " << total * instances << " of the fleet\n";
    return 0;
}
