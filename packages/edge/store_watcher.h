// Watches the key-value store and applies its entries to the state that the request path reads:
// configurations, evacuated zones, endpoints and instances. A single watch covers all kinds of entries,
// because each pending watch is a call to the store: an instance costs the store about one call per second,
// however many kinds of entries it follows.

#pragma once

#include "core/findings.h"
#include "edge/deployment_adapter.h"
#include "edge/endpoint_balancer.h"
#include "edge/fleet_membership.h"
#include "edge/registration.h"
#include "edge/traffic_state.h"
#include "quota/fleet_quota.h"
#include "quota/shared_reserve.h"
#include "store/prefix_mirror.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace quetzalspan::edge
{

// The objects that the watcher updates. All of them must outlive the watcher.
struct store_watch_targets {
    traffic_state& state;
    endpoint_balancer& balancer;
    fleet_membership& membership;
    quota::fleet_quota& limits;
    quota::grantable_reserve& reserve;
    registration& own_registration;
    // Called once, after the first configuration has been published.
    std::function<void()> on_configured;
    // How the watcher learns of changes, and how it asks a peer; see store::prefix_mirror::hooks.
    std::function<store::watch_mode()> watch_mode;
    std::function<boost::asio::awaitable<std::optional<store::peer_confirmation>>()> ask_peer;
};

// Runs on the given executor, which must be single-threaded or a strand.
class store_watcher
{
public:
    store_watcher(const boost::asio::any_io_executor& executor, std::shared_ptr<store::key_value_store> store,
                  const deployment_adapter& adapter, const instance_options& options,
                  store_watch_targets targets);

    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    void start();
    void stop();

    // Returns what the copy of the store can confirm to other instances.
    std::optional<store::peer_confirmation> confirmation() const { return m_mirror->confirmation(); }
    // Returns whether at least one listing of the store has succeeded.
    bool has_listed() const { return m_mirror->has_listed(); }

private:
    // Detects times without knowledge of the store that are long enough for leases to have expired.
    class outage_detector
    {
    public:
        explicit outage_detector(core::duration limit) : m_limit(limit) {}
        // Records an answer that was complete up to the given time. Returns whether this is later than that
        // of the previous answer by more than the limit.
        bool record_answer(core::instant complete_until);

    private:
        core::duration m_limit;
        std::optional<core::instant> m_complete_until;
    };

    std::shared_ptr<store::prefix_mirror> make_mirror(const boost::asio::any_io_executor& executor);
    void on_entry(const std::string& key, const store::store_entry* entry);
    void apply_entry(const std::string& key, const store::store_entry* entry);
    void on_call_succeeded(core::boot_instant complete_until);
    void on_update();
    void on_confirmed(core::boot_instant sent);
    void on_restored();
    // Returns whether an entry is left aside because it may be one that was deleted in the changes that the
    // restored store has lost.
    bool is_deferred(const std::string& key, const store::store_entry* entry);
    // Applies the entries that were left aside and are still there.
    void apply_deferred();
    void on_operator_entry(const std::string& key, const store::store_entry* entry);
    void update_evacuations();
    void on_endpoint_entry(const std::string& key, const store::store_entry* entry);
    void on_instance_entry(const std::string& key, const store::store_entry* entry);
    void update_fleet_size();
    static void log_findings(const std::string& key, std::uint64_t revision, const core::findings& found);

    std::shared_ptr<store::key_value_store> m_store;
    const deployment_adapter& m_deployment;
    const instance_options& m_options;
    store_watch_targets m_targets;
    outage_detector m_outage;
    // Whether the entries of the first listing after a restore of the store are being applied.
    bool m_is_applying_restored = false;
    // Until this time, evacuations that the restored store does not list stay in force, and deferred entries
    // are not applied.
    core::instant m_settled_at;
    std::set<std::string> m_deferred_keys;
    std::set<std::string> m_evacuated_zones;
    std::shared_ptr<store::prefix_mirror> m_mirror;
};

} // namespace quetzalspan::edge
