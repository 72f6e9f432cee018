// This instance's view of the membership: the member list last read from the store, and which of its members
// were recently heard by heartbeat.

#pragma once

#include "core/time.h"
#include "membership/member.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::membership
{

// A member as read from the store.
struct stored_member {
    member record;
    // The store's revision of the record, for compare-and-swap writes.
    std::uint64_t record_revision = 0;
    // Whether the liveness key "alive/<member id>" existed in the store in the same read.
    bool is_alive = false;
};

// One consistent read of all members and liveness keys.
struct member_list {
    // The store's revision at which the list was read.
    std::uint64_t revision = 0;
    std::vector<stored_member> entries;
};

class member_tracker
{
public:
    // A peer without a heartbeat for longer than this is not live. At the default interval, four heartbeats
    // are sent in that time.
    static constexpr core::duration heartbeat_timeout = std::chrono::seconds(2);

    // self is the member id of this instance.
    explicit member_tracker(std::string self) : m_self(std::move(self)) {}

    // Replaces the list and drops the heartbeat times of members that are no longer in it. Returns false, and
    // changes nothing, if the store revision of the list is lower than that of the current list.
    bool set_list(const member_list& list);

    // Resets the revision, so that the next list is accepted even if the store has returned to an earlier
    // revision.
    void accept_older_list() { m_revision = 0; }

    // Records that the member was heard at this time. Has no effect if it is not in the list.
    void note_heartbeat(const std::string& member, core::instant now);

    std::uint64_t revision() const { return m_revision; }
    const std::string& self() const { return m_self; }
    const std::map<std::string, stored_member, std::less<>>& entries() const { return m_entries; }

    // Returns the entry of the member, or nullptr if it is not in the list. The pointer is valid until the
    // next call of set_list().
    const stored_member* find_member(std::string_view id) const;

    // Returns whether a heartbeat of the member arrived within the heartbeat timeout before now.
    bool has_recent_heartbeat(const std::string& id, core::instant now) const;

    // Returns the ids of the peers in the list that were heard within the heartbeat timeout and are not
    // suspect.
    std::vector<std::string> live_peers(core::instant now) const;

    // Returns the ids of the live peers that are not leaving.
    std::vector<std::string> serving_peers(core::instant now) const;

private:
    std::string m_self;
    std::uint64_t m_revision = 0;
    std::map<std::string, stored_member, std::less<>> m_entries;
    // The time of the last heartbeat by member id. Holds only members in the list.
    std::map<std::string, core::instant> m_last_heartbeats;
};

} // namespace quetzalspan::membership
