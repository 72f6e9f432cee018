// The members of the fleet, as listed in the store, and their liveness, as seen from the messages between
// instances. Two instances act as collectors: they receive the messages of all others and report those that
// have stopped sending. Failure detection thus costs each instance only a few messages.

#pragma once

#include "edge/instance_record.h"
#include "placement/cold_start.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalspan::edge
{

struct membership_options {
    std::string own_instance;
    // A peer that should send messages to this instance and has sent some before is left out of lookups when
    // nothing was received from it for longer than this.
    core::duration peer_timeout = std::chrono::milliseconds(2500);
    // How long after an outage of the store members are kept although their records have expired: running
    // instances write their records again soon after the store is back.
    core::duration removal_grace_period = std::chrono::milliseconds(2500);
    // How long a collector's report of silent instances is valid: two intervals between its messages and a
    // margin.
    core::duration report_lifetime = std::chrono::milliseconds(1300);
};

// The instance that has a duty for others.
struct designated_instance {
    // Whether it is this instance.
    bool is_own = false;
    // No value if it is this instance, or if there is none at present.
    std::optional<instance_record> other;
};

// Thread-safe.
class fleet_membership
{
public:
    explicit fleet_membership(membership_options options);

    fleet_membership(const fleet_membership&) = delete;
    fleet_membership& operator=(const fleet_membership&) = delete;

    void put(const instance_record& record, core::instant now);
    void remove(const std::string& instance, core::instant now);
    // Starts the grace period in which remove() keeps members. Called when an outage of the store has ended.
    void begin_removal_grace_period(core::instant now);
    // After the grace period, drops the members whose records are still missing. Returns whether any was
    // dropped.
    bool remove_missing(core::instant now);

    // Records that a message was received from the instance.
    void record_message_from(const std::string& instance, core::instant now);
    // Records the instances that a collector no longer receives messages from. Returns whether they differ
    // from those in the collector's previous report.
    bool record_silence_report(const std::string& collector, std::set<std::string, std::less<>> silent,
                               core::instant now);

    // Returns the collectors to which this instance sends its messages. All instances with the same view of
    // the fleet choose the same two. An instance that is silent is skipped.
    std::vector<instance_record> collectors(core::instant now) const;
    // Returns the instances that may grant tokens from the reserve of a workspace's limit, in the order in
    // which they are asked. An element without a record stands for this instance. Workspaces are spread over
    // all serving instances by a hash, so that no instance grants for all of them. An instance that is silent
    // is skipped. At most two; none if only silent instances come first in the order.
    std::vector<std::optional<instance_record>> granters(const std::string& workspace,
                                                         core::instant now) const;
    // Returns the instance that grants the tokens of the endpoint's rate limit, chosen by a hash among the
    // serving instances that the store lists. It is not replaced while it is silent: instances disagree about
    // which ones are, and each of two granters would grant the whole rate.
    designated_instance find_endpoint_granter(const std::string& endpoint) const;
    // Returns which instance of the region asks the store on behalf of the others. With few instances in the
    // region there is none.
    designated_instance find_relay(const std::string& region, core::instant now) const;
    // Returns which instance of each availability zone collects the load of endpoints and distributes it in
    // its zone, by zone. Chosen by a hash among the zone's instances; an instance that is silent is skipped.
    std::map<std::string, designated_instance> find_load_collectors(core::instant now) const;
    // Returns the serving instances of the availability zone but this one.
    std::vector<instance_record> others_in_zone(const std::string& zone) const;
    // Returns the instances that should send messages to this one, have sent some before and have now been
    // silent for longer than the peer timeout.
    std::set<std::string, std::less<>> silent_senders(core::instant now) const;
    // Returns whether the instance is a member: its record is in the store, or expired within the grace
    // period.
    bool is_member(const std::string& instance) const;

    // Returns the records of all members but this instance.
    std::vector<instance_record> others() const;

    // Returns the number of instances, this one included.
    std::uint32_t size() const;

    // Returns the position of this instance among all by the hash of its name.
    placement::fleet_view view() const;

    // Returns the instances that a client in the region should use: those of its region or, if the region has
    // none, those of all regions. This instance is represented by `own`, whether or not the store lists it.
    std::vector<instance_record> look_up(const std::string& client_region, const instance_record& own,
                                         core::instant now) const;

private:
    struct member {
        instance_record record;
        // When the last message was received; no value if there was none.
        std::optional<core::instant> last_heard;
        // When the record was found missing during the grace period; no value while it is in the store.
        std::optional<core::instant> missing_since;
    };

    // The last report of a collector about silent instances.
    struct silence_report {
        core::instant received;
        std::set<std::string, std::less<>> silent;
    };

    // Returns the names of the usable collectors, this instance included if it is one.
    std::vector<std::string> choose_collectors(core::instant now) const;
    const std::vector<std::string>& find_granter_order(const std::string& workspace) const;
    void update_collectors();
    bool is_designated_collector(const std::string& name) const;
    bool is_silent_sender(const std::string& name, const member& candidate, core::instant now) const;
    bool is_reported_silent(const std::string& name, core::instant now) const;
    bool is_usable(const std::string& name, const member& candidate, core::instant now) const;

    membership_options m_options;
    mutable std::mutex m_mutex;
    // The rest is guarded by m_mutex.
    std::map<std::string, member, std::less<>> m_members;
    core::instant m_grace_until;
    // The names of all serving instances and of this one, in order of precedence as collectors.
    std::vector<std::string> m_collector_order;
    // Whether this instance is among the first two in that order.
    bool m_is_collector = false;
    // The first instances in the order of granters, by workspace. Filled when a workspace is first asked for;
    // cleared when the members change.
    mutable std::map<std::string, std::vector<std::string>, std::less<>> m_granter_order;
    // The last report of each collector, by its name.
    std::map<std::string, silence_report, std::less<>> m_silence_reports;
};

} // namespace quetzalspan::edge
