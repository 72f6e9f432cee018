// Turns what the store holds into what the request path reads: configurations, evacuations, endpoints and
// instances. One watch covers them all, since each waiting watch is a call to the store: an instance then
// costs the store about one call per second, however many kinds of entries it follows.

#pragma once

#include "core/findings.h"
#include "edge/deployment.h"
#include "edge/registration.h"
#include "edge/roster.h"
#include "edge/traffic_state.h"
#include "edge/upstreams.h"
#include "quota/fleet_quota.h"
#include "quota/shared_reserve.h"
#include "store/prefix_mirror.h"

#include <functional>
#include <memory>

namespace quetzalspan::edge
{

// What the feeds write to. Everything must outlive them.
struct store_watch_targets {
    traffic_state& state;
    endpoint_balancer& balancer;
    fleet_membership& membership;
    quota::fleet_quota& limits;
    quota::shared_reserve& reserve;
    registration& own_registration;
    // Called when the first configuration is in force.
    std::function<void()> on_configured;
};

// Runs on the executor given, which must be one thread or a strand.
class store_watcher
{
public:
    store_watcher(const boost::asio::any_io_executor& executor, std::shared_ptr<store::key_value_store> store,
                  const deployment& site, const instance_options& options, store_watch_targets targets);

    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    void start();
    void stop();

    // Whether the store was listed at least once.
    bool is_listed() const { return m_mirror->is_listed(); }

private:
    // Notices when answers of the store stopped for a while, which means that leases may have lapsed.
    class outage_detector
    {
    public:
        explicit outage_detector(core::duration limit) : m_limit(limit) {}
        // Returns whether the confirmation ends an outage.
        bool record_answer(core::instant now);

    private:
        core::duration m_limit;
        std::optional<core::instant> m_last_answer;
    };

    std::shared_ptr<store::prefix_mirror> make_mirror(const boost::asio::any_io_executor& executor);
    void on_entry(const std::string& key, const store::store_entry* entry);
    void on_answer();
    void on_update();
    void on_confirmed(core::boot_instant sent);
    void on_operator_entry(const std::string& key, const store::store_entry* entry);
    void update_evacuations();
    void on_endpoint_entry(const std::string& key, const store::store_entry* entry);
    void on_instance_entry(const std::string& key, const store::store_entry* entry);
    void update_fleet_size();
    static void log_findings(const std::string& key, std::uint64_t revision, const core::findings& found);

    std::shared_ptr<store::key_value_store> m_store;
    const deployment& m_deployment;
    const instance_options& m_options;
    store_watch_targets m_targets;
    outage_detector m_outage;
    std::shared_ptr<store::prefix_mirror> m_mirror;
};

} // namespace quetzalspan::edge
