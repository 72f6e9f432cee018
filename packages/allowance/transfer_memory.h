// Records for one peer which transfers were applied or rejected, so that a duplicate message gets the same
// answer.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace quetzalspan::allowance
{

class transfer_decisions
{
public:
    // Number of decisions kept for each peer. A transfer older than these counts as applied. Its sender then
    // forgets it, which may lose allowance but never creates any.
    static constexpr std::size_t capacity = 1024;

    // Returns whether the transfer was applied, or nothing if it has not been decided yet.
    std::optional<bool> find_decision(std::uint64_t sequence) const
    {
        const auto found = m_decisions.find(sequence);
        if (found != m_decisions.end()) {
            return found->second;
        }
        return sequence <= m_floor ? std::optional<bool>(true) : std::nullopt;
    }

    // Records a decision and discards the oldest ones beyond the capacity. A transfer that is already decided
    // keeps its decision.
    void decide(std::uint64_t sequence, bool is_applied)
    {
        m_decisions.emplace(sequence, is_applied);
        while (m_decisions.size() > capacity) {
            m_floor = m_decisions.begin()->first;
            m_decisions.erase(m_decisions.begin());
        }
    }

private:
    std::map<std::uint64_t, bool> m_decisions;
    // Transfers up to this sequence number are no longer recorded and count as applied.
    std::uint64_t m_floor = 0;
};

} // namespace quetzalspan::allowance
