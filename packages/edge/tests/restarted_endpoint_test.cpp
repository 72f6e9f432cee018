// Tests of a fleet of balancers whose endpoint starts again under its id: how many requests all instances
// together send to the new start, with and without its record.

#include "edge/endpoint_balancer.h"

#include "core/stable_hash.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double cold_rate_per_second = 4.8;
constexpr double cold_rate_factor = 1.5;
constexpr double cold_rate_slack = 5;
constexpr std::size_t max_cold_requests_per_second =
    static_cast<std::size_t>(cold_rate_per_second * cold_rate_factor + cold_rate_slack);
// How often each instance tries to send, far above what the endpoint may get while cold.
constexpr core::duration demand_interval = milliseconds(50);

placement::endpoint_record make_record(std::uint64_t incarnation)
{
    placement::endpoint_record result;
    result.id = "a";
    result.service = "orders";
    result.host = "127.0.0.1";
    result.port = 9;
    result.region = "savo";
    result.incarnation = incarnation;
    return result;
}

} // namespace

TEST_GROUP(restarted_endpoint)
{
    struct member {
        burn::metrics_registry metrics;
        std::unique_ptr<endpoint_balancer> balancer;
    };

    // Results of attempts carry no time of their own, so that the tests begin at the present.
    const core::instant start = std::chrono::steady_clock::now();
    std::shared_ptr<const routing::route_table> table;
    std::vector<std::unique_ptr<member>> fleet;
    std::vector<caller::endpoint_lease> leases;
    std::vector<core::instant> sent;

    void make_fleet(std::size_t size)
    {
        routing::route route;
        route.name = "open";
        route.host = "desk.example";
        route.prefix = "/";
        route.services = {{"orders", 1}};
        route.is_public = true;
        routing::service service;
        service.name = "orders";
        service.cold_duration = seconds(3);
        service.cold_rate = cold_rate_per_second;
        routing::configuration source;
        source.version = 1;
        source.routes = {route};
        source.services = {service};
        table = routing::route_table::create(source);
        placement::fleet_view view;
        view.size = static_cast<std::uint32_t>(size);
        for (std::size_t index = 0; index < size; ++index) {
            view.instance_hashes.push_back(core::stable_hash(std::to_string(index)));
        }
        std::sort(view.instance_hashes.begin(), view.instance_hashes.end());
        balancer_options options;
        options.own_region = "savo";
        options.cold_rate_factor = cold_rate_factor;
        options.cold_rate_slack = cold_rate_slack;
        for (const std::uint64_t hash : view.instance_hashes) {
            view.own_hash = hash;
            fleet.push_back(std::make_unique<member>());
            member& added = *fleet.back();
            added.balancer = std::make_unique<endpoint_balancer>(
                options, [view] { return view; }, added.metrics);
            added.balancer->set_table(table);
            added.balancer->update_periodically(start);
            added.balancer->apply(make_record(1), true, start - seconds(60));
            added.balancer->record_discovery(start);
        }
    }

    endpoint_balancer::acquire_result acquire(member & from, core::instant now)
    {
        static const std::vector<std::string> tried;
        static const std::string service = "orders";
        attempt_request wanted;
        wanted.request_id = "id";
        wanted.service = &service;
        wanted.route = &table->source().routes[0];
        wanted.service_config = table->find_service(service);
        wanted.tried = &tried;
        return from.balancer->acquire(wanted, now);
    }

    // Lets an attempt of each instance find that the endpoint refuses connections.
    void refuse_connections()
    {
        for (const std::unique_ptr<member>& from : fleet) {
            endpoint_balancer::acquire_result chosen = acquire(*from, start);
            caller::attempt_result refused;
            refused.was_contacted = true;
            refused.failure = dispatch::failure::connect_failed;
            std::get<caller::endpoint_lease>(chosen).release(refused);
        }
    }

    // Lets each instance send as often as it may in the given time, over connections that were opened at the
    // given time or when the request is sent.
    void send(core::instant from, core::instant until, std::optional<core::instant> opened = std::nullopt)
    {
        for (core::instant now = from; now < until; now += demand_interval) {
            for (const std::unique_ptr<member>& sender : fleet) {
                endpoint_balancer::acquire_result chosen = acquire(*sender, now);
                if (caller::endpoint_lease* lease = std::get_if<caller::endpoint_lease>(&chosen)) {
                    sent.push_back(now);
                    lease->report_connection(opened.value_or(now), now);
                    leases.push_back(std::move(*lease));
                }
            }
        }
    }

    std::size_t max_sent_per_second() const
    {
        std::size_t result = 0;
        for (const core::instant from : sent) {
            const std::ptrdiff_t count = std::count_if(sent.begin(), sent.end(), [from](core::instant time) {
                return time >= from && time - from <= seconds(1);
            });
            result = std::max(result, static_cast<std::size_t>(count));
        }
        return result;
    }

    void check_limit() const
    {
        CHECK(sent.size() > 0);
        CHECK(max_sent_per_second() <= max_cold_requests_per_second);
    }

    void announce_restart(core::instant now, std::uint64_t incarnation = 2)
    {
        for (const std::unique_ptr<member>& hearing : fleet) {
            hearing->balancer->apply(make_record(incarnation), false, now);
        }
    }
};

