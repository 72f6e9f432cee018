// Log of all admissions and all uses of permits in a simulated run, with the evaluations by which tests check
// that no limit was exceeded.

#pragma once

#include "core/time.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzalspan::allowance::testing
{

class admission_log
{
public:
    void record_admission(const std::string& limit, core::instant at)
    {
        m_admitted[limit].push_back(core::to_seconds(at.time_since_epoch()));
    }

    // Records that a permit was in use between the two times.
    void record_use(const std::string& limit, core::instant from, core::instant to)
    {
        m_uses[limit].emplace_back(from, 1);
        m_uses[limit].emplace_back(to, -1);
    }

    // Returns the number of admissions in the whole run.
    std::size_t count(const std::string& limit) const
    {
        const auto found = m_admitted.find(limit);
        return found == m_admitted.end() ? 0 : found->second.size();
    }

    // Returns the number of admissions at or after from_seconds and before to_seconds.
    double count_between(const std::string& limit, double from_seconds, double to_seconds) const
    {
        const auto found = m_admitted.find(limit);
        if (found == m_admitted.end()) {
            return 0;
        }
        return static_cast<double>(std::count_if(found->second.begin(), found->second.end(), [=](double at) {
            return at >= from_seconds && at < to_seconds;
        }));
    }

    // Returns by how many admissions the limit was exceeded: the maximum of (admissions - rate x length -
    // burst) over all time windows within the span, with the rate in tokens per second. Not positive if the
    // limit was kept. One pass finds the maximum, since the value of a window depends on the difference of
    // (index - rate x time) at its ends.
    double max_excess(const std::string& limit, double rate, double burst, double from_seconds = 0,
                      double to_seconds = std::numeric_limits<double>::infinity()) const
    {
        const auto found = m_admitted.find(limit);
        double max_found = -burst;
        if (found == m_admitted.end()) {
            return max_found;
        }
        double min_offset = std::numeric_limits<double>::infinity();
        double index = 0;
        for (const double at : found->second) {
            if (at < from_seconds || at > to_seconds) {
                continue;
            }
            const double offset = index - rate * at;
            min_offset = std::min(min_offset, offset);
            max_found = std::max(max_found, offset - min_offset + 1 - burst);
            index += 1;
        }
        return max_found;
    }

    // Returns the maximum number of permits in use at the same time, at any start of a use within the span.
    int max_in_use(const std::string& limit, double from_seconds = 0,
                   double to_seconds = std::numeric_limits<double>::infinity()) const
    {
        const auto found = m_uses.find(limit);
        if (found == m_uses.end()) {
            return 0;
        }
        std::vector<std::pair<core::instant, int>> uses = found->second;
        std::sort(uses.begin(), uses.end());
        int in_use = 0;
        int max_count = 0;
        for (const auto& [at, change] : uses) {
            in_use += change;
            const double seconds = core::to_seconds(at.time_since_epoch());
            // Counts only when a use starts: a lowered limit does not end running requests, it only stops new
            // ones.
            if (change > 0 && seconds >= from_seconds && seconds <= to_seconds) {
                max_count = std::max(max_count, in_use);
            }
        }
        return max_count;
    }

private:
    // Times of the admissions in seconds, by limit name.
    std::map<std::string, std::vector<double>> m_admitted;
    // Changes of the number of permits in use, by limit name.
    std::map<std::string, std::vector<std::pair<core::instant, int>>> m_uses;
};

} // namespace quetzalspan::allowance::testing
