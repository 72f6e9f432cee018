// Dispatches store entries by key prefix to the route table, the quotas, the endpoints and the fleet
// membership, and detects store outages.

#include "edge/store_watcher.h"

#include "core/log_event.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::edge
{

namespace
{

// A time without knowledge of the store that exceeds the interval of watches by more than this counts as an
// outage. An instance whose relay fails is without it for up to 1.7 s, in which no lease expires.
constexpr core::duration outage_margin = std::chrono::milliseconds(900);

// Time after a restore of the store within which operators, endpoints and instances have written again what
// the store has lost, and leases of instances that have ended since its copy was made have expired.
constexpr core::duration restore_settle_time = std::chrono::seconds(5);

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

} // namespace

bool store_watcher::outage_detector::record_answer(core::instant complete_until)
{
    const bool is_end = m_complete_until && complete_until - *m_complete_until > m_limit;
    m_complete_until = m_complete_until ? std::max(*m_complete_until, complete_until) : complete_until;
    return is_end;
}

store_watcher::store_watcher(const boost::asio::any_io_executor& executor,
                             std::shared_ptr<store::key_value_store> store, const deployment_adapter& adapter,
                             const instance_options& options, store_watch_targets targets)
    : m_store(std::move(store)),
      m_deployment(adapter),
      m_options(options),
      m_targets(std::move(targets)),
      m_outage(options.store_watch_timeout + options.store_watch_pause + outage_margin),
      m_mirror(make_mirror(executor))
{
}

void store_watcher::start()
{
    m_mirror->start();
}

void store_watcher::stop()
{
    m_mirror->stop();
}

std::shared_ptr<store::prefix_mirror> store_watcher::make_mirror(const boost::asio::any_io_executor& executor)
{
    store::mirror_options options;
    options.prefix = m_deployment.watch_prefix;
    options.watch_timeout = m_options.store_watch_timeout;
    options.watch_pause = m_options.store_watch_pause;
    options.serving_watch_timeout = m_options.relay_watch_timeout;
    options.serving_watch_pause = m_options.relay_watch_pause;
    options.ask_pause = m_options.peer_ask_pause;
    options.max_confirmation_age = m_options.max_confirmation_age;
    options.retry_pause = m_options.store_retry_pause;
    options.list_interval = core::duration(0);
    store::prefix_mirror::hooks hooks;
    hooks.on_entry = [this](const std::string& key, const store::store_entry* entry) {
        on_entry(key, entry);
    };
    hooks.on_call_succeeded = [this](core::boot_instant complete_until) {
        on_call_succeeded(complete_until);
    };
    hooks.on_update = [this] { on_update(); };
    hooks.on_confirmed = [this](core::boot_instant sent) { on_confirmed(sent); };
    hooks.on_restored = [this] { on_restored(); };
    hooks.mode = m_targets.watch_mode;
    hooks.ask_peer = m_targets.ask_peer;
    return store::prefix_mirror::create(executor, m_store, options, hooks);
}

void store_watcher::on_entry(const std::string& key, const store::store_entry* entry)
{
    if (is_deferred(key, entry)) {
        return;
    }
    // An entry that cannot be applied must not keep the others from being applied or confirmed.
    try {
        apply_entry(key, entry);
    } catch (const std::exception& error) {
        core::warning_event("entry_rejected").with("key", key).with("findings", error.what());
        if (key.starts_with(m_deployment.endpoint_prefix)) {
            m_targets.balancer.remove(m_deployment.endpoint_id(key), current_time());
        }
    }
}

void store_watcher::apply_entry(const std::string& key, const store::store_entry* entry)
{
    if (key.starts_with(m_deployment.operator_prefix)) {
        on_operator_entry(key, entry);
    } else if (key.starts_with(m_deployment.endpoint_prefix)) {
        on_endpoint_entry(key, entry);
    } else if (key.starts_with(instance_prefix)) {
        on_instance_entry(key, entry);
    }
}

void store_watcher::on_call_succeeded(core::boot_instant complete_until)
{
    const core::instant now = current_time();
    const core::instant age_subtracted = now - (core::boot_clock::now() - complete_until);
    if (m_outage.record_answer(age_subtracted)) {
        m_targets.balancer.begin_removal_grace_period(now);
        m_targets.membership.begin_removal_grace_period(now);
        core::info_event("absence_grace_begun").with("cause", "store-was-away");
    }
}

void store_watcher::on_restored()
{
    const core::instant now = current_time();
    m_is_applying_restored = true;
    m_settled_at = now + restore_settle_time;
    m_targets.balancer.begin_removal_grace_period(now);
    m_targets.membership.begin_removal_grace_period(now);
    m_targets.own_registration.handle_restored_store();
    core::info_event("absence_grace_begun").with("cause", "store-was-restored");
}

bool store_watcher::is_deferred(const std::string& key, const store::store_entry* entry)
{
    const bool is_endpoint = key.starts_with(m_deployment.endpoint_prefix);
    const bool is_instance = key.starts_with(instance_prefix);
    const bool is_unknown =
        (is_endpoint && !m_targets.balancer.knows(m_deployment.endpoint_id(key))) ||
        (is_instance && !m_targets.membership.is_member(key.substr(instance_prefix.size())));
    if (!m_is_applying_restored || entry == nullptr || !is_unknown) {
        m_deferred_keys.erase(key);
        return false;
    }
    m_deferred_keys.insert(key);
    core::info_event("entry_deferred").with("key", key).with("revision", entry->revision);
    return true;
}

void store_watcher::apply_deferred()
{
    for (const std::string& key : std::exchange(m_deferred_keys, {})) {
        const std::map<std::string, store::store_entry>::const_iterator entry = m_mirror->entries().find(key);
        if (entry != m_mirror->entries().end()) {
            on_entry(key, &entry->second);
        }
    }
}

void store_watcher::on_update()
{
    m_is_applying_restored = false;
    update_evacuations();
    update_fleet_size();
}

void store_watcher::on_confirmed(core::boot_instant sent)
{
    m_targets.state.confirm(sent);
    m_targets.balancer.record_discovery(current_time() - (core::boot_clock::now() - sent));
    if (m_settled_at != core::instant() && current_time() >= m_settled_at) {
        m_settled_at = core::instant();
        apply_deferred();
        on_update();
    }
    if (m_targets.membership.remove_missing(current_time())) {
        update_fleet_size();
    }
}

void store_watcher::log_findings(const std::string& key, std::uint64_t revision, const core::findings& found)
{
    if (!found.is_empty()) {
        core::warning_event("entry_rejected")
            .with("key", key)
            .with("revision", revision)
            .with("findings", found.to_text());
    }
}

void store_watcher::on_operator_entry(const std::string& key, const store::store_entry* entry)
{
    if (entry == nullptr || !m_deployment.is_configuration(key)) {
        return;
    }
    core::findings found;
    std::optional<routing::configuration> configuration = m_deployment.read_configuration(*entry, found);
    log_findings(key, entry->revision, found);
    if (!configuration) {
        return;
    }
    const route_table_pointer table = routing::route_table::create(std::move(*configuration));
    const bool is_first = m_targets.state.table() == nullptr;
    if (!m_targets.state.publish(table)) {
        core::info_event("older_configuration_ignored").with("version", table->version());
        return;
    }
    m_targets.balancer.set_table(table);
    std::vector<quota::workspace_limit> limits;
    for (const routing::workspace& workspace : table->source().workspaces) {
        limits.push_back({workspace.name, workspace.rate, workspace.burst});
    }
    m_targets.limits.set_limits(limits, current_time());
    m_targets.reserve.set_limits(limits, current_time());
    core::info_event("configuration_in_force")
        .with("version", table->version())
        .with("revision", entry->revision)
        .with("routes", table->source().routes.size())
        .with("workspaces", table->source().workspaces.size());
    if (is_first && m_targets.on_configured) {
        m_targets.on_configured();
    }
}

void store_watcher::update_evacuations()
{
    std::set<std::string> zones;
    for (const auto& [key, entry] : m_mirror->entries()) {
        const std::optional<std::string> zone =
            key.starts_with(m_deployment.operator_prefix) ? m_deployment.read_evacuation(key) : std::nullopt;
        if (zone) {
            zones.insert(*zone);
        }
    }
    if (m_settled_at != core::instant()) {
        zones.insert(m_evacuated_zones.begin(), m_evacuated_zones.end());
    }
    m_evacuated_zones = zones;
    m_targets.balancer.set_evacuated_zones(zones, current_time());
}

void store_watcher::on_endpoint_entry(const std::string& key, const store::store_entry* entry)
{
    if (entry == nullptr) {
        m_targets.balancer.remove(m_deployment.endpoint_id(key), current_time());
        return;
    }
    core::findings found;
    const std::optional<placement::endpoint_record> record = m_deployment.read_endpoint(*entry, found);
    log_findings(key, entry->revision, found);
    if (!record) {
        m_targets.balancer.remove(m_deployment.endpoint_id(key), current_time());
        return;
    }
    m_targets.balancer.apply(*record, !m_mirror->has_listed(), current_time());
}

void store_watcher::on_instance_entry(const std::string& key, const store::store_entry* entry)
{
    const std::string name = key.substr(instance_prefix.size());
    if (entry == nullptr) {
        m_targets.membership.remove(name, current_time());
        core::info_event("instance_gone").with("peer", name);
        return;
    }
    try {
        const instance_record record = parse_instance_record(entry->value, key);
        if (record.instance != name) {
            core::warning_event("entry_rejected")
                .with("key", key)
                .with("findings", "is for another instance");
            return;
        }
        if (record.instance == m_options.instance) {
            m_targets.own_registration.set_known_revision(entry->revision);
        }
        m_targets.membership.put(record, current_time());
        core::info_event("instance_known")
            .with("peer", record.instance)
            .with("phase", instance_phase_names.name(record.phase))
            .with("revision", entry->revision);
    } catch (const core::findings_error& error) {
        core::warning_event("entry_rejected").with("key", key).with("findings", error.what());
    }
}

void store_watcher::update_fleet_size()
{
    const std::size_t size = m_targets.membership.size();
    m_targets.limits.set_fleet_size(size, current_time());
    m_targets.reserve.set_fleet_size(size, current_time());
}

} // namespace quetzalspan::edge
