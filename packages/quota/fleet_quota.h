// Holds each workspace's rate and burst over the whole fleet. Each instance enforces a share of the limit.
// The shares follow the demand that instances report to a collector, which returns the sums; an instance that
// the collector has not heard of lately is left its even share, so that a message that is lost or late lets
// no workspace above its limit.

#pragma once

#include "quota/demand.h"
#include "quota/demand_meter.h"
#include "quota/token_bucket.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::quota
{

struct quota_options {
    // The window over which the sum of all instances is judged, and what is tolerated above the limit: a
    // share of it and a number of requests.
    core::duration window = std::chrono::seconds(5);
    double tolerated_share = 0;
    double tolerated_requests = 0;
    // Part of the tolerance that is used; the rest covers instances that disagree about the fleet for a
    // while.
    double tolerance_use = 0.5;
    // Part of its even share that an instance keeps whatever its demand is, for the first requests of a
    // workspace that it has not seen.
    double floor_share = 0.3;
    // Part of a limit that is divided into shares; the rest is granted by request. It shrinks for limits of
    // less than the rate for each instance, whose requests seldom find the token of their instance.
    double shared_part = 0.6;
    double least_shared_part = 0.2;
    double shared_rate = 0.5;
    core::duration demand_time_constant = std::chrono::milliseconds(1000);
    // Sequence of the first report; higher than those of earlier starts of the instance.
    std::uint64_t first_report = 1;
    // Sums that were received longer ago than this are not used.
    core::duration demand_lifetime = std::chrono::milliseconds(1600);
};

struct workspace_limit {
    std::string workspace;
    // Requests per second of the whole fleet; 0 for no limit.
    double rate = 0;
    double burst = 0;
};

struct quota_decision {
    bool is_admitted = false;
    // When to try again; zero if unknown.
    core::duration retry_after{0};
    // What decided: the share of the limit, the tokens left and the own demand.
    double share = 0;
    double tokens = 0;
    double demand = 0;
};

// Returns the burst of a workspace over the whole fleet, with the used part of the tolerance.
double burst_of(const workspace_limit& limit, const quota_options& options);

// Returns the part of a limit that is divided into shares in a fleet of the size. It is zero if one token for
// each instance would be more than the burst.
double shared_part_of(const workspace_limit& limit, std::size_t fleet_size, const quota_options& options);

// Returns the part of a limit, from 0 to 1, that an instance may use. The demand of the other reporters is
// summed; a fleet of the given size has further instances that did not report.
double share_of_limit(double own_demand, double others_demand, std::size_t reporters, std::size_t fleet_size,
                      double floor_share);

// Threads may share a quota.
class fleet_quota
{
public:
    explicit fleet_quota(quota_options options) : m_options(options) {}

    fleet_quota(const fleet_quota&) = delete;
    fleet_quota& operator=(const fleet_quota&) = delete;

    void set_limits(const std::vector<workspace_limit>& limits, core::instant now);

    // Sets the number of instances of the fleet, this one included.
    void set_fleet_size(std::size_t size, core::instant now);

    // Takes over sums that a collector sent. A collector sends them only to instances whose report they
    // contain.
    void record_sums(const std::string& collector, const demand_sums& sums, core::instant now);

    // Decides about one request. A workspace without a limit is always admitted.
    quota_decision admit(std::string_view workspace, core::instant now);

    // Divides the limits anew by the present demand.
    void rebalance(core::instant now);

    // Makes a report of the own demand by workspace. Leaves out what is too small to matter.
    demand_report make_report(core::instant now);

private:
    struct account {
        account(const quota_options& options, core::instant now)
            : bucket(now), demand(options.demand_time_constant, now)
        {
        }

        workspace_limit limit;
        token_bucket bucket;
        demand_meter demand;
        double share = 0;
    };

    // Sums as they were received, with the own part that they contain.
    struct received_sums {
        demand_sums sums;
        demand_rates own_part;
        core::instant received;
    };

    void rebalance_locked(core::instant now);
    const received_sums* find_newest_sums(core::instant now) const;
    void apply_share(account& target, core::instant now) const;

    quota_options m_options;
    std::mutex m_guard;
    // The rest is guarded by m_guard.
    std::map<std::string, account, std::less<>> m_accounts;
    std::size_t m_fleet_size = 1;
    // By collector.
    std::map<std::string, received_sums, std::less<>> m_sums;
    // The newest reports, oldest first, to know which part of received sums is the own one.
    std::deque<demand_report> m_reports;
    std::uint64_t m_report_sequence = 0;
};

} // namespace quetzalspan::quota
