// Adds, selects, expires and cancels the entries of the fair queue.

#include "dispatch/fair_queue.h"

#include "core/check.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::dispatch
{

fair_queue::flow_map::iterator fair_queue::find_or_create_flow(std::string_view workspace)
{
    const flow_map::iterator found = m_flows.find(workspace);
    return found != m_flows.end() ? found : m_flows.emplace(std::string(workspace), flow()).first;
}

void fair_queue::set_weight(std::string_view workspace, std::uint32_t weight)
{
    find_or_create_flow(workspace)->second.weight = std::max(weight, 1U);
}

std::size_t fair_queue::workspace_size(std::string_view workspace) const
{
    const flow_map::const_iterator found = m_flows.find(workspace);
    return found == m_flows.end() ? 0 : found->second.entries.size();
}

std::optional<failure> fair_queue::push(std::string_view workspace, const entry& new_entry, core::instant now,
                                        core::duration expected_wait)
{
    if (new_entry.deadline <= now || expected_wait > new_entry.deadline - now) {
        return failure::deadline_unreachable;
    }
    const flow_map::iterator owner = find_or_create_flow(workspace);
    flow& owned_flow = owner->second;
    if (m_locations.size() >= m_options.max_entries ||
        owned_flow.entries.size() >= m_options.max_entries_per_workspace) {
        return failure::queue_full;
    }
    add_to_indexes(owner, new_entry);
    if (owned_flow.entries.empty()) {
        m_active_flows.push_back(owner);
    }
    owned_flow.entries.push_back({new_entry, m_next_sequence++});
    return std::nullopt;
}

void fair_queue::add_to_indexes(flow_map::iterator owner, const entry& new_entry)
{
    const bool is_new = m_locations.emplace(new_entry.id, entry_location{owner, new_entry.deadline}).second;
    core::check(is_new, "an identifier can be in the queue only once");
    m_deadlines.emplace(new_entry.deadline, new_entry.id);
}

void fair_queue::put_back(std::string_view workspace, const entry& popped)
{
    const flow_map::iterator owner = find_or_create_flow(workspace);
    flow& owned_flow = owner->second;
    add_to_indexes(owner, popped);
    if (owned_flow.entries.empty()) {
        m_active_flows.push_front(owner);
    }
    owned_flow.has_turn = true;
    owned_flow.deficit += popped.cost;
    // Only first_come_first_served reads the sequence. The entry had arrived before all that still wait, so
    // it gets the lowest number.
    owned_flow.entries.push_front({popped, 0});
}

std::size_t fair_queue::select_round_robin()
{
    while (true) {
        const flow_map::iterator owner = m_active_flows.front();
        flow& owned_flow = owner->second;
        if (!owned_flow.has_turn) {
            owned_flow.has_turn = true;
            owned_flow.deficit += m_options.quantum * owned_flow.weight;
        }
        const std::uint64_t cost = owned_flow.entries.front().request.cost;
        if (cost <= owned_flow.deficit) {
            owned_flow.deficit -= cost;
            return 0;
        }
        owned_flow.has_turn = false;
        m_active_flows.pop_front();
        m_active_flows.push_back(owner);
    }
}

std::size_t fair_queue::select_earliest_arrival() const
{
    std::size_t selected = 0;
    for (std::size_t index = 1; index < m_active_flows.size(); ++index) {
        if (m_active_flows[index]->second.entries.front().sequence <
            m_active_flows[selected]->second.entries.front().sequence) {
            selected = index;
        }
    }
    return selected;
}

std::optional<fair_queue::identifier> fair_queue::pop(core::instant now)
{
    move_expired(now);
    if (m_locations.empty()) {
        return std::nullopt;
    }
    const bool is_round_robin = m_options.discipline == queue_discipline::deficit_round_robin;
    const std::size_t position = is_round_robin ? select_round_robin() : select_earliest_arrival();
    const identifier id = m_active_flows[position]->second.entries.front().request.id;
    remove_entry(m_locations.find(id));
    return id;
}

void fair_queue::remove_entry(std::map<identifier, entry_location>::iterator found)
{
    const identifier id = found->first;
    const flow_map::iterator owner = found->second.owner;
    m_deadlines.erase({found->second.deadline, id});
    m_locations.erase(found);
    std::deque<queued_entry>& entries = owner->second.entries;
    const std::deque<queued_entry>::iterator position =
        std::find_if(entries.begin(), entries.end(),
                     [id](const queued_entry& candidate) { return candidate.request.id == id; });
    core::check(position != entries.end(), "every indexed entry must be stored in the flow of its workspace");
    entries.erase(position);
    if (entries.empty()) {
        deactivate(owner);
    }
}

void fair_queue::deactivate(flow_map::iterator owner)
{
    // A workspace must not save up a deficit while it has no entries.
    owner->second.deficit = 0;
    owner->second.has_turn = false;
    m_active_flows.erase(std::find(m_active_flows.begin(), m_active_flows.end(), owner));
}

bool fair_queue::cancel(identifier id)
{
    const std::map<identifier, entry_location>::iterator found = m_locations.find(id);
    if (found == m_locations.end()) {
        return false;
    }
    remove_entry(found);
    return true;
}

void fair_queue::move_expired(core::instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const identifier id = m_deadlines.begin()->second;
        m_expired.push_back(id);
        remove_entry(m_locations.find(id));
    }
}

std::vector<fair_queue::identifier> fair_queue::take_expired(core::instant now)
{
    move_expired(now);
    return std::exchange(m_expired, {});
}

std::optional<core::instant> fair_queue::next_deadline() const
{
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    return m_deadlines.begin()->first;
}

} // namespace quetzalspan::dispatch
