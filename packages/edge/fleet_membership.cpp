// Tracks the members of the fleet, orders the collectors and the granters by a hash of their names, and
// decides which members are alive.

#include "edge/fleet_membership.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <functional>

namespace quetzalspan::edge
{

namespace
{

// With two collectors, one still works while the other is gone and has not been replaced yet.
constexpr std::size_t collector_count = 2;

// Hash seed that makes the order of collectors independent of other uses of the hash of an instance's name.
constexpr std::uint64_t collector_seed = 0x636f6c6c65637473U;
// The same for the order of granters.
constexpr std::uint64_t granter_seed = 0x6772616e74657273U;

// The same for the choice of a region's relay.
constexpr std::uint64_t relay_seed = 0x72656c6179U;

// The same for the choice of the collectors of load.
constexpr std::uint64_t load_collector_seed = 0x6c6f6164U;

// With fewer instances in a region, the shorter intervals of the relay cost as many calls as it saves.
constexpr std::size_t min_relayed_instances = 4;

// A token is asked for from one granter and, if it does not answer, from a second one.
constexpr std::size_t granter_count = 2;

// Instances that are kept in the order of granters of a workspace. More than granter_count, because some may
// be silent while the store still lists them.
constexpr std::size_t granter_candidate_count = 6;

} // namespace

fleet_membership::fleet_membership(membership_options options) : m_options(std::move(options))
{
    update_collectors();
}

void fleet_membership::put(const instance_record& record, core::instant)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    member& entry = m_members[record.instance];
    entry.record = record;
    entry.missing_since.reset();
    update_collectors();
}

void fleet_membership::remove(const std::string& instance, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<std::string, member, std::less<>>::iterator known = m_members.find(instance);
    if (known == m_members.end()) {
        return;
    }
    if (now < m_grace_until) {
        known->second.missing_since = now;
        return;
    }
    m_members.erase(known);
    update_collectors();
}

void fleet_membership::begin_removal_grace_period(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_grace_until = now + m_options.removal_grace_period;
}

bool fleet_membership::remove_missing(core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (now < m_grace_until) {
        return false;
    }
    const std::size_t dropped =
        std::erase_if(m_members, [](const std::pair<const std::string, member>& entry) {
            return entry.second.missing_since.has_value();
        });
    if (dropped > 0) {
        update_collectors();
    }
    return dropped > 0;
}

void fleet_membership::update_collectors()
{
    m_granter_order.clear();
    m_collector_order.assign(1, m_options.own_instance);
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance && entry.record.phase == instance_phase::serving) {
            m_collector_order.push_back(name);
        }
    }
    std::sort(m_collector_order.begin(), m_collector_order.end(),
              [](const std::string& left, const std::string& right) {
                  return core::stable_hash(left, collector_seed) < core::stable_hash(right, collector_seed);
              });
    const bool is_collector = is_designated_collector(m_options.own_instance);
    if (is_collector && !m_is_collector) {
        // Instances had no reason to send messages here while this instance was not a collector, so the times
        // recorded during an earlier term as collector must not make them look silent.
        for (auto& [name, entry] : m_members) {
            entry.last_heard.reset();
        }
    }
    m_is_collector = is_collector;
}

bool fleet_membership::is_designated_collector(const std::string& name) const
{
    const std::vector<std::string>::const_iterator end =
        m_collector_order.begin() +
        static_cast<std::ptrdiff_t>(std::min(collector_count, m_collector_order.size()));
    return std::find(m_collector_order.begin(), end, name) != end;
}

void fleet_membership::record_message_from(const std::string& instance, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<std::string, member, std::less<>>::iterator known = m_members.find(instance);
    if (known != m_members.end()) {
        known->second.last_heard = now;
    }
}

bool fleet_membership::record_silence_report(const std::string& collector,
                                             std::set<std::string, std::less<>> silent, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    silence_report& report = m_silence_reports[collector];
    const bool is_changed = report.silent != silent;
    report = {now, std::move(silent)};
    return is_changed;
}

