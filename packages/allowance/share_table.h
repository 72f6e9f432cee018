// The table of this instance's shares by limit name. Shares are created, scaled and closed as the limit
// definitions change.

#pragma once

#include "allowance/limit_definition.h"
#include "allowance/share.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::allowance
{

class share_table
{
public:
    struct entry {
        limit_definition definition;
        // The same object for as long as the limit exists, except that drop_all() replaces it. The share of a
        // removed limit admits nothing more.
        std::shared_ptr<share> value;
    };
    using entry_map = std::map<std::string, entry, std::less<>>;

    // Called for a limit that changes or is removed; new_limit is null for a removed one.
    using change_callback =
        std::function<void(const std::string& name, const amount* old_limit, const amount* new_limit)>;

    // Applies a newer set of limits and scales each share in the same step. Returns false, and changes
    // nothing, if the revision of the set is not higher than the current one. Calls on_limit_changed for each
    // limit that changed or was removed.
    bool apply(const limit_set& set, core::instant now, const change_callback& on_limit_changed);

    // Closes every share and replaces it by an empty one. Used when this member has lost the right to its
    // shares, for example because it was fenced.
    void drop_all();

    std::uint64_t revision() const { return m_revision; }
    const entry_map& entries() const { return m_entries; }

    // Returns the entry of the limit, or null if there is no such limit.
    const entry* find(std::string_view name) const;

    void accrue(core::instant now);
    void update_demand(core::instant now);

private:
    // Closes the share of the limit and removes its entry.
    void remove_limit(const std::string& name);
    // Returns a share for a new limit: an empty one, or the reopened one of a limit that was removed while
    // its permits were in use.
    std::shared_ptr<share> open_share(const limit_definition& definition, core::instant now);

    std::uint64_t m_revision = 0;
    entry_map m_entries;
    // Removed limits whose permits are still in use, with their last definition. If such a limit is added
    // again, these permits must count against it; otherwise the requests admitted before and after could
    // together exceed the limit.
    entry_map m_removed_with_permits_in_use;
};

} // namespace quetzalspan::allowance
