// A queue of events in virtual time. Events run in the order of their times; events of the same time run in
// the order in which they were added.

#pragma once

#include "core/time.h"

#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace quetzalspan::allowance::testing
{

class event_queue
{
public:
    core::instant now() const { return m_now; }

    // Adds an event that runs the work after the given virtual time has passed.
    void after(double delay_seconds, std::function<void()> work)
    {
        const auto nanoseconds = static_cast<core::duration::rep>(delay_seconds * 1e9);
        m_events.push({m_now + core::duration(nanoseconds), ++m_event_count, std::move(work)});
    }

    // Runs all events due up to the given virtual time and sets the clock to it.
    void run_until(double end_seconds)
    {
        const core::instant stop{core::duration(static_cast<core::duration::rep>(end_seconds * 1e9))};
        while (!m_events.empty() && m_events.top().at <= stop) {
            // top() returns a const reference. Moving from it is safe, since the event is removed in the next
            // statement.
            const event next = std::move(const_cast<event&>(m_events.top()));
            m_events.pop();
            m_now = next.at;
            next.work();
        }
        m_now = stop;
    }

private:
    struct event {
        core::instant at;
        std::uint64_t order = 0;
        std::function<void()> work;

        friend bool operator<(const event& left, const event& right)
        {
            return std::tie(right.at, right.order) < std::tie(left.at, left.order);
        }
    };

    core::instant m_now{core::duration(0)};
    std::uint64_t m_event_count = 0;
    std::priority_queue<event> m_events;
};

} // namespace quetzalspan::allowance::testing