// Guards against instances that send to a new start as to a warm endpoint until its record arrives, and then
// their whole shares of the limit on top.
TEST(restarted_endpoint, requests_before_and_after_the_record_stay_within_the_limit)
{
    make_fleet(7);
    refuse_connections();
    send(start + milliseconds(700), start + milliseconds(1100));
    announce_restart(start + milliseconds(1100));
    send(start + milliseconds(1100), start + milliseconds(3000));
    check_limit();
}

// Guards against a flood of a new start whose record does not arrive, because the store is down.
TEST(restarted_endpoint, without_a_record_the_limit_holds_after_refused_connections)
{
    make_fleet(7);
    refuse_connections();
    send(start + milliseconds(700), start + milliseconds(3500));
    check_limit();
}

// Guards against the same in a fleet with more instances than requests that a cold endpoint may get in a
// second.
TEST(restarted_endpoint, the_limit_holds_in_a_large_fleet)
{
    make_fleet(31);
    refuse_connections();
    send(start + milliseconds(700), start + milliseconds(1500));
    announce_restart(start + milliseconds(1500));
    send(start + milliseconds(1500), start + milliseconds(3000));
    check_limit();
}

// Guards against an instance that takes a request in flight to the new start for a sign that the endpoint has
// not ended, while it hears of no restart.
TEST(restarted_endpoint, without_discovery_a_request_to_the_new_start_does_not_lift_the_limit)
{
    make_fleet(7);
    send(start + seconds(10), start + milliseconds(11'500));
    check_limit();
}

// Guards against a record that arrives after a further start and makes connections to that start pass for
// known, so that the requests over them are forgotten when its own record arrives.
TEST(restarted_endpoint, a_late_record_does_not_confirm_connections_to_a_further_start)
{
    make_fleet(7);
    refuse_connections();
    announce_restart(start + milliseconds(1000));
    send(start + milliseconds(1000), start + milliseconds(1500), start + milliseconds(900));
    announce_restart(start + milliseconds(1500), 3);
    send(start + milliseconds(1500), start + milliseconds(3000));
    check_limit();
}

// Guards against an instance that takes its records for current after a suspension of the machine, in which
// an endpoint may have started again.
TEST(restarted_endpoint, after_a_suspension_the_limit_holds_until_discovery_is_current)
{
    make_fleet(7);
    for (const std::unique_ptr<member>& each : fleet) {
        each->balancer->record_suspension(seconds(3));
    }
    send(start + milliseconds(100), start + milliseconds(1500));
    check_limit();
}

// Guards against an instance that takes the first answer of the store after an outage for complete, while
// endpoints that started again during the outage have not written their records yet.
TEST(restarted_endpoint, after_an_outage_of_the_store_the_limit_holds_until_records_are_back)
{
    make_fleet(7);
    send(start + milliseconds(10'000), start + milliseconds(11'000));
    for (const std::unique_ptr<member>& each : fleet) {
        each->balancer->begin_removal_grace_period(start + milliseconds(11'000));
        each->balancer->record_discovery(start + milliseconds(11'000));
    }
    send(start + milliseconds(11'000), start + milliseconds(12'500), start + milliseconds(10'500));
    check_limit();
}
