// An in-memory replacement for the store, with the records that allowances need: members, leases, the ledger
// round and reports. Writes are compare-and-swap on the revision of a record.

#pragma once

#include "allowance/store_records.h"
#include "core/time.h"
#include "membership/member_tracker.h"

#include <map>
#include <optional>
#include <string>

namespace quetzalspan::allowance::testing
{

class fake_store
{
public:
    // A record and the store revision of its last write.
    template <typename Record>
    struct versioned {
        Record value;
        std::uint64_t revision = 0;
    };

    bool is_up = true;
    std::uint64_t call_count = 0;
    std::uint64_t revision = 0;
    std::map<std::string, versioned<membership::member>> members;
    // The time at which the liveness key of a member expires, by member id.
    std::map<std::string, core::instant> lease_ends;
    std::optional<versioned<ledger_round>> round;
    std::map<std::string, versioned<share_report>> reports;

    membership::member_list list_members(core::instant now) const
    {
        membership::member_list list;
        list.revision = revision;
        for (const auto& [id, held] : members) {
            const auto lease = lease_ends.find(id);
            list.entries.push_back(
                {held.value, held.revision, lease != lease_ends.end() && now < lease->second});
        }
        return list;
    }

    round_observation read_round() const
    {
        if (!round) {
            return {revision, 0, std::nullopt};
        }
        return {revision, round->revision, round->value};
    }

    report_observation read_reports() const
    {
        report_observation observed;
        observed.store_revision = revision;
        for (const auto& [id, held] : reports) {
            observed.reports.push_back({held.value, held.revision});
        }
        return observed;
    }

    // Returns the new revision of the record, or nothing on a conflict.
    std::optional<std::uint64_t> apply(const store_write& write)
    {
        return std::visit([&](const auto& change) { return apply_change(change, write.expected_revision); },
                          write.change);
    }

    // Writes a member record. Returns the new revision, or nothing on a conflict.
    std::optional<std::uint64_t> put_member(const membership::member& record, std::uint64_t expected)
    {
        return put(members, record.id, record, expected);
    }

    // Deletes a record. Returns the new revision of the store, or nothing if the record does not exist or has
    // another revision.
    template <typename Record>
    std::optional<std::uint64_t> remove(std::map<std::string, versioned<Record>>& records,
                                        const std::string& key, std::uint64_t expected)
    {
        const auto found = records.find(key);
        if (found == records.end() || found->second.revision != expected) {
            return std::nullopt;
        }
        records.erase(found);
        return ++revision;
    }

private:
    template <typename Record>
    std::optional<std::uint64_t> put(std::map<std::string, versioned<Record>>& records,
                                     const std::string& key, const Record& value, std::uint64_t expected)
    {
        const auto found = records.find(key);
        if ((found == records.end() ? 0 : found->second.revision) != expected) {
            return std::nullopt;
        }
        ++revision;
        records[key] = {value, revision};
        return revision;
    }

    std::optional<std::uint64_t> apply_change(const write_round& change, std::uint64_t expected)
    {
        if ((round ? round->revision : 0) != expected) {
            return std::nullopt;
        }
        round = versioned<ledger_round>{change.record, ++revision};
        return revision;
    }

    std::optional<std::uint64_t> apply_change(const write_report& change, std::uint64_t expected)
    {
        return put(reports, change.record.member, change.record, expected);
    }

    std::optional<std::uint64_t> apply_change(const mark_suspect& change, std::uint64_t expected)
    {
        const auto found = members.find(change.member);
        if (found == members.end()) {
            return std::nullopt;
        }
        membership::member marked = found->second.value;
        marked.state = membership::member_state::suspect;
        return put_member(marked, expected);
    }

    std::optional<std::uint64_t> apply_change(const delete_member& change, std::uint64_t expected)
    {
        return remove(members, change.member, expected);
    }

    std::optional<std::uint64_t> apply_change(const delete_report& change, std::uint64_t expected)
    {
        return remove(reports, change.member, expected);
    }
};

} // namespace quetzalspan::allowance::testing