std::vector<std::string> fleet_membership::choose_collectors(core::instant now) const
{
    std::vector<std::string> result;
    for (const std::string& name : m_collector_order) {
        if (result.size() == collector_count) {
            break;
        }
        if (name == m_options.own_instance || is_usable(name, m_members.find(name)->second, now)) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<instance_record> fleet_membership::collectors(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<instance_record> result;
    for (const std::string& name : choose_collectors(now)) {
        if (name != m_options.own_instance) {
            result.push_back(m_members.find(name)->second.record);
        }
    }
    return result;
}

const std::vector<std::string>& fleet_membership::find_granter_order(const std::string& workspace) const
{
    std::vector<std::string>& order = m_granter_order[workspace];
    if (!order.empty()) {
        return order;
    }
    const std::uint64_t workspace_hash = core::stable_hash(workspace, granter_seed);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    for (const std::string& name : m_collector_order) {
        const std::map<std::string, member, std::less<>>::const_iterator listed = m_members.find(name);
        // This instance is in the order of collectors also while it is leaving.
        if (listed == m_members.end() || listed->second.record.phase == instance_phase::serving) {
            ranked.emplace_back(core::mix_hash(workspace_hash ^ core::stable_hash(name, granter_seed)),
                                &name);
        }
    }
    const std::size_t kept = std::min(granter_candidate_count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(),
                      std::greater<>());
    for (std::size_t index = 0; index < kept; ++index) {
        order.push_back(*ranked[index].second);
    }
    return order;
}

std::vector<std::optional<instance_record>> fleet_membership::granters(const std::string& workspace,
                                                                       core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<std::optional<instance_record>> result;
    for (const std::string& name : find_granter_order(workspace)) {
        if (result.size() == granter_count) {
            break;
        }
        if (name == m_options.own_instance) {
            result.emplace_back(std::nullopt);
            continue;
        }
        const member& candidate = m_members.find(name)->second;
        if (is_usable(name, candidate, now)) {
            result.emplace_back(candidate.record);
        }
    }
    return result;
}

designated_instance fleet_membership::find_endpoint_granter(const std::string& endpoint) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::vector<std::string>& order = find_granter_order("endpoint " + endpoint);
    if (order.empty()) {
        return {};
    }
    const std::string& name = order.front();
    if (name == m_options.own_instance) {
        return {true, std::nullopt};
    }
    return {false, m_members.find(name)->second.record};
}

designated_instance fleet_membership::find_relay(const std::string& region, core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::pair<const std::string, member>* first = nullptr;
    std::uint64_t first_hash = 0;
    std::size_t count = 0;
    for (const std::pair<const std::string, member>& entry : m_members) {
        const bool is_own = entry.first == m_options.own_instance;
        if (entry.second.record.region != region || entry.second.record.phase != instance_phase::serving ||
            !(is_own || is_usable(entry.first, entry.second, now))) {
            continue;
        }
        ++count;
        const std::uint64_t hash = core::stable_hash(entry.first, relay_seed);
        if (first == nullptr || hash < first_hash) {
            first = &entry;
            first_hash = hash;
        }
    }
    if (count < min_relayed_instances) {
        return {};
    }
    const bool is_own = first->first == m_options.own_instance;
    return {is_own, is_own ? std::nullopt : std::optional<instance_record>(first->second.record)};
}

std::map<std::string, designated_instance> fleet_membership::find_load_collectors(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::map<std::string, std::pair<std::uint64_t, const instance_record*>> first;
    for (const auto& [name, entry] : m_members) {
        const bool is_own = name == m_options.own_instance;
        if (entry.record.phase != instance_phase::serving || !(is_own || is_usable(name, entry, now))) {
            continue;
        }
        const std::uint64_t hash = core::stable_hash(name, load_collector_seed);
        const auto [found, is_new] = first.try_emplace(entry.record.availability_zone, hash, &entry.record);
        if (!is_new && hash < found->second.first) {
            found->second = {hash, &entry.record};
        }
    }
    std::map<std::string, designated_instance> result;
    for (const auto& [zone, chosen] : first) {
        const bool is_own = chosen.second->instance == m_options.own_instance;
        result[zone] = {is_own, is_own ? std::nullopt : std::optional<instance_record>(*chosen.second)};
    }
    return result;
}

std::vector<instance_record> fleet_membership::others_in_zone(const std::string& zone) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<instance_record> result;
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance && entry.record.availability_zone == zone &&
            entry.record.phase == instance_phase::serving) {
            result.push_back(entry.record);
        }
    }
    return result;
}

