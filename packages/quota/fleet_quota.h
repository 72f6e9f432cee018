// Enforces each workspace's rate limit over the whole fleet by giving every instance a share of the limit.
// Instances report their demand to a collector, which returns the sums, and each instance derives its share
// from them. An instance that the collector has not heard from recently is assumed to use an even share, and
// an instance without recent sums uses that share, so that a lost or late message lets no workspace exceed
// its limit.

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
    // The length of the sliding window in which the admitted requests of all instances are compared with the
    // limit.
    core::duration window = std::chrono::seconds(5);
    // The tolerated excess over the limit in one window: a fraction of the requests that the limit permits,
    // plus a number of requests.
    double tolerated_excess_fraction = 0;
    double tolerated_excess_requests = 0;
    // The fraction of the tolerance that is added to the burst. The rest covers periods in which instances
    // disagree about the members of the fleet.
    double used_tolerance_fraction = 0.5;
    // The fraction of its even share that an instance keeps without any demand. It admits the first requests
    // of a workspace that is new to the instance.
    double guaranteed_share_fraction = 0.3;
    // The fraction of a limit that is partitioned into shares, if the limit is large enough for the fleet;
    // single tokens of the rest are granted on request (see grantable_reserve).
    double partitioned_fraction = 0.6;
    // A limit below this many requests per second per instance is not partitioned at all, because its
    // requests seldom arrive at an instance that has a token left. Its demand is not reported either, which
    // keeps the messages of a large fleet small.
    double min_partitioned_rate_per_instance = 0.5;
    core::duration demand_time_constant = std::chrono::milliseconds(1000);
    // The sequence number of the first report. It must be higher than those from earlier runs of the
    // instance.
    std::uint64_t first_report_sequence = 1;
    // Sums that were received longer ago than this are ignored.
    core::duration sums_lifetime = std::chrono::milliseconds(1600);
};

struct workspace_limit {
    std::string workspace;
    // Requests per second over the whole fleet; 0 means no limit.
    double rate = 0;
    // Requests that the whole fleet may admit at once above the rate.
    double burst = 0;
};

struct quota_decision {
    bool is_admitted = false;
    // The time after which the caller may try again; zero if unknown.
    core::duration retry_after{0};
    // The part of the requests of the last seconds at this instance that were admitted, from 0 to 1.
    double admitted_fraction = 1;
    // The values behind the decision, for logs: this instance's share of the limit from 0 to 1, the tokens
    // left in the bucket, and this instance's demand in requests per second. Zero where they do not apply.
    double share = 0;
    double tokens = 0;
    double demand = 0;
};

// Returns the burst of a workspace over the whole fleet in requests: the configured burst and the used
// fraction of the tolerance.
double compute_fleet_burst(const workspace_limit& limit, const quota_options& options);

// Returns the fraction of a limit that is partitioned into shares in a fleet of the given size. Returns 0 if
// the rate is too low for that, or if one token for each instance would exceed the burst of the fleet.
double compute_partitioned_fraction(const workspace_limit& limit, std::size_t fleet_size,
                                    const quota_options& options);

// Returns this instance's share of the partitioned limit, from 0 to 1. own_demand and other_demand are in
// requests per second; other_demand is the sum over the other reporters. reporter_count includes this
// instance. The shares of all instances sum to at most 1, because members of the fleet that did not report
// are assumed to use their even share.
double compute_instance_share(double own_demand, double other_demand, std::size_t reporter_count,
                              std::size_t fleet_size, double guaranteed_share_fraction);

// Thread-safe.
class fleet_quota
{
public:
    explicit fleet_quota(quota_options options) : m_options(options) {}

    fleet_quota(const fleet_quota&) = delete;
    fleet_quota& operator=(const fleet_quota&) = delete;

    // Replaces all limits. Workspaces that had a limit before keep their tokens and measured demand.
    void set_limits(const std::vector<workspace_limit>& limits, core::instant now);

    // Sets the number of instances in the fleet, including this one.
    void set_fleet_size(std::size_t size, core::instant now);

    // Stores the sums that a collector sent. A collector sends sums only to instances whose reports they
    // include. Sums that acknowledge none of this instance's recent reports are ignored.
    void record_sums(const std::string& collector, const demand_sums& sums, core::instant now);

    // Decides whether to admit one request. A workspace without a limit is always admitted.
    quota_decision admit(std::string_view workspace, core::instant now);

    // Empties the token buckets, as after a restart. Called when the other instances may have divided this
    // instance's share among themselves.
    void discard_tokens(core::instant now);

    // Counts a request that admit() rejected and that was admitted by a token of the reserve.
    void record_reserve_token(std::string_view workspace, core::instant now);

    // Returns the number of instances that reported to the collector that the most instances report to, or 0
    // if no collector was heard within the lifetime of its sums.
    std::size_t reporter_count(core::instant now) const;

    // Recomputes this instance's shares from the current demand and the stored sums.
    void rebalance(core::instant now);

    // Creates a report of this instance's demand by workspace, without workspaces whose demand is negligible
    // or whose limit is not partitioned.
    demand_report make_report(core::instant now);

private:
    struct workspace_state {
        workspace_state(const quota_options& options, core::instant now)
            : bucket(now),
              demand(options.demand_time_constant, now),
              admitted(options.demand_time_constant, now)
        {
        }

        workspace_limit limit;
        token_bucket bucket;
        demand_meter demand;
        // The requests that were admitted, by a share or by a token of the reserve.
        demand_meter admitted;
        // This instance's share of the partitioned limit, from 0 to 1.
        double share = 0;
    };

    // Sums from a collector, with this instance's own rates that they include.
    struct received_sums {
        demand_sums sums;
        demand_rates own_rates;
        core::instant received_at;
    };

    // The caller must hold m_mutex.
    void rebalance_locked(core::instant now);
    // Returns null if no sums were received within their lifetime.
    const received_sums* find_sums_with_most_reporters(core::instant now) const;
    void apply_share(workspace_state& target, core::instant now) const;

    quota_options m_options;
    mutable std::mutex m_mutex;
    // The members below are guarded by m_mutex.
    // Keyed by the name of the workspace.
    std::map<std::string, workspace_state, std::less<>> m_workspaces;
    std::size_t m_fleet_size = 1;
    // Keyed by the name of the collector.
    std::map<std::string, received_sums, std::less<>> m_sums;
    // This instance's latest reports, oldest first. They tell which part of received sums is its own demand.
    std::deque<demand_report> m_recent_reports;
    std::uint64_t m_report_sequence = 0;
};

} // namespace quetzalspan::quota
