// A request queue that shares the capacity of a service's endpoints fairly between workspaces: deficit round
// robin over one flow of waiting requests for each workspace.

#pragma once

#include "core/time.h"
#include "dispatch/outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspan::dispatch
{

enum class queue_discipline {
    // Workspaces take turns; in each turn a workspace may dequeue work up to its weight times the quantum,
    // plus
    // what it left unused in earlier turns.
    deficit_round_robin,
    // Order of arrival over all workspaces. The benchmark compares fair queueing with it.
    first_come_first_served,
};

struct fair_queue_options {
    queue_discipline discipline = queue_discipline::deficit_round_robin;
    std::size_t max_entries_per_workspace = 256;
    // Over all workspaces.
    std::size_t max_entries = 2048;
    // Work that a workspace of weight 1 may dequeue in one turn, in the unit of entry::cost.
    std::uint64_t quantum = 1;
};

// Entries are identified by numbers that the caller of push() chooses. Not thread-safe.
class fair_queue
{
public:
    using identifier = std::uint64_t;

    struct entry {
        identifier id = 0;
        // Work that the entry takes from its workspace's turn, in the unit of fair_queue_options::quantum.
        std::uint64_t cost = 1;
        core::instant deadline;
    };

    explicit fair_queue(fair_queue_options options) : m_options(options) {}

    // Sets the share of a workspace, 1 by default. A weight of 0 is raised to 1, because a workspace of
    // weight 0 would never be served.
    void set_weight(std::string_view workspace, std::uint32_t weight);

    // Adds an entry, whose identifier must not be in the queue. expected_wait estimates the time until the
    // entry is served. Returns no value if the entry was added; failure::deadline_unreachable if its deadline
    // has passed or comes before the end of the expected wait; failure::queue_full if the workspace or the
    // whole queue has reached its limit.
    std::optional<failure> push(std::string_view workspace, const entry& new_entry, core::instant now,
                                core::duration expected_wait);

    // Removes the entry to be served next and returns its identifier; no value if the queue is empty. Entries
    // past their deadline are never returned here but by take_expired().
    std::optional<identifier> pop(core::instant now);

    // Puts an entry that pop() returned and that could not be served back at the head of its workspace's
    // flow, and refunds its cost.
    void put_back(std::string_view workspace, const entry& popped);

    // Removes an entry whose request has ended. Returns false if the entry is not in the queue.
    bool cancel(identifier id);

    // Removes the entries whose deadline is now or earlier. Returns their identifiers and those of the
    // entries that pop() has removed for the same reason since the last call.
    std::vector<identifier> take_expired(core::instant now);

    // Returns the earliest deadline in the queue, for setting a timer; no value if the queue is empty.
    std::optional<core::instant> next_deadline() const;

    std::size_t size() const { return m_locations.size(); }
    bool is_empty() const { return m_locations.empty(); }
    // Returns the number of entries of one workspace.
    std::size_t workspace_size(std::string_view workspace) const;
    // Returns the number of workspaces that have entries.
    std::size_t workspace_count() const { return m_active_flows.size(); }

private:
    struct queued_entry {
        entry request;
        // Order of arrival over all workspaces.
        std::uint64_t sequence = 0;
    };
    // The waiting requests of one workspace.
    struct flow {
        std::uint32_t weight = 1;
        // Work that the flow may still dequeue: the rest of its present turn, and while it waits for its next
        // turn the amount saved up for an entry that costs more than one turn allows.
        std::uint64_t deficit = 0;
        // Whether the work of the present turn was added to the deficit.
        bool has_turn = false;
        std::deque<queued_entry> entries;
    };
    using flow_map = std::map<std::string, flow, std::less<>>;
    // Where to find an entry by its identifier.
    struct entry_location {
        flow_map::iterator owner;
        core::instant deadline;
    };

    // Records an entry in m_locations and m_deadlines.
    void add_to_indexes(flow_map::iterator owner, const entry& new_entry);
    flow_map::iterator find_or_create_flow(std::string_view workspace);
    // Return the index in m_active_flows of the flow to serve next, for each queue order; there must be one.
    // The round-robin variant also charges the cost of the entry at the head of that flow.
    std::size_t select_round_robin();
    std::size_t select_earliest_arrival() const;
    // Moves entries past their deadline to m_expired.
    void move_expired(core::instant now);
    // Removes an entry from its flow, m_locations and m_deadlines.
    void remove_entry(std::map<identifier, entry_location>::iterator found);
    // Removes a flow without entries from m_active_flows and resets its deficit.
    void deactivate(flow_map::iterator owner);

    fair_queue_options m_options;
    flow_map m_flows;
    // Flows with entries, in the order of their turns.
    std::deque<flow_map::iterator> m_active_flows;
    // Every entry in the queue.
    std::map<identifier, entry_location> m_locations;
    // The same entries by deadline.
    std::set<std::pair<core::instant, identifier>> m_deadlines;
    // Entries that were removed at their deadline and not yet returned by take_expired().
    std::vector<identifier> m_expired;
    std::uint64_t m_next_sequence = 0;
};

} // namespace quetzalspan::dispatch