bool fleet_membership::is_silent_sender(const std::string& name, const member& candidate,
                                        core::instant now) const
{
    // A collector receives messages from all instances; any other instance receives them from collectors
    // only.
    const bool is_sender = m_is_collector || is_designated_collector(name);
    return is_sender && candidate.last_heard && now - *candidate.last_heard > m_options.peer_timeout;
}

std::set<std::string, std::less<>> fleet_membership::silent_senders(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::set<std::string, std::less<>> result;
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance && is_silent_sender(name, entry, now)) {
            result.insert(name);
        }
    }
    return result;
}

bool fleet_membership::is_member(const std::string& instance) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_members.contains(instance);
}

std::vector<instance_record> fleet_membership::others() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<instance_record> result;
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance) {
            result.push_back(entry.record);
        }
    }
    return result;
}

std::uint32_t fleet_membership::size() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const bool is_own_listed = m_members.contains(m_options.own_instance);
    return static_cast<std::uint32_t>(m_members.size() + (is_own_listed ? 0 : 1));
}

placement::fleet_view fleet_membership::view() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    placement::fleet_view result;
    result.own_hash = core::stable_hash(m_options.own_instance);
    result.instance_hashes.push_back(result.own_hash);
    const std::map<std::string, member, std::less<>>::const_iterator own =
        m_members.find(m_options.own_instance);
    for (const auto& [name, entry] : m_members) {
        if (name != m_options.own_instance) {
            result.instance_hashes.push_back(core::stable_hash(name));
            const bool is_in_region =
                own != m_members.end() && entry.record.region == own->second.record.region;
            result.region_size += is_in_region ? 1 : 0;
        }
    }
    std::sort(result.instance_hashes.begin(), result.instance_hashes.end());
    result.size = static_cast<std::uint32_t>(result.instance_hashes.size());
    return result;
}

bool fleet_membership::is_reported_silent(const std::string& name, core::instant now) const
{
    bool is_reported = false;
    for (const auto& [collector, report] : m_silence_reports) {
        if (collector == name || now - report.received > m_options.report_lifetime) {
            continue;
        }
        // Some collector still receives messages from the instance, so it is alive; only its network paths to
        // other collectors may have failed.
        if (!report.silent.contains(name)) {
            return false;
        }
        is_reported = true;
    }
    return is_reported;
}

bool fleet_membership::is_usable(const std::string& name, const member& candidate, core::instant now) const
{
    return candidate.record.phase == instance_phase::serving && !is_silent_sender(name, candidate, now) &&
           !is_reported_silent(name, now);
}

std::vector<instance_record> fleet_membership::look_up(const std::string& client_region,
                                                       const instance_record& own, core::instant now) const
{
    std::vector<instance_record> usable;
    if (own.phase == instance_phase::serving) {
        usable.push_back(own);
    }
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        for (const auto& [name, entry] : m_members) {
            if (name != m_options.own_instance && is_usable(name, entry, now)) {
                usable.push_back(entry.record);
            }
        }
    }
    std::vector<instance_record> in_region;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(in_region),
                 [&client_region](const instance_record& entry) { return entry.region == client_region; });
    return in_region.empty() ? usable : in_region;
}

} // namespace quetzalspan::edge
