// Authority: whether this instance may still rely on its quota shares and on its view of keys. It works like
// a lease that the store or, while the store cannot be reached, all other members together extend.

#pragma once

#include "core/time.h"
#include "membership/authority_settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzalspan::membership
{

// Request threads may call has_authority() and valid_until() at any time. One control thread calls all other
// functions.
class authority
{
public:
    explicit authority(authority_settings settings) : m_settings(settings) {}

    // Records that the store confirmed this instance's member record. sent_at is when the request was sent,
    // so that time in transit does not extend authority.
    void record_store_confirmation(core::instant sent_at);

    // Records that the member vouched for this instance in the response to a message sent at sent_at. Has no
    // effect if it is not among the members that must vouch.
    void record_vouch(const std::string& member, core::instant sent_at);

    // Records that the member's address refused a connection attempted at that time, so the member's process
    // no longer runs. Counts like a vouch of that time, since a process that has ended cannot know of a
    // change that this instance missed.
    void record_connection_refused(const std::string& member, core::instant at);

    // Replaces the list of other members that must vouch. It holds all members except this instance, in any
    // state, as last read from the store. Members that were in the list before keep the time of their last
    // vouch.
    void set_members(const std::vector<std::string>& others);

    // Extends authority as a unanimous vouch at that time would, up to the autonomy limit, if the last list
    // read has no other member: then no peer can know of a change that this instance missed. Has no effect
    // while there are other members or before the first call of set_members().
    void extend_if_alone(core::instant now);

    // Ends authority permanently, because this instance was fenced or its member record is gone from the
    // store.
    void revoke();

    // Returns when authority ends, or core::instant::min() before the first confirmation by the store and
    // after revoke().
    core::instant valid_until() const
    {
        return core::instant(core::duration(m_valid_until.load(std::memory_order_acquire)));
    }

    // Safe to call from every thread; takes no lock and allocates nothing.
    bool has_authority(core::instant now) const { return now < valid_until(); }

    // Returns the sending time of the last request that the store confirmed, or core::instant::min() if there
    // is none.
    core::instant last_store_confirmation() const { return m_last_store_confirmation; }

    // Refuses to vouch for the member from now on. A refusal that is already in force keeps its start time.
    void refuse_to_vouch(const std::string& member, core::instant now);

    // Ends a refusal, because the member was seen alive before it was marked suspect or its fencing is
    // complete.
    void end_refusal(const std::string& member);

    // Removes the refusals of all members for which the predicate is false. The caller passes a predicate
    // that is false for members that have left the membership and are not being fenced.
    void prune_refusals(const std::function<bool(const std::string&)>& is_kept)
    {
        std::erase_if(m_refusal_starts, [&](const auto& refusal) { return !is_kept(refusal.first); });
    }

    bool refuses_to_vouch(const std::string& member) const { return m_refusal_starts.contains(member); }

    // Returns whether this instance may vouch for the member: the member is in the list last read, this
    // instance does not refuse to vouch for it, and its own authority was not revoked.
    bool may_vouch(const std::string& member) const;

    // Returns whether this instance may complete the fencing of a member now, because the member's authority
    // has run out on any clock. If the suspect knew this instance when it last read the list, it needs this
    // instance's vouch, and the grace period after the start of the refusal is enough. Otherwise vouches of
    // others may extend its authority up to the autonomy limit, which is waited for in addition.
    bool may_fence(const std::string& member, bool is_known_to_suspect, core::instant now) const;

private:
    // Moves the end of authority to what the last store confirmation and the given time of a unanimous vouch
    // allow, never to an earlier time.
    void extend_authority(core::instant unanimous_vouch);
    void extend_authority() { extend_authority(last_unanimous_vouch()); }
    // Returns the time up to which all other members have vouched: the oldest of their latest vouches, or
    // core::instant::min() if there are no other members.
    core::instant last_unanimous_vouch() const;

    authority_settings m_settings;
    core::instant m_last_store_confirmation = core::instant::min();
    bool m_is_revoked = false;
    bool m_has_member_list = false;
    // Every other member with the time of its latest vouch or refused connection, or core::instant::min() if
    // there was neither.
    std::map<std::string, core::instant> m_vouch_times;
    // Members that this instance refuses to vouch for, with the start of the refusal.
    std::map<std::string, core::instant> m_refusal_starts;
    // Nanoseconds of the monotonic clock. Written only by the control thread.
    std::atomic<core::duration::rep> m_valid_until{core::instant::min().time_since_epoch().count()};
};

} // namespace quetzalspan::membership
