// Tests of the rate limits that endpoints name, with simulated fleets whose demand is above the limits.

#include "placement/endpoint_selection.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <random>

using namespace quetzalspan;
using namespace placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const core::instant start(seconds(100));
constexpr core::duration response_time = milliseconds(300);
// The bound on what an endpoint receives while it names a limit: in any such window, the factor times what
// the limit allows, plus the slack. It holds some time after the limit was first named, and for the instances
// that have relayed a response with it a while before.
constexpr core::duration window = seconds(4);
constexpr double tolerated_factor = 1.5;
constexpr double tolerated_requests = 5;
constexpr core::duration first_naming_time = seconds(3);
constexpr core::duration reaction_time = milliseconds(500);

struct load {
    std::uint32_t instances = 0;
    std::uint32_t endpoints = 0;
    // Requests per second of all callers together.
    double demand = 0;
    // The demand is multiplied by this in the second half of the simulation.
    double burst_factor = 1;
    // Requests per second that the limited endpoints name, and how many of the endpoints name it.
    double limit = 0;
    std::uint32_t limited_endpoints = 0;
    // Whether the instances hear from the granter of the tokens.
    bool has_granter = true;
};

// A fleet whose instances choose endpoints independently. Every endpoint answers each request after a fixed
// time.
class simulated_fleet
{
public:
    explicit simulated_fleet(const load& simulated) : m_load(simulated), m_sends(simulated.endpoints)
    {
        fleet_view view;
        view.size = simulated.instances;
        for (std::uint32_t index = 0; index < simulated.instances; ++index) {
            view.instance_hashes.push_back(1000 + index * 77);
        }
        for (std::uint32_t index = 0; index < simulated.instances; ++index) {
            view.own_hash = view.instance_hashes[index];
            m_instances.push_back(std::make_unique<instance>(instance{{{}, {}}, view, {}, {}}));
            for (std::uint32_t number = 0; number < simulated.endpoints; ++number) {
                endpoint_record record;
                record.id = std::to_string(number);
                record.service = "orders";
                record.region = "savo";
                m_instances.back()->endpoints.apply(record, start, true);
            }
        }
    }

    void run(core::duration length)
    {
        std::mt19937_64 random(1);
        std::uniform_int_distribution<std::size_t> any_instance(0, m_instances.size() - 1);
        // A few objects get most of the requests.
        std::geometric_distribution<int> any_object(0.01);
        core::instant now = start;
        for (int number = 0; now < start + length; ++number) {
            const double factor = now - start > length / 2 ? m_load.burst_factor : 1;
            const double gap = std::exponential_distribution<double>(m_load.demand * factor)(random);
            now += std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(gap));
            send(*m_instances[any_instance(random)], "object" + std::to_string(any_object(random)), number,
                 now);
        }
    }

    // Returns the largest number of requests that count against the bound in one window at one endpoint.
    std::size_t find_most_in_window() const
    {
        std::size_t most = 0;
        for (const std::deque<core::instant>& sends : m_sends) {
            std::size_t first = 0;
            for (std::size_t last = 0; last < sends.size(); ++last) {
                while (sends[last] - sends[first] >= window) {
                    ++first;
                }
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    std::uint64_t rejected() const { return m_rejected; }
    std::uint64_t sent_within_limits() const { return m_sent_within_limits; }

private:
    struct response {
        core::instant at;
        std::string endpoint;
    };
    struct instance {
        endpoint_catalog endpoints;
        fleet_view view;
        std::deque<response> pending;
        // When the instance first relayed a response with the limit, by endpoint.
        std::map<std::string, core::instant> informed_at;
    };

    void receive_responses(instance& receiver, core::instant now) const
    {
        while (!receiver.pending.empty() && receiver.pending.front().at <= now) {
            const response received = receiver.pending.front();
            receiver.pending.pop_front();
            endpoint& sender = *receiver.endpoints.find(received.endpoint);
            --sender.outstanding_requests;
            if (std::stoul(received.endpoint) < m_load.limited_endpoints) {
                sender.rate_limit = m_load.limit;
                receiver.informed_at.try_emplace(received.endpoint, received.at);
            }
        }
    }

    // Chooses endpoints until one takes the request. Returns null if none does.
    endpoint_pointer acquire(instance& sender, endpoint_selection_request& request, core::instant now)
    {
        constexpr int max_token_requests = 2;
        for (int token_requests = 0;; ++token_requests) {
            request.skips_rate_limited = token_requests == max_token_requests;
            const endpoint_pointer chosen =
                select_endpoint(sender.endpoints, request, sender.view, m_options, now).target;
            if (!chosen || !is_rate_limited(*chosen)) {
                return chosen;
            }
            if (m_load.has_granter) {
                const core::duration wait = m_granter.take(chosen->record.id, chosen->rate_limit, now);
                record_granter_answer(*chosen, wait, now);
                if (wait == core::duration(0)) {
                    return chosen;
                }
            } else if (take_share_token(*chosen, sender.view, now)) {
                return chosen;
            }
        }
    }

    void send(instance& sender, const std::string& object, int number, core::instant now)
    {
        receive_responses(sender, now);
        const std::string id = std::to_string(number);
        endpoint_selection_request request;
        request.service = "orders";
        request.affinity = object;
        request.request_id = id;
        request.own_region = "savo";
        request.is_region_allowed = [](const std::string&) { return true; };
        const endpoint_pointer chosen = acquire(sender, request, now);
        if (!chosen) {
            ++m_rejected;
            return;
        }
        ++chosen->outstanding_requests;
        const std::string& endpoint_id = chosen->record.id;
        sender.pending.push_back({now + response_time, endpoint_id});
        const std::map<std::string, core::instant>::const_iterator informed =
            sender.informed_at.find(endpoint_id);
        if (informed != sender.informed_at.end() && now - informed->second >= reaction_time &&
            now - start >= first_naming_time) {
            m_sends[std::stoul(endpoint_id)].push_back(now);
            ++m_sent_within_limits;
        }
    }

    load m_load;
    endpoint_selection_options m_options;
    rate_limit_granter m_granter;
    std::vector<std::unique_ptr<instance>> m_instances;
    // The times of the requests that count against the bound, by endpoint.
    std::vector<std::deque<core::instant>> m_sends;
    std::uint64_t m_rejected = 0;
    std::uint64_t m_sent_within_limits = 0;
};

} // namespace

TEST_GROUP(rate_limit)
{
    endpoint target;
    rate_limit_granter granter;
    fleet_view fleet{4, {1, 2, 3, 4}, 2};

    std::size_t count_granted(double rate, core::instant now)
    {
        std::size_t granted = 0;
        while (granter.take("a", rate, now) == core::duration(0)) {
            ++granted;
        }
        return granted;
    }
};

// Guards against a fleet that sends an endpoint far more than the rate that it has named, for fleets of
// several sizes and when the demand rises, and against one that sends far less while callers are rejected.
TEST(rate_limit, a_fleet_keeps_to_the_limits_of_endpoints_in_need)
{
    const std::vector<load> loads{
        {7, 14, 138, 1, 6.2, 10},
        {7, 14, 138, 3, 1.2, 14},
        {31, 204, 1550, 3, 1.6, 140},
        {119, 389, 2090, 3, 3.2, 272},
    };
    for (const load& simulated : loads) {
        simulated_fleet simulation(simulated);
        simulation.run(seconds(12));
        const double allowed =
            tolerated_factor * simulated.limit * core::to_seconds(window) + tolerated_requests;
        CHECK(static_cast<double>(simulation.find_most_in_window()) <= allowed);
        const double full_use = simulated.limit * simulated.limited_endpoints * 9;
        CHECK(simulation.rejected() == 0 ||
              static_cast<double>(simulation.sent_within_limits()) > 0.8 * full_use);
    }
}

// Guards against instances that all take the whole limit while they do not hear from the granter.
TEST(rate_limit, without_a_granter_each_instance_uses_its_share)
{
    load simulated{7, 14, 138, 3, 6.2, 10};
    simulated.has_granter = false;
    simulated_fleet simulation(simulated);
    simulation.run(seconds(24));
    CHECK(static_cast<double>(simulation.find_most_in_window()) <=
          tolerated_factor * simulated.limit * core::to_seconds(window) + tolerated_requests);
    CHECK(simulation.sent_within_limits() > 0);
}

// Guards against a share that counts from before the granter stopped answering: all instances would have a
// token at the same time.
TEST(rate_limit, a_share_counts_from_when_the_granter_stops_answering)
{
    target.rate_limit = 8;
    record_granter_answer(target, core::duration(0), start);
    CHECK_FALSE(take_share_token(target, fleet, start + seconds(60)));
    CHECK(target.token_expected_at == start + seconds(60) + milliseconds(500));
    CHECK_TRUE(take_share_token(target, fleet, start + seconds(90)));
    CHECK_FALSE(take_share_token(target, fleet, start + seconds(90)));
}

// Guards against a new granter that grants what the former one, which some instances still ask, grants as
// well, and against tokens that are saved up without limit.
TEST(rate_limit, a_granter_waits_before_it_takes_over_and_saves_up_few_tokens)
{
    CHECK(granter.take("a", 4, start) == rate_limit_granter::takeover_delay + milliseconds(250));
    CHECK_EQUAL(0U, count_granted(4, start + milliseconds(1200)));
    CHECK_EQUAL(1U, count_granted(4, start + milliseconds(1300)));
    // One, and those of a quarter of a second.
    CHECK_EQUAL(2U, count_granted(4, start + seconds(20)));
    granter.remove_idle(start + seconds(20) + rate_limit_granter::idle_lifetime);
    CHECK_EQUAL(0U, granter.size());
}

// Guards against an endpoint that receives nothing any more because it has named 0, so that it cannot lift
// the limit.
TEST(rate_limit, an_endpoint_that_names_0_is_asked_now_and_then)
{
    CHECK_EQUAL(0U, count_granted(0, start));
    CHECK_EQUAL(1U, count_granted(0, start + seconds(12)));
}

// Guards against a limit that goes on after the endpoint has lifted it.
TEST(rate_limit, a_token_is_needed_only_while_there_is_a_limit)
{
    CHECK_FALSE(is_rate_limited(target));
    target.rate_limit = 3;
    CHECK_TRUE(is_rate_limited(target));
}
